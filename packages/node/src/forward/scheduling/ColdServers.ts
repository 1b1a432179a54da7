/** Keeps which backend servers are cold, and the quota of requests that this node may place on each until it is warm. */
import { coldQuota, ColdSenders, MAX_SENDING_DELAY_S, STRICT_WARM_UP_BOUNDS, tieBreakRank, WarmUps } from '@bluebellhill/domain'
import type { BackendServer, FailureDomain, Millis, NodeId, Quota, RunnerId, SchedulerDirectory, ServerEntry, WarmUpBounds, WarmUpFigures } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { FleetState } from '../FleetState.js'

const MS_PER_SECOND = 1_000

/** Longest time between the placement of a request on a cold server and its sending. */
const MAX_SENDING_DELAY: Millis = MAX_SENDING_DELAY_S * MS_PER_SECOND

export interface ColdServersOptions {
  readonly node: NodeId
  readonly fleetState: FleetState
  readonly log: Log
  readonly clock: () => Millis
  /** Clock on which the silence of other nodes is measured. */
  readonly runningClock: () => Millis
  /** Returns by how much a second may exceed the rate of a cold server; no excess is allowed if absent. */
  readonly warmUpBounds?: () => WarmUpBounds
  /** Nodes that may place requests on the same servers; if absent, this node is the only one. */
  readonly directory?: SchedulerDirectory
  /** Wall clock; that of the process if absent. */
  readonly wallClock?: () => number
}

/** Limit of a cold server. */
export interface ColdLimit {
  /** What this node may place on it; null if it may place nothing. */
  readonly quota: Quota | null
  /** Time for which the limit holds. */
  readonly holdsFor: Millis
}

/** Backend servers that accept fewer requests until they are warm. */
export class ColdServers {
  readonly #options: ColdServersOptions
  readonly #warmUps: WarmUps
  readonly #senders: ColdSenders

  /** @param options - the servers' entries, and the nodes that may place requests on them */
  constructor (options: ColdServersOptions) {
    this.#options = options
    this.#warmUps = new WarmUps((service) => this.#figuresOf(service)?.period ?? null)
    this.#senders = new ColdSenders(options.node, options.directory ?? null)
    options.fleetState.onEntry((entry) => this.#entryArrived(entry))
    options.fleetState.restrictions.onReturn((failureDomains) => this.#evacuationEnded(failureDomains))
  }

  /**
   * Records what a server states in a response.
   *
   * @param server - the backend server
   * @param left - time for which it stays cold
   * @param request - the request that it answers
   */
  stated (server: BackendServer, left: Millis, request: string): void {
    if (this.#warmUps.stated(server, left, this.#options.clock())) this.#logCold(server, 'answer', request)
  }

  /**
   * Records that servers may be cold, since their failure domain got no requests for some time.
   *
   * @param servers - the servers of the failure domain, which may get requests again
   * @param now - current time
   */
  domainReturned (servers: readonly BackendServer[], now: Millis): void {
    for (const server of this.#warmUps.domainReturned(servers, now)) this.#logCold(server, 'domain_returned')
  }

  /**
   * @param server - a backend server
   * @returns whether the number of requests that it may get is limited because of a warm-up
   */
  limits (server: BackendServer, now: Millis): boolean {
    return (this.#figuresOf(server.service)?.requestsPerSecond ?? 0) > 0 && this.#warmUps.limitedFor(server, now) > 0
  }

  /**
   * @param server - a backend server
   * @param groupShare - returns the part of its limit that the schedulers of this node's group may use
   * @param isLone - whether this node decides for its own requests only
   * @param now - current time
   * @returns its limit; null if it has none
   */
  limitOf (server: BackendServer, groupShare: () => number, isLone: boolean, now: Millis): ColdLimit | null {
    const figures = this.#figuresOf(server.service)
    if (figures === null || figures.requestsPerSecond === 0) return null
    const holdsFor = this.#warmUps.limitedFor(server, now)
    if (holdsFor === 0) return null
    const { warmUpBounds, runningClock, node } = this.#options
    const bounds = warmUpBounds?.() ?? STRICT_WARM_UP_BOUNDS
    const allowance = this.#senders.allowance(server.id, figures, bounds, groupShare(), isLone, runningClock())
    const phase = isLone ? tieBreakRank(node, server.id) : 0
    return { quota: allowance < 1 ? null : coldQuota(figures, allowance, phase), holdsFor }
  }

  /**
   * The limit counts requests when they are placed; what is sent much later would come on top of a later second.
   *
   * @param server - the server of a placed attempt
   * @param age - time since it was placed, at most
   * @returns whether it must not be sent any more
   */
  isTooLateFor (server: BackendServer, age: Millis): boolean {
    return age > MAX_SENDING_DELAY && this.limits(server, this.#options.clock())
  }

  /** @returns time for which a server stays cold, for the log; 0 if it is warm */
  left (server: BackendServer): Millis {
    return this.#warmUps.left(server, this.#options.clock())
  }

  /**
   * @param server - a backend server
   * @param now - time for which it is asked
   * @returns how far it has warmed up, from 0 to 1; 1 if its service states no warm-up period
   */
  warmth (server: BackendServer, now: Millis): number {
    const period = this.#figuresOf(server.service)?.period ?? 0
    return period === 0 ? 1 : Math.max(0, 1 - this.#warmUps.left(server, now) / period)
  }

  /** @returns the number of cold servers */
  count (): number {
    const services = this.#options.fleetState.routeTable?.deployment.services ?? []
    return this.#warmUps.count(this.#options.clock(), services.filter(({ warmUp }) => warmUp !== undefined).map(({ name }) => name))
  }

  /**
   * Discards what is known of a server that was removed or has restarted.
   *
   * @param id - the backend server
   */
  remove (id: RunnerId): void {
    this.#warmUps.remove(id)
  }

  #evacuationEnded (failureDomains: readonly FailureDomain[]): void {
    const { fleetState, clock } = this.#options
    this.domainReturned(fleetState.servers.all().filter(({ failureDomain }) => failureDomains.includes(failureDomain)), clock())
  }

  #entryArrived (entry: ServerEntry): void {
    const { clock, wallClock = Date.now } = this.#options
    if (this.#warmUps.entryArrived(entry, clock(), wallClock())) this.#logCold(entry.server, entry.server.warmUpLeft === undefined ? 'started' : 'entry')
  }

  #logCold (server: BackendServer, evidence: string, request?: string): void {
    const left = this.left(server)
    if (left === 0) return
    const figures = this.#figuresOf(server.service)
    this.#options.log.info('server.cold', { server: server.id, service: server.service, left_ms: Math.round(left), evidence, limit: figures?.requestsPerSecond, request })
  }

  #figuresOf (service: string): WarmUpFigures | null {
    return this.#options.fleetState.routeTable?.service(service)?.warmUp ?? null
  }
}
