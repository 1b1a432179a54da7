/** Everything that one soak runs: a store, backend servers, nodes, and proxies between them. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

import { SETTINGS_VARIABLE, StoreKey } from '@bluebellhill/platform'
import { BackendStandin, configurationDocument, Ledger, serverDocument, settingsDocument, StoreStandin } from '@bluebellhill/platform-standin'
import { KEPT_KEY, LEASE_MS, PORT, REMOVED_KEY } from './constants.js'
import { DeadlyRequests } from './DeadlyRequests.js'
import { EventLoopDelays } from './EventLoopDelays.js'
import { NodeProcess } from './NodeProcess.js'
import { SOAK_FLEET } from './profiles.js'
import type { FleetProfile } from './profiles.js'
import { PromptParts } from './PromptParts.js'
import { TcpProxy } from './TcpProxy.js'
import type { Evacuation, LimitedSpan } from './types.js'

const DOMAINS = ['hall-a', 'hall-b', 'hall-c']

/** Last part of the address of the store; those of nodes, their proxies of the store, servers and their proxies follow. */
const STORE = 1

/** One backend server with the proxy that nodes reach it through. */
export interface Server {
  readonly index: number
  readonly service: string
  readonly failureDomain: string
  readonly proxy: TcpProxy
  /** Null while it is down. */
  standin: BackendStandin | null
  /** Wall-clock milliseconds at which the running one started. */
  startedAt: number
  /** Time at which its entry changed to draining; null if it is not. */
  drainingSince: number | null
}

export interface FleetNode {
  readonly index: number
  readonly host: string
  readonly process: NodeProcess
  readonly storeLink: TcpProxy
  /** Whether it runs a program of an earlier build, which does not know what servers state in their answers. */
  readonly isEarlierBuild: boolean
}

/** Builds the fleet on the addresses `127.X.Y.*`. */
export class Fleet {
  readonly store = new StoreStandin()
  readonly ledger = new Ledger()
  readonly servers: Server[] = []
  readonly nodes: FleetNode[] = []
  /** When the process of the soak, in which all but the nodes run, could not run. */
  readonly delays = new EventLoopDelays()
  readonly limitedSpans: LimitedSpan[] = []
  readonly evacuations: Evacuation[] = []
  /** Failure domain of each server that ever ran, by its id. */
  readonly serverDomains = new Map<string, string>()
  /** Proxy of each server that ever ran, by its id. */
  readonly serverProxies = new Map<string, TcpProxy>()
  /** Parts of the prompts that callers send. */
  readonly promptParts = new PromptParts()
  readonly deadlyRequests = new DeadlyRequests()
  readonly #network: string
  #incarnations = 0
  #version = 1
  #configuration = ''
  #isDisposed = false

  /**
   * @param network - first three numbers of the addresses
   * @param directory - gets settings files and logs
   * @param program - file of the node under test
   * @param earlierProgram - file of an earlier build for every second node; null to run the program under test everywhere
   * @param profile - what the fleet consists of
   */
  constructor (network: string, private readonly directory: string, private readonly program: string, private readonly earlierProgram: string | null = null, readonly profile: FleetProfile = SOAK_FLEET) {
    this.#network = network
  }

