/** Whole nodes on loopback, each with its own way to one store that can go silent. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

import type { ExecutionContext } from 'ava'

import { rankSchedulers } from '@bluebellhill/domain'
import type { FailureDomain, NodeId, SchedulerCandidate } from '@bluebellhill/domain'
import { StoreKey } from '@bluebellhill/platform'
import { configurationDocument, serverDocument, settingsDocument, StoreStandin } from '@bluebellhill/platform-standin'

import { ForwardNode } from '../src/forward/ForwardNode.js'
import { readSettings, SettingsFile } from '../src/forward/SettingsFile.js'
import { LogLevel, openLog } from '../src/log/index.js'
import { LineCollector } from './forwardFixture.js'

/** Range of ports below those that the system assigns to outgoing connections. */
const PORTS_FROM = 10_000
const PORT_COUNT = 20_000
const PORTS_PER_HOST = 5

/** Tests of one process that have ports of their own. */
const SLOTS = 4

const STORE_HOST = '127.0.1.1'

/** Within this time a change has to be in force on all nodes that are in touch with each other, by the users' pages. */
const CHANGE_BOUND = 2_000

/** Leaves room for a busy machine; below the time for which a watch waits. */
export const GENEROUS_BOUND = 2 * CHANGE_BOUND

/** What a silent link keeps back. */
export const Silence = {
  /** All bytes, as by a store that does not answer this node. */
  AllCalls: 'all_calls',
  /** The answers of watches; a connection on which an answer is lost returns nothing further. */
  Watches: 'watches',
  /** All answers except those to reads that may be stale, as if a replica answered them while the store itself is silent. */
  CurrentCalls: 'current_calls',
  /** The lists of backend servers. */
  ServerLists: 'server_lists'
} as const
export type Silence = typeof Silence[keyof typeof Silence]

/** Forwards the connections of one node to the store. */
class StoreLink {
  /** Null if all bytes are forwarded. */
  silence: Silence | null = null
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  /** Client ends of the connections that are silent for good, and of all others that are open. */
  readonly #dead = new Set<Socket>()
  readonly #open = new Set<Socket>()

