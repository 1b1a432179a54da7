/** Builds the components of a node on the users' platform, and starts and stops them. */
import { SchedulerDirectory, STRICT_WARM_UP_BOUNDS } from '@bluebellhill/domain'
import type { Millis, SchedulerCandidate, WarmUpBounds } from '@bluebellhill/domain'
import { EngineMemoryClient, MetadataStore, StoreKey } from '@bluebellhill/platform'
import type { PlatformSettings, SocketAddress } from '@bluebellhill/platform'
import { HttpPool } from '@bluebellhill/services'

import { monotonicNow } from '../clock/monotonic.js'
import { RunningClock } from '../clock/RunningClock.js'
import type { Log } from '../log/index.js'
import { DisposableStore } from '../store/index.js'
import { AnswerMemory } from './backend/AnswerMemory.js'
import { NodeBuffers } from './buffers/NodeBuffers.js'
import { EntryServer } from './entry/EntryServer.js'
import { ReadinessServer } from './entry/ReadinessServer.js'
import { ForwardMetrics } from './ForwardMetrics.js'
import { FleetState } from './FleetState.js'
import { measureMemory, MemoryWatch } from './MemoryWatch.js'
import { MetricsServer } from './MetricsServer.js'
import { addNodeGauges } from './nodeGauges.js'
import { bufferLimitsOf, connectionLimitsOf } from './nodeLimits.js'
import type { SettingsFile } from './SettingsFile.js'
import { ReadTurns } from './ReadTurns.js'
import { FleetStateExchange } from './peers/FleetStateExchange.js'
import { PeerLink } from './peers/PeerLink.js'
import { PlacementClient } from './scheduling/PlacementClient.js'
import { Relay } from './relay/Relay.js'
import { Scheduler } from './scheduling/Scheduler.js'
import { SchedulerHost } from './scheduling/SchedulerHost.js'
import { StartPhase, StartTimes } from './StartTimes.js'
import { NodeRegistration } from './store/NodeRegistration.js'
import { StoreAvailability } from './store/StoreAvailability.js'
import { StoreProbe } from './store/StoreProbe.js'
import { StoreSync } from './store/StoreSync.js'

/** Timeout of a call to the store that does not wait for changes. */
const STORE_TIMEOUT: Millis = 1_000

/** Timeout of a call that reserves or releases KV cache memory on an engine. */
const RESERVATION_CALL_TIMEOUT: Millis = 300

/** Connections to the store: two for the watches that wait for changes, or six for the first listings of a node, and the others for short calls. */
const STORE_CONNECTIONS = 8

/** Interval at which expired entries of backend servers are removed. */
const EXPIRY_PERIOD: Millis = 200

/** Share of the stop grace after a SIGTERM in which requests in progress may finish. */
const STOP_GRACE_SHARE = 0.9

/** Share of the stop grace after that in which the callers can read what they are told of requests that have not finished. */
const WRITE_OUT_SHARE = 0.05

export interface ForwardNodeOptions {
  readonly settings: SettingsFile
  readonly log: Log
  /** Address at which the metrics are served. */
  readonly metricsAddress: SocketAddress
  /** Returns the number of dropped log lines. */
  readonly droppedLogLines: () => number
  /** Returns the number of errors that no task has handled. */
  readonly uncaughtErrors: () => number
}

/** Runs one node. */
export class ForwardNode {
  readonly #disposables = new DisposableStore()
  readonly #metrics = new ForwardMetrics()
  readonly #runningClock = new RunningClock(monotonicNow)
  readonly #startTimes: StartTimes
  readonly #fleetState: FleetState
  readonly #directory: SchedulerDirectory
  readonly #scheduler: Scheduler
  readonly #placement: PlacementClient
  readonly #relay: Relay
  readonly #entryServer: EntryServer
  readonly #buffers: NodeBuffers
  readonly #peerLink: PeerLink
  readonly #fleetStateExchange: FleetStateExchange
  readonly #storeAvailability: StoreAvailability
  readonly #storeSync: StoreSync
  readonly #storeProbe: StoreProbe
  readonly #nodeRegistration: NodeRegistration
  readonly #options: ForwardNodeOptions
  /** Stop under way; null until the first call. */
  #stopping: Promise<void> | null = null
  #starting: Promise<void> = Promise.resolve()