  async start (): Promise<void> {
    mkdirSync(this.directory, { recursive: true })
    await this.store.start(this.#host(STORE), PORT.store)
    this.configure([KEPT_KEY, REMOVED_KEY])
    this.store.limits = this.profile.storeLimits
    const services = this.profile.services.flatMap(({ name, servers }) => Array.from({ length: servers }, () => name))
    for (const [index, service] of services.entries()) await this.#addServer(index, service)
    for (let index = 0; index < this.profile.nodes; index += 1) await this.#addNode(index)
  }

  async dispose (): Promise<void> {
    this.#isDisposed = true
    this.delays.dispose()
    await Promise.all(this.nodes.map(async ({ process }) => { await process.dispose() }))
    for (const { storeLink } of this.nodes) storeLink.dispose()
    for (const { proxy, standin } of this.servers) {
      proxy.dispose()
      await standin?.dispose()
    }
    this.store.dispose()
  }

  /** Puts a configuration with these API keys in force. */
  configure (apiKeys: readonly string[]): void {
    this.#configuration = configurationDocument({ version: this.#version++, routes: this.profile.routes, services: this.profile.services, apiKeys })
    this.store.put(StoreKey.Configuration, this.#configuration)
  }

  /** Evacuates a failure domain. */
  evacuate (failureDomain: string): void {
    this.store.put(`${StoreKey.Evacuations}${failureDomain}`, '{}')
    this.evacuations.push({ failureDomain, from: performance.now(), until: Infinity })
  }

  /** Takes all evacuated failure domains back. */
  endEvacuations (): void {
    for (const evacuation of this.evacuations) evacuation.until = Math.min(evacuation.until, performance.now())
    this.#writeEvacuations()
  }

  #writeEvacuations (): void {
    for (const { failureDomain, until } of this.evacuations) {
      const key = `${StoreKey.Evacuations}${failureDomain}`
      if (until === Infinity) this.store.put(key, '{}')
      else this.store.remove(key)
    }
  }

  /** Writes the configuration, the evacuations and the entries of all running servers again, after the store has lost some of them. */
  writeAgain (): void {
    this.#writeEvacuations()
    this.store.put(StoreKey.Configuration, this.#configuration)
    for (const server of this.servers) if (server.standin !== null) this.#writeEntry(server, server.standin.id, server.drainingSince !== null)
  }

  /** Removes the entries of servers that do not run, as the store does when their leases have run out. */
  removeStaleEntries (): void {
    const running = new Set(this.servers.map(({ standin }) => `${StoreKey.BackendServers}${standin?.id ?? ''}`))
    for (const key of this.store.keys(StoreKey.BackendServers)) if (!running.has(key)) this.store.remove(key)
  }

  /** @returns names of the nodes that have no entry in the store */
  unregisteredNodes (): string[] {
    const registered = this.store.keys(StoreKey.Nodes)
    return this.nodes.map(({ process }) => process.name).filter((name) => !registered.includes(`${StoreKey.Nodes}${name}`))
  }

  /** Starts a server as a new process without any state; by default under a new id. */
  async startServer (server: Server, id = `i-${server.index}-${this.#incarnations++}`): Promise<void> {
    const standin = new BackendStandin(id, this.ledger)
    if (this.profile.paceOf !== undefined) standin.paceOf = this.profile.paceOf
    standin.crashingParts = this.promptParts.crashingParts
    standin.crashingPaths = this.deadlyRequests.paths
    standin.onCrash = () => { void this.#restartCrashed(server, standin) }
    await standin.start(this.#serverHost(server.index), PORT.server)
    if (this.#isDisposed) {
      await standin.dispose()
      return
    }
    server.standin = standin
    this.serverProxies.set(id, server.proxy)
    this.serverDomains.set(id, server.failureDomain)
    server.startedAt = Date.now()
    server.drainingSince = null
    this.#writeEntry(server, id, false)
  }

  /** Brings back a server that a request has ended; meanwhile its port refuses connections. */
  async #restartCrashed (server: Server, standin: BackendStandin): Promise<void> {
    if (server.standin !== standin) return
    const { keepsId, downMs } = this.deadlyRequests.recovery ?? this.promptParts
    server.standin = null
    this.endLimit(standin)
    server.proxy.close()
    if (!keepsId) this.#removeLater(standin)
    await sleep(downMs)
    if (this.#isDisposed) return
    await server.proxy.reopen()
    if (this.#isDisposed) server.proxy.dispose()
    else await this.startServer(server, keepsId ? standin.id : undefined)
  }

  /** Stops a server as a crash would; its entry is removed when its lease has expired. */
  async crashServer (server: Server, leaseMs: number): Promise<void> {
    const { standin } = server
    if (standin === null) return
    server.standin = null
    this.endLimit(standin)
    await standin.dispose()
    this.#removeLater(standin, leaseMs)
  }

  #removeLater ({ id }: BackendStandin, leaseMs = LEASE_MS): void {
    setTimeout(() => this.store.remove(`${StoreKey.BackendServers}${id}`), leaseMs)
  }

  drainServer (server: Server): void {
    if (server.standin === null) return
    server.drainingSince = performance.now()
    this.#writeEntry(server, server.standin.id, true)
  }

  /** Makes a server state in its answers that it is leaving; its entry in the store does not change. */
  leaveServer (server: Server): void {
    if (server.standin !== null) server.standin.isLeaving = true
  }

  /**
   * Makes a server state a request limit in all its answers.
   *
   * @param server - the server
   * @param perSecond - requests per second
   * @returns the standin that does, for `endLimit`; null if the server is down or has a limit already
   */
  limitServer ({ standin }: Server, perSecond: number): BackendStandin | null {
    if (standin === null || standin.requestLimit !== null) return null
    standin.requestLimit = perSecond
    this.limitedSpans.push({ server: standin.id, perSecond, from: performance.now(), until: Infinity })
    return standin
  }

  /** Ends the limit of a server process, which may have ended itself meanwhile: the next process under the same id states none. */
  endLimit (standin: BackendStandin): void {
    if (standin.requestLimit === null) return
    standin.requestLimit = null
    for (const span of this.limitedSpans) if (span.server === standin.id) span.until = Math.min(span.until, performance.now())
  }

  #host (last: number): string {
    return `${this.#network}.${last}`
  }

  #serverHost (index: number): string {
    return this.#host(STORE + 1 + 2 * this.profile.nodes + index)
  }

  #serverProxyHost (index: number): string {
    const servers = this.profile.services.reduce((sum, service) => sum + service.servers, 0)
    return this.#host(STORE + 1 + 2 * this.profile.nodes + servers + index)
  }

  #writeEntry (server: Server, id: string, isDraining: boolean): void {
    const { service, failureDomain, index, startedAt } = server
    const host = this.profile.hasServerProxies ? this.#serverProxyHost(index) : this.#serverHost(index)
    const address = `${host}:${PORT.server}`
    this.store.put(`${StoreKey.BackendServers}${id}`, serverDocument({ service, address, failureDomain, isDraining, startedAt }))
  }