  constructor (storePort: number) {
    this.#server = createServer((client) => {
      let call = ''
      this.#open.add(client)
      const store = connect({ host: STORE_HOST, port: storePort, noDelay: true })
      for (const [from, to] of [[client, store], [store, client]] as const) {
        this.#sockets.add(from)
        from.on('data', (bytes) => {
          if (from === client) call = String(bytes)
          if (this.#isLost(call)) this.#dead.add(client)
          if (!this.#isSilent(client)) to.write(bytes)
        })
        from.on('error', () => to.destroy())
        from.on('close', () => {
          this.#open.delete(client)
          if (!this.#isSilent(client)) to.destroy()
        })
      }
    })
  }

  async start (host: string, port: number): Promise<void> {
    this.#server.listen(port, host)
    await once(this.#server, 'listening')
  }

  /** Lets the connections that are open go silent for good; new ones work. */
  silenceOpen (): void {
    for (const client of this.#open) this.#dead.add(client)
  }

  #isSilent (client: Socket): boolean {
    return this.#dead.has(client) || this.silence === Silence.AllCalls
  }

  /** Whether the answer to a call is lost. */
  #isLost (call: string): boolean {
    if (this.silence === Silence.Watches) return call.includes('kv-watch')
    if (this.silence === Silence.ServerLists) return call.includes(`kv-range?${new URLSearchParams({ prefix: StoreKey.BackendServers }).toString()}`)
    return this.silence === Silence.CurrentCalls && !call.includes('stale_ok')
  }

  dispose (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }
}

export interface TestNode {
  readonly self: SchedulerCandidate
  readonly link: StoreLink
  readonly lines: string[]
  readonly node: ForwardNode
}

export const entryOf = (id: string, isDraining: boolean): string =>
  serverDocument({ service: 's', address: `10.0.0.${id.length}:80`, failureDomain: 'd1', isDraining, startedAt: 5 })

/**
 * @param slot - number of the test in its process
 * @returns first port of the test; it has several in a row on each host
 */
export const firstPortOf = (slot: number): number =>
  PORTS_FROM + (process.pid * SLOTS + slot) % (PORT_COUNT / PORTS_PER_HOST) * PORTS_PER_HOST

/** Starts nodes that know each other; they are returned in the order in which they watch the store, which may be silent from the start. */
export const startNodes = async (t: ExecutionContext, count: number, firstPort: number, silence: Silence | null = null): Promise<TestNode[]> => {
  const directory = mkdtempSync(join(tmpdir(), 'store-watchers-'))
  t.teardown(() => rmSync(directory, { recursive: true }))
  const nodes: TestNode[] = []
  for (let index = 0; index < count; index += 1) {
    const host = `127.0.1.${index + 2}`
    const link = new StoreLink(firstPort)
    link.silence = silence
    await link.start(host, firstPort + 4)
    const path = join(directory, `n${index}.toml`)
    const failureDomain = `d${index}` as FailureDomain
    writeFileSync(path, settingsDocument({ node: `n${index}`, host, failureDomain, callerPort: firstPort, readinessPort: firstPort + 1, peerPort: firstPort + 2, store: `${host}:${firstPort + 4}`, stopGraceSeconds: 1, retryRatio: 0.2, retrySlack: 10 }))
    const settings = readSettings(path)
    if (!settings.ok) throw new Error('unusable settings')
    const lines: string[] = []
    const log = openLog({ node: `n${index}`, failureDomain, level: LogLevel.Info, transport: new LineCollector(lines) })
    const node = new ForwardNode({ settings: new SettingsFile(path, settings.value, log), log, metricsAddress: { host, port: 0 }, droppedLogLines: () => 0, uncaughtErrors: () => 0 })
    await node.start()
    t.teardown(async () => {
      await node.stop()
      link.dispose()
    })
    nodes.push({ self: { node: `n${index}` as NodeId, address: `${host}:${firstPort + 2}`, failureDomain, processor: settings.value.processor }, link, lines, node })
  }
  return rankSchedulers(nodes.map(({ self }) => self)).map(({ node: id }) => nodes.find(({ self }) => self.node === id)!)
}

const hasLine = ({ lines }: TestNode, event: string, subject: string): boolean => lines.some((line) => line.includes(event) && line.includes(subject))

/** Waits until all nodes have logged an event of a server or of a version. Returns how long that took. */
export const timeUntilKnown = async (nodes: readonly TestNode[], event: string, subject: string): Promise<number> => {
  const startedAt = performance.now()
  while (!nodes.every((node) => hasLine(node, event, subject)) && performance.now() - startedAt < 10_000) await sleep(10)
  return performance.now() - startedAt
}

export const putConfiguration = (store: StoreStandin, version: number): void =>
  store.put(StoreKey.Configuration, configurationDocument({ version, routes: [], services: [{ name: 's', isEngine: false }], apiKeys: [] }))

export const startStore = async (t: ExecutionContext, port: number): Promise<StoreStandin> => {
  const store = new StoreStandin()
  await store.start(STORE_HOST, port)
  t.teardown(() => store.dispose())
  putConfiguration(store, 1)
  store.put(`${StoreKey.BackendServers}old`, entryOf('old', false))
  return store
}

/** Lets the store go silent towards some of the nodes that watch it, if any, right after they have begun to wait for a change. */
export const silenceAfterChange = async (store: StoreStandin, nodes: readonly TestNode[], silenced: readonly TestNode[], silence: Silence | null): Promise<void> => {
  await timeUntilKnown(nodes, 'server.arrived', 'old')
  await sleep(2_000)
  putConfiguration(store, 2)
  store.put(`${StoreKey.BackendServers}newer`, entryOf('newer', false))
  await timeUntilKnown(nodes, 'server.arrived', 'newer')
  await sleep(300)
  for (const { link } of silenced) link.silence = silence
}
