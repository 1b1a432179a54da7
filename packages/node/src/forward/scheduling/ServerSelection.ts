/** Narrows the backend servers of a service down to those that an attempt may be placed on. */
import { DomainReachability, HealthSignal, isInGroup, ServerHealth } from '@bluebellhill/domain'
import type { BackendServer, Candidate, Millis, NodeId, RunnerId, SchedulerGroup, ServerLoads, Service, SlowdownEstimator } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { FleetState } from '../FleetState.js'
import type { IsolatedAttempts } from './IsolatedAttempts.js'
import type { ServerStatements } from './ServerStatements.js'
import type { PlacementContext, PlacementSpec } from './types.js'

export interface ServerSelectionOptions {
  readonly fleetState: FleetState
  readonly log: Log
  readonly clock: () => Millis
  /** Returns the group whose engines this node places requests on. */
  readonly group: () => SchedulerGroup
  readonly statements: ServerStatements
  readonly slowdowns: SlowdownEstimator
  readonly isolated: IsolatedAttempts
}

/** Servers of a service, by what the operator permits, the servers state, and attempts have shown. */
export class ServerSelection {
  readonly health = new ServerHealth()
  readonly #domainReachability = new DomainReachability()
  readonly #options: ServerSelectionOptions

  /** @param options - the servers, and what is known of them */
  constructor (options: ServerSelectionOptions) {
    this.#options = options
  }

  /**
   * Updates the health estimates of a backend server and of its failure domain after an attempt.
   *
   * @param server - the backend server
   * @param signal - what the attempt shows
   * @param reporter - node that made the attempt
   */
  recordHealthSignal ({ id, service, failureDomain }: BackendServer, signal: HealthSignal, reporter: NodeId): void {
    const { log, clock } = this.#options
    if (this.health.observe(id, signal, clock())) log.warn('server.avoided', { server: id, service, evidence: signal, reporter })
    if (signal !== HealthSignal.Unreachable) this.#domainReachability.recordSuccess(failureDomain)
    else if (this.#domainReachability.recordFailure(failureDomain, id, clock())) log.warn('domain.avoided', { server_domain: failureDomain, server: id, service, reporter })
  }

  /** Discards the health estimate of a server that was removed. */
  remove (id: RunnerId): void {
    this.health.remove(id)
  }

  /**
   * The operator's restrictions hold for every choice: a server that they exclude is no owner, helper or holder, and no last resort.
   *
   * @param spec - the attempt
   * @param service - its service
   * @returns the servers that are ready and may get the attempt
   */
  permitted ({ excluded, allowed, regions }: PlacementSpec, service: Service): BackendServer[] {
    const { servers, restrictions } = this.#options.fleetState
    const permitted = servers.ready(service.name).filter((server) => restrictions.permits(server, regions))
    return permitted.filter(({ id }) => !excluded.includes(id) && (allowed === null || allowed.includes(id)))
  }

  /**
   * @param permitted - servers that may get an attempt
   * @param context - whom the scheduler decides for
   * @param now - current time
   * @returns those that have not stated that they accept nothing now
   */
  open (permitted: readonly BackendServer[], { limitShare }: PlacementContext, now: Millis): BackendServer[] {
    const { statements } = this.#options
    return permitted.filter((server) => !statements.notices.isLeaving(server) && statements.waitTime(server, limitShare, now) === 0)
  }

  /**
   * @param open - servers that accept requests
   * @param now - current time
   * @returns the healthy ones of this node's group; failing these, those of any group, those in reachable failure domains, or all
   */
  candidates (open: readonly BackendServer[], now: Millis): Candidate[] {
    const { group, slowdowns } = this.#options
    const reachable = open.filter(({ failureDomain }) => !this.#domainReachability.isAvoided(failureDomain, now))
    const healthy = reachable.filter(({ id }) => !this.health.isAvoided(id, now))
    const inGroup = healthy.filter(({ failureDomain }) => isInGroup(group(), failureDomain))
    const usable = [inGroup, healthy, reachable, open].find((servers) => servers.length > 0) ?? []
    return usable.map((server) => ({ server, slowdown: slowdowns.slowdown(server.id, now) }))
  }

  /**
   * A suspected request gets a server without another one, so that a crash tells them apart; all other requests avoid that server if they can.
   *
   * @param spec - the attempt
   * @param candidates - servers that it may be placed on
   * @param loads - their loads
   * @returns the candidates that are left; null if the request has to wait for others like it
   */
  candidatesApart ({ isolatedAs }: PlacementSpec, candidates: readonly Candidate[], loads: ServerLoads): readonly Candidate[] | null {
    const inProgress = this.#options.isolated.inProgress(loads)
    if (inProgress.length === 0) return candidates
    const occupied = new Set(inProgress.map(({ server }) => server))
    const apart = candidates.filter(({ server }) => !occupied.has(server.id))
    if (isolatedAs === undefined) return apart.length > 0 ? apart : candidates
    const isTwinInProgress = inProgress.some(({ suspect }) => suspect === isolatedAs)
    return isTwinInProgress || (apart.length === 0 && candidates.length > 0) ? null : apart
  }

  /**
   * The choice of a first attempt falls back to servers that are avoided, and uses cold ones within their limits; a hedge is better not sent.
   *
   * @param candidates - servers that a first attempt may be placed on
   * @param now - current time
   * @returns those that a hedge may be placed on
   */
  hedgeCandidates (candidates: readonly Candidate[], now: Millis): Candidate[] {
    const { coldServers } = this.#options.statements
    const isAvoided = ({ id, failureDomain }: BackendServer): boolean => this.#domainReachability.isAvoided(failureDomain, now) || this.health.isAvoided(id, now)
    return candidates.filter(({ server }) => !isAvoided(server) && coldServers.left(server) === 0)
  }
}