  async #addServer (index: number, service: string): Promise<void> {
    const proxy = new TcpProxy(this.#serverHost(index), PORT.server)
    await proxy.start(this.#serverProxyHost(index), PORT.server)
    const server: Server = { index, service, failureDomain: DOMAINS[index % DOMAINS.length] ?? '', proxy, standin: null, startedAt: 0, drainingSince: null }
    this.servers.push(server)
    await this.startServer(server)
  }

  async #addNode (index: number): Promise<void> {
    const host = this.#host(STORE + 1 + index)
    const storeLink = new TcpProxy(this.#host(STORE), PORT.store)
    const linkHost = this.#host(STORE + 1 + this.profile.nodes + index)
    await storeLink.start(linkHost, PORT.store)
    const name = `node-${index}`
    const settings = resolve(this.directory, `${name}.toml`)
    writeFileSync(settings, settingsDocument({
      node: name,
      host,
      failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
      callerPort: PORT.callers,
      readinessPort: PORT.readiness,
      peerPort: PORT.peers,
      store: `${linkHost}:${PORT.store}`,
      ...this.profile.settings
    }))
    const isEarlierBuild = this.earlierProgram !== null && index % 2 === 1
    const program = isEarlierBuild ? this.earlierProgram ?? this.program : this.program
    const process = new NodeProcess(name, program, { [SETTINGS_VARIABLE]: settings }, join(this.directory, `${name}.log`), this.profile.flags)
    this.nodes.push({ index, host, process, storeLink, isEarlierBuild })
    process.start()
  }
}
