/** A node on the users' platform: builds its parts, and stops them in order. */
import { isStoreWatcher } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'
import { EngineMemory, MetadataStore } from '@bluebellhill/platform'
import type { SocketAddress } from '@bluebellhill/platform'
import { HttpPool } from '@bluebellhill/services'

import { monotonicNow } from '../clock/monotonic.js'
import type { Log } from '../log/index.js'
import { DisposableStore } from '../store/index.js'
import { EntryServer } from './entry/EntryServer.js'
import { ReadinessServer } from './entry/ReadinessServer.js'
import { FleetDispatch } from './FleetDispatch.js'
import { ForwardMetrics } from './ForwardMetrics.js'
import { Knowledge } from './Knowledge.js'
import { MetricsServer } from './MetricsServer.js'
import type { SettingsFile } from './SettingsFile.js'
import { KnowledgeExchange } from './peers/KnowledgeExchange.js'
import { PeerLink } from './peers/PeerLink.js'
import { NodeEntry } from './store/NodeEntry.js'
import { StoreContact } from './store/StoreContact.js'
import { StoreFollower } from './store/StoreFollower.js'

/** Time within which the store answers a call that does not wait. */
const STORE_TIMEOUT: Millis = 1_000

/** Time within which an engine answers an order. */
const ORDER_TIMEOUT: Millis = 300

/** Connections to the store: two waiting watches and short calls. */
const STORE_CONNECTIONS = 6

/** Interval at which entries that lapsed are looked for. */
const EXPIRY_PERIOD: Millis = 200

/** Share of the grace after a SIGTERM within which requests may end by themselves. */
const STOP_SHARE = 0.9

export interface ForwardNodeOptions {
  readonly settings: SettingsFile
  readonly log: Log
  /** Where the metrics are served. */
  readonly metrics: SocketAddress
  /** Lines of the log that were dropped. */
  readonly droppedLines: () => number
}

/** One running node. */
export class ForwardNode {
  readonly #disposables = new DisposableStore()
  readonly #metrics = new ForwardMetrics()
  readonly #knowledge: Knowledge
  readonly #dispatch: FleetDispatch
  readonly #entry: EntryServer
  readonly #peers: PeerLink
  readonly #exchange: KnowledgeExchange
  readonly #contact: StoreContact
  readonly #follower: StoreFollower
  readonly #nodeEntry: NodeEntry
  readonly #options: ForwardNodeOptions
  #stopping = false

