/** A node under test with the real program, a second node, and all that surrounds them. */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join, resolve } from 'node:path'

import { SETTINGS_VARIABLE, StoreKey } from '@bluebellhill/platform'
import { configurationDocument, serverDocument, settingsDocument, StoreStandin } from '@bluebellhill/platform-standin'
import type { RouteDocument } from '@bluebellhill/platform-standin'

import { NodeProcess } from '../NodeProcess.js'
import { HEAP_MIB, HOST, KEY, MEMORY_BYTES, PORT, SERVICE, STOP_GRACE_S } from './constants.js'
import { OddStore } from './OddStore.js'
import type { OddValues } from './OddValues.js'
import { startSoundServer } from './servers.js'
import type { SoundServer } from './servers.js'

const DOMAIN = 'hall-a'
const BYTES_PER_MB = 1_000_000
const TIMEOUT_MS = 2_000
const RETRY_RATIO = 0.2
const RETRY_SLACK = 30

/** Last parts of addresses. */
const NODE = 11
const OTHER_NODE = 12
const STORE = 50
const STORE_OF_NODES = 31
const FIRST_SOUND_SERVER = 101

const SOUND_SERVERS = 2

const route = (name: string, kind: RouteDocument['kind'], service: string): RouteDocument =>
  ({ name, host: HOST, prefix: `/${name}/`, kind, service, timeoutMs: TIMEOUT_MS, resumable: kind === 'streaming' })

const ROUTES: readonly RouteDocument[] = [
  route('safe', 'safe', SERVICE.sound),
  route('unsafe', 'unsafe', SERVICE.sound),
  route('odd', 'safe', SERVICE.odd),
  route('odd-unsafe', 'unsafe', SERVICE.odd),
  route('stream', 'streaming', SERVICE.oddEngines)
]

const SERVICES = [{ name: SERVICE.sound, isEngine: false }, { name: SERVICE.odd, isEngine: false }, { name: SERVICE.oddEngines, isEngine: true }]

/** Runs on the addresses `127.X.Y.*`. */
export class FuzzFleet {
  readonly store = new StoreStandin()
  readonly oddStore: OddStore
  readonly node: NodeProcess
  readonly #otherNode: NodeProcess
  readonly #soundServers: SoundServer[] = []
  readonly #directory: string
  #version = 0
  #incarnations = 0

  /**
   * @param network - first three numbers of the addresses
   * @param directory - gets settings files and logs
   * @param program - file of the node under test
   * @param values - seeded odd values of the store's answers
   */
  constructor (private readonly network: string, directory: string, program: string, values: OddValues) {
    this.#directory = directory
    mkdirSync(directory, { recursive: true })
    this.oddStore = new OddStore({ host: this.host(STORE), port: PORT.store }, values)
    this.node = this.#createNode('node-0', program, NODE, STORE_OF_NODES)
    this.#otherNode = this.#createNode('node-1', program, OTHER_NODE, STORE_OF_NODES)
  }

  async start (): Promise<void> {
    await this.store.start(this.host(STORE), PORT.store)
    await this.oddStore.start(this.host(STORE_OF_NODES), PORT.store)
    this.configure()
    for (let index = 0; index < SOUND_SERVERS; index += 1) this.#soundServers.push(await startSoundServer(this.host(FIRST_SOUND_SERVER + index), PORT.server))
    this.registerSoundServer()
    this.node.start()
    this.#otherNode.start()
  }

  async dispose (): Promise<void> {
    await Promise.all([this.node.dispose(), this.#otherNode.dispose()])
    for (const server of this.#soundServers) server.dispose()
    this.oddStore.dispose()
    this.store.dispose()
  }

  /** @returns ends of processes that nobody asked for */
  get unexpectedEnds (): string[] {
    return [...this.node.unexpectedEnds, ...this.#otherNode.unexpectedEnds]
  }

  /** Address of the node under test. */
  get nodeHost (): string {
    return this.host(NODE)
  }

  /** @returns the address with this last part */
  host (last: number): string {
    return `${this.network}.${last}`
  }

  /** Version of the configuration that was written last. */
  get version (): number {
    return this.#version
  }

  /** @returns the sound configuration in a further version */
  nextConfiguration (): string {
    this.#version += 1
    return configurationDocument({ version: this.#version, routes: ROUTES, services: SERVICES, apiKeys: [KEY] })
  }

  /** Puts the sound configuration in force, in a further version. */
  configure (): void {
    this.store.put(StoreKey.Configuration, this.nextConfiguration())
  }

  /**
   * Registers one of the sound servers as a new one, and removes the one that was registered before.
   *
   * @returns its id
   */
  registerSoundServer (): string {
    this.#incarnations += 1
    const server = this.#soundServers[this.#incarnations % SOUND_SERVERS]
    if (server === undefined) throw new Error('no sound server runs')
    server.id = `i-sound-${this.#incarnations}`
    this.register(server.id, SERVICE.sound, server.address)
    this.unregister(`i-sound-${this.#incarnations - 1}`)
    return server.id
  }

  register (id: string, service: string, address: string): void {
    this.store.put(`${StoreKey.BackendServers}${id}`, serverDocument({ service, address, failureDomain: DOMAIN, isDraining: false, startedAt: Date.now() }))
  }

  unregister (id: string): void {
    this.store.remove(`${StoreKey.BackendServers}${id}`)
  }

  /** Settings file of the node under test. */
  get settingsFile (): string {
    return this.#settingsFile('node-0')
  }

  /** @returns the resident memory of the node under test in bytes; null if it does not run */
  get memory (): number | null {
    try {
      const status = readFileSync(`/proc/${this.node.pid ?? 0}/status`, 'utf8')
      return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1]) * 1_024
    } catch {
      return null
    }
  }

  #settingsFile (name: string): string {
    return resolve(this.#directory, `${name}.toml`)
  }

  #createNode (name: string, program: string, last: number, storeLast: number): NodeProcess {
    writeFileSync(this.#settingsFile(name), `${settingsDocument({
      node: name,
      host: this.host(last),
      failureDomain: DOMAIN,
      callerPort: PORT.callers,
      readinessPort: PORT.readiness,
      peerPort: PORT.peers,
      store: `${this.host(storeLast)}:${PORT.store}`,
      stopGraceSeconds: STOP_GRACE_S,
      retryRatio: RETRY_RATIO,
      retrySlack: RETRY_SLACK
    })}[limits]\nmemory_mb = ${MEMORY_BYTES / BYTES_PER_MB}\n`)
    const environment = { [SETTINGS_VARIABLE]: this.#settingsFile(name), NODE_OPTIONS: `--max-old-space-size=${HEAP_MIB}` }
    return new NodeProcess(name, program, environment, join(this.#directory, `${name}.log`))
  }
}