  /** @param options - settings, log and metrics address */
  constructor (options: ForwardNodeOptions) {
    const { log } = options
    const settings = options.settings.current
    const clock = monotonicNow
    const runningClock = (): Millis => this.#runningClock.now()
    const self = candidateOf(settings)
    this.#options = options
    this.#startTimes = new StartTimes({ log, metrics: this.#metrics, clock, processorTime })
    this.#startTimes.reached(StartPhase.SettingsRead)
    this.#fleetState = new FleetState(log, clock, () => options.settings.current.regions)
    this.#directory = new SchedulerDirectory(self, runningClock())
    this.#scheduler = new Scheduler({
      node: settings.node,
      fleetState: this.#fleetState,
      log,
      clock,
      runningClock,
      retryBounds: () => ({ ratio: options.settings.current.retryRatio, slack: options.settings.current.retrySlack, window: options.settings.current.retryWindow }),
      hedgeRatio: () => options.settings.current.hedgingMaxRatio,
      warmUpBounds: () => warmUpBoundsOf(options.settings.current),
      schedulerCount: () => this.#schedulerCount(),
      group: () => this.#directory.group,
      directory: this.#directory
    })
    const send: PeerLink['send'] = (address, content) => this.#peerLink.send(address, content)
    const schedulerHost = new SchedulerHost({ scheduler: this.#scheduler, log, clock, runningClock, send })
    this.#placement = new PlacementClient({
      node: settings.node,
      scheduler: this.#scheduler,
      directory: this.#directory,
      fleetState: this.#fleetState,
      log,
      clock,
      runningClock,
      send,
      settlingTime: () => this.#runningClock.settlingTime(),
      onUncoordinatedPlacement: () => this.#peerLink.reportSoon(),
      onNotice: (notice) => this.#peerLink.noticeHeard(notice)
    })
    const peerHttp = new HttpPool(2)
    this.#disposables.add(peerHttp)
    this.#fleetStateExchange = new FleetStateExchange({
      fleetState: this.#fleetState,
      http: peerHttp,
      log,
      metrics: this.#metrics,
      clock,
      failureDomain: settings.failureDomain,
      peers: () => this.#peerLink.sources(),
      connectionLimit: connectionLimitsOf(settings).peers,
      onRelayed: (request, response) => { void this.#entryServer.serveRelayed(request, response) }
    })
    this.#peerLink = new PeerLink({
      self,
      startedAt: Date.now(),
      scheduler: this.#scheduler,
      directory: this.#directory,
      fleetState: this.#fleetState,
      log,
      clock,
      runningClock,
      schedulersInUse: () => this.#placement.schedulersInUse(),
      onPeerAhead: () => this.#fleetStateExchange.catchUp(),
      isStoreLost: () => this.#storeAvailability.isLost,
      onPeerStoreLost: () => this.#storeSync.checkStore(),
      onCandidateHeard: () => this.#candidateHeard(),
      onPlacementMessage: (message, address) => {
        schedulerHost.handle(message, address)
        this.#placement.handle(message, address)
      }
    })
    const storeHttp = new HttpPool(STORE_CONNECTIONS)
    this.#disposables.add(storeHttp)
    const store = new MetadataStore({ address: `${settings.store.host}:${settings.store.port}`, http: storeHttp, timeout: STORE_TIMEOUT })
    this.#storeAvailability = new StoreAvailability(this.#fleetState, log, clock, () => this.#peerLink.announceStoreLost())
    const isStoreWatcher = (): boolean => this.#directory.isStoreWatcher(runningClock())
    this.#storeSync = new StoreSync({
      store,
      fleetState: this.#fleetState,
      availability: this.#storeAvailability,
      metrics: this.#metrics,
      log,
      clock,
      isStoreWatcher,
      onListed: (prefix, entries) => { if (prefix === StoreKey.BackendServers) this.#startTimes.reached(StartPhase.ServersListed, { servers: entries }) }
    })
    this.#storeProbe = new StoreProbe({
      store,
      node: settings.node,
      availability: this.#storeAvailability,
      clock,
      changeBound: settings.changeBound,
      isStoreWatcher,
      onSilent: () => this.#storeSync.storeSilent(),
      onRevision: (revision) => this.#storeSync.storeAt(revision)
    })
    this.#nodeRegistration = new NodeRegistration({
      store,
      self,
      onNodesListed: (nodes, addresses) => {
        this.#startTimes.reached(StartPhase.NodesListed, { nodes: nodes.length + addresses.length })
        this.#peerLink.addNodes(nodes, addresses)
      },
      log
    })
    this.#fleetState.onChange(() => this.#fleetStateChanged())
    this.#fleetState.onStoreRestored(() => this.#nodeRegistration.storeRestored())
    const engineHttp = new HttpPool(2)
    this.#disposables.add(engineHttp)
    const memory = new EngineMemoryClient(engineHttp, RESERVATION_CALL_TIMEOUT)
    this.#relay = new Relay({
      node: settings.node,
      failureDomain: settings.failureDomain,
      directory: this.#directory,
      fleetState: this.#fleetState,
      log,
      clock,
      runningClock,
      onServerUnreachable: (server) => this.#placement.reportUnreachable(server)
    })
    this.#disposables.add(this.#relay)
    this.#buffers = new NodeBuffers({ ...bufferLimitsOf(settings, measureMemory().heapLimit), log, metrics: this.#metrics, clock: runningClock })
    this.#entryServer = new EntryServer({ relay: this.#relay, placement: this.#placement, fleetState: this.#fleetState, log, metrics: this.#metrics, startTimes: this.#startTimes, memory, answerMemory: new AnswerMemory(), readTurns: new ReadTurns(), buffers: this.#buffers, clock }, connectionLimitsOf(settings).callers)
  }

  #fleetStateChanged (): void {
    if (this.#fleetState.routeTable !== null) this.#startTimes.reached(StartPhase.ConfigurationInForce, { configuration_version: this.#fleetState.configurationVersion })
    if (this.#fleetState.servers.all().length > 0) this.#startTimes.reached(StartPhase.ServersKnown)
  }

  #candidateHeard (): void {
    this.#startTimes.reached(StartPhase.PeerHeard)
    const scheduler = this.#directory.scheduler(this.#runningClock.now())
    if (scheduler.node !== this.#options.settings.current.node) this.#startTimes.reached(StartPhase.SchedulerKnown, { first_scheduler: scheduler.node })
  }

  /** Starts all components; the node then serves callers. */
  async start (): Promise<void> {
    this.#starting = this.#startComponents()
    await this.#starting
  }

  /**
   * Waits for a start in progress and for requests in progress, within the stop grace of the settings, then releases all resources. Further calls
   * wait for the stop under way.
   */
  async stop (): Promise<void> {
    this.#stopping ??= this.#stopComponents()
    await this.#stopping
  }

  async #stopComponents (): Promise<void> {
    await this.#starting
    const { settings, log } = this.#options
    const { stopGrace } = settings.current
    const startedAt = monotonicNow()
    this.#startTimes.dispose()
    log.info('node.stopping', { open_requests: this.#entryServer.openRequests, grace_ms: Math.round(stopGrace * STOP_GRACE_SHARE) })
    this.#peerLink.announceStopping()
    await this.#entryServer.stop(stopGrace * STOP_GRACE_SHARE, stopGrace * WRITE_OUT_SHARE)
    settings.dispose()
    await this.#disposables.dispose()
    const cutOff = this.#entryServer.cutOffByStage()
    log.info('node.stopped', {
      after_ms: Math.round(monotonicNow() - startedAt),
      open_requests: this.#entryServer.openRequests,
      cut_off: [...cutOff.values()].reduce((sum, count) => sum + count, 0),
      cut_off_stages: [...cutOff].map(([stage, count]) => `${stage}:${count}`).join(',') || undefined
    })
  }

  async #startComponents (): Promise<void> {
    const { log } = this.#options
    const settings = this.#options.settings.current
    this.#runningClock.start()
    this.#disposables.add(this.#runningClock)
    this.#startStoreClients()
    const port = settings.internalPorts[0]
    await Promise.all([
      this.#peerLink.start(),
      this.#fleetStateExchange.start(settings.host, port),
      this.#entryServer.start(settings.callers),
      this.#startReadiness(settings.readiness),
      this.#startMetrics()
    ])
    this.#disposables.add(this.#peerLink)
    this.#disposables.add(this.#placement)
    this.#disposables.add(this.#fleetStateExchange)
    this.#startMemoryWatch(settings.memory)
    const expiry = setInterval(() => this.#fleetState.expireServers(), EXPIRY_PERIOD)
    this.#disposables.addCleanup(() => clearInterval(expiry))
    this.#startTimes.reached(StartPhase.Listening)
    log.info('node.started', { callers: `${settings.callers.host}:${settings.callers.port}`, peers: port, store: `${settings.store.host}:${settings.store.port}` })
  }

  /** Number of groups if the fleet is divided; otherwise one scheduler places all requests. */
  #schedulerCount (): number {
    if (this.#directory.group.domain === null) return 1
    return new Set(this.#fleetState.servers.all().map(({ failureDomain }) => failureDomain)).size
  }

  #startStoreClients (): void {
    this.#disposables.add(this.#storeSync)
    this.#disposables.add(this.#storeProbe)
    this.#disposables.add(this.#nodeRegistration)
    this.#storeSync.start()
    this.#storeProbe.start()
    this.#nodeRegistration.start()
  }

  /** Whether this node accepts callers: it has a configuration and a list of the backend servers, which may be empty. */
  #isReady (): boolean {
    const { routeTable, serversRevision } = this.#fleetState
    const isReady = this.#stopping === null && routeTable !== null && serversRevision > 0
    if (isReady) this.#startTimes.reached(StartPhase.Ready)
    return isReady
  }

  #startMemoryWatch (limit: number | null): void {
    const watch = new MemoryWatch({ limit, measure: measureMemory, describe: () => ({ open_requests: this.#entryServer.openRequests, ...this.#buffers.describe() }), log: this.#options.log })
    this.#disposables.add(watch)
    watch.start()
  }

  async #startReadiness (address: SocketAddress): Promise<void> {
    const readiness = new ReadinessServer(() => this.#isReady())
    this.#disposables.add(readiness)
    await readiness.start(address)
  }

  async #startMetrics (): Promise<void> {
    const { metricsAddress, droppedLogLines, uncaughtErrors } = this.#options
    addNodeGauges(this.#metrics, {
      fleetState: this.#fleetState,
      storeAvailability: this.#storeAvailability,
      scheduler: this.#scheduler,
      peerLink: this.#peerLink,
      entryServer: this.#entryServer,
      buffers: this.#buffers,
      clock: monotonicNow,
      droppedLogLines,
      uncaughtErrors
    })
    const server = new MetricsServer(this.#metrics.registry)
    this.#disposables.add(server)
    await server.start(metricsAddress.host, metricsAddress.port)
  }
}

/** @returns processor time of this process so far, in microseconds */
const processorTime = (): number => {
  const { user, system } = process.cpuUsage()
  return user + system
}

const warmUpBoundsOf = ({ warmUpOverage, warmUpTolerance }: PlatformSettings): WarmUpBounds => ({
  overage: warmUpOverage ?? STRICT_WARM_UP_BOUNDS.overage,
  tolerance: warmUpTolerance ?? STRICT_WARM_UP_BOUNDS.tolerance
})

const candidateOf = ({ node, host, internalPorts, failureDomain, processor }: PlatformSettings): SchedulerCandidate =>
  ({ node, address: `${host}:${internalPorts[0]}`, failureDomain, processor })