  /** @param options - settings and outputs */
  constructor (options: ForwardNodeOptions) {
    const { log } = options
    const settings = options.settings.current
    const clock = monotonicNow
    this.#options = options
    this.#knowledge = new Knowledge(log, clock)
    this.#dispatch = new FleetDispatch({
      node: settings.node,
      knowledge: this.#knowledge,
      log,
      clock,
      retries: () => ({ ratio: options.settings.current.retryRatio, slack: options.settings.current.retrySlack }),
      nodes: () => this.#peers.table.all().length + 1
    })
    const peerHttp = new HttpPool(2)
    this.#disposables.add(peerHttp)
    this.#exchange = new KnowledgeExchange({
      knowledge: this.#knowledge,
      http: peerHttp,
      log,
      failureDomain: settings.failureDomain,
      peers: () => this.#peers.table.heard()
    })
    this.#peers = new PeerLink({
      node: settings.node,
      failureDomain: settings.failureDomain,
      host: settings.host,
      port: settings.internalPorts[0],
      startedAt: Date.now(),
      work: this.#dispatch.work,
      knowledge: this.#knowledge,
      log,
      clock,
      onAhead: () => this.#exchange.catchUp(),
      isStoreLost: () => this.#contact.isLost,
      onStoreLost: () => this.#follower.doubt()
    })
    this.#dispatch.onWork((change) => this.#peers.workChanged(change))
    const storeHttp = new HttpPool(STORE_CONNECTIONS)
    this.#disposables.add(storeHttp)
    const store = new MetadataStore({ address: `${settings.store.host}:${settings.store.port}`, http: storeHttp, timeout: STORE_TIMEOUT })
    this.#contact = new StoreContact(this.#knowledge, log, clock, () => this.#peers.storeLost())
    this.#follower = new StoreFollower({
      store,
      knowledge: this.#knowledge,
      contact: this.#contact,
      log,
      clock,
      isClose: () => isStoreWatcher(settings.node, this.#peers.table.heard().map(({ node }) => node))
    })
    this.#nodeEntry = new NodeEntry({
      store,
      node: settings.node,
      address: `${settings.host}:${settings.internalPorts[0]}`,
      found: (addresses) => this.#peers.named(addresses),
      log
    })
    const engineHttp = new HttpPool(2)
    this.#disposables.add(engineHttp)
    const memory = new EngineMemory(engineHttp, ORDER_TIMEOUT)
    this.#entry = new EntryServer({ dispatch: this.#dispatch, knowledge: this.#knowledge, log, metrics: this.#metrics, memory, clock })
  }

  /** Starts to serve. */
  async start (): Promise<void> {
    const { log } = this.#options
    const settings = this.#options.settings.current
    this.#followStore()
    const port = settings.internalPorts[0]
    await Promise.all([
      this.#peers.start(),
      this.#exchange.start(settings.host, port),
      this.#entry.start(settings.callers),
      this.#startReadiness(settings.readiness),
      this.#startMetrics()
    ])
    this.#disposables.add(this.#peers)
    this.#disposables.add(this.#exchange)
    const expiry = setInterval(() => this.#knowledge.expireServers(), EXPIRY_PERIOD)
    this.#disposables.addCleanup(() => clearInterval(expiry))
    log.info('node.started', { callers: `${settings.callers.host}:${settings.callers.port}`, peers: port, store: `${settings.store.host}:${settings.store.port}` })
  }

  /** Ends requests in progress within the grace of the settings, and releases everything. */
  async stop (): Promise<void> {
    if (this.#stopping) return
    this.#stopping = true
    const { settings, log } = this.#options
    const { stopGrace } = settings.current
    const startedAt = monotonicNow()
    log.info('node.stopping', { open_requests: this.#entry.openRequests })
    this.#peers.stopping()
    await this.#entry.stop(stopGrace * STOP_SHARE)
    settings.dispose()
    await this.#disposables.dispose()
    log.info('node.stopped', { after_ms: Math.round(monotonicNow() - startedAt), open_requests: this.#entry.openRequests })
  }

  #followStore (): void {
    this.#disposables.add(this.#follower)
    this.#disposables.add(this.#nodeEntry)
    this.#follower.start()
    this.#nodeEntry.start()
  }

  async #startReadiness (address: SocketAddress): Promise<void> {
    const readiness = new ReadinessServer(() => !this.#stopping && this.#knowledge.table !== null)
    this.#disposables.add(readiness)
    await readiness.start(address)
  }

  async #startMetrics (): Promise<void> {
    const { metrics, droppedLines } = this.#options
    this.#metrics.gauge('configuration_version', 'Version of the configuration in force', () => this.#knowledge.version)
    this.#metrics.gauge('store_lost', 'Whether the store does not answer', () => this.#contact.isLost ? 1 : 0)
    this.#metrics.gauge('backend_servers', 'Backend servers with an entry', () => this.#knowledge.servers.all().length)
    this.#metrics.gauge('backend_servers_avoided', 'Backend servers that are avoided', () => this.#dispatch.health.avoided(monotonicNow()).length)
    this.#metrics.gauge('peers', 'Other nodes that are heard', () => this.#peers.table.heard().length)
    this.#metrics.gauge('open_requests', 'Requests without a final answer', () => this.#entry.openRequests)
    this.#metrics.gauge('log_lines_dropped', 'Lines of the log that found no room', droppedLines)
    const server = new MetricsServer(this.#metrics.registry)
    this.#disposables.add(server)
    await server.start(metrics.host, metrics.port)
  }
}
