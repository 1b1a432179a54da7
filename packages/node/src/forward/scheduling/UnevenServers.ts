/** Places requests of plain services whose servers are uneven, and logs which servers differ from the others. */
import { ExpectedTimePlacement } from '@bluebellhill/domain'
import type { BackendServer, Millis, NodeId, PlacementChoice, PlacementRequest, RunnerId, ServerLoads, Service, ServiceTime } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { FleetState } from '../FleetState.js'
import type { ColdServers } from './ColdServers.js'

/** Shortest time between two log lines about the speed of one server. */
const LOG_INTERVAL: Millis = 1_000

export interface UnevenServersOptions {
  readonly node: NodeId
  readonly fleetState: FleetState
  readonly coldServers: ColdServers
  readonly log: Log
  readonly clock: () => Millis
}

/** What was logged last of the speed of a server. */
interface LoggedSpeed {
  readonly isUneven: boolean
  readonly at: Millis
}

/** What a choice depends on. */
interface Speed {
  readonly server: BackendServer
  readonly requests: number
  readonly relative: number
  readonly warmth: number
}

/** Servers of the plain services whose configuration states warm-up figures. */
export class UnevenServers {
  readonly policy: ExpectedTimePlacement
  readonly #options: UnevenServersOptions
  readonly #logged = new Map<RunnerId, LoggedSpeed>()

  /** @param options - the servers, and which of them are cold */
  constructor (options: UnevenServersOptions) {
    this.#options = options
    this.policy = new ExpectedTimePlacement({ node: options.node, warmthOf: (server, now) => options.coldServers.warmth(server, now) })
  }

  /**
   * Records a complete answer, unless the servers of its service count as equal.
   *
   * @param id - the backend server
   * @param answer - the answer
   * @param reporter - node that received it
   */
  observe (id: RunnerId, answer: ServiceTime, reporter: NodeId): void {
    const { fleetState, clock } = this.#options
    const server = fleetState.servers.find(id)
    const service = server === null ? null : fleetState.routeTable?.service(server.service) ?? null
    if (server === null || service === null || !isUneven(service)) return
    const now = clock()
    this.policy.observe(server, answer, now)
    this.#logChange(server, answer, reporter, now)
  }

  /**
   * Logs a choice that passes over a slower, faster or cold server with no more requests.
   *
   * @param name - id of the request
   * @param request - what the choice was made from
   * @param choice - the choice
   */
  logChoice (name: string, { candidates, loads, now }: PlacementRequest, { server: chosen }: PlacementChoice): void {
    const speeds = candidates.map(({ server }) => this.#speedOf(server, loads, now)).sort((a, b) => a.requests - b.requests)
    const speed = this.#speedOf(chosen, loads, now)
    const other = speeds.find(({ requests, relative, warmth }) => requests <= speed.requests && (relative !== speed.relative || warmth !== speed.warmth))
    if (other === undefined) return
    const age = this.policy.times.age(other.server, now)
    this.#options.log.info('placement.by_time', {
      request: name,
      ...speedFields('server', speed),
      ...speedFields('other', other),
      other_age_ms: age === null ? undefined : Math.round(age)
    })
  }

  /** @returns the number of servers that differ from the others of their service */
  count (): number {
    const { fleetState, clock } = this.#options
    const now = clock()
    return fleetState.servers.all().filter((server) => this.policy.times.relative(server, now) !== 1).length
  }

  /**
   * Discards what is known of a server that was removed or has restarted.
   *
   * @param id - the backend server
   */
  remove (id: RunnerId): void {
    this.policy.remove(id)
    this.#logged.delete(id)
  }

  #speedOf (server: BackendServer, loads: ServerLoads, now: Millis): Speed {
    return { server, requests: loads.get(server.id).requests.length, relative: this.policy.times.relative(server, now), warmth: this.#options.coldServers.warmth(server, now) }
  }

  #logChange (server: BackendServer, { time, requestsBefore }: ServiceTime, reporter: NodeId, now: Millis): void {
    const relative = this.policy.times.relative(server, now)
    const before = this.#logged.get(server.id) ?? { isUneven: false, at: -Infinity }
    if (before.isUneven === (relative !== 1) || now - before.at < LOG_INTERVAL) return
    this.#logged.set(server.id, { isUneven: relative !== 1, at: now })
    this.#options.log.info(relative === 1 ? 'server.even' : 'server.uneven', {
      server: server.id, service: server.service, relative: rounded(relative), answered_ms: Math.round(time), requests_before: requestsBefore, reporter
    })
  }
}

/**
 * @param service - a service
 * @returns whether its servers are uneven: its operator states how they warm up
 */
export const isUneven = ({ engine, warmUp }: Service): boolean => engine === null && warmUp !== undefined

const speedFields = (name: string, { server, requests, relative, warmth }: Speed): Record<string, unknown> => ({
  [name]: server.id, [`${name}_requests`]: requests, [`${name}_relative`]: rounded(relative), [`${name}_warmth`]: warmth === 1 ? undefined : rounded(warmth)
})

const rounded = (ratio: number): number => Math.round(ratio * 100) / 100
