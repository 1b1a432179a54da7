/** The part of a scheduler that decides on hedges: second attempts beside ones that are later than nearly all others. */
import { HedgeAdmission, HedgeRefusal, HealthSignal } from '@bluebellhill/domain'
import type { Assignment, BackendServer, Candidate, Millis, ServerLoads } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { FleetState } from '../FleetState.js'
import type { PlacementSpec } from '../scheduling/types.js'

export interface HedgePlacementOptions {
  readonly fleetState: FleetState
  readonly log: Log
  /** Returns the greatest share of requests that may be hedged; null to send no hedges. */
  readonly maxRatio: () => number | null
  readonly clock: () => Millis
}

/** Applies the limits of hedges to the attempts that one scheduler places, and learns from them when an attempt is late. */
export class HedgePlacement {
  readonly #admission = new HedgeAdmission()
  readonly #options: HedgePlacementOptions

  /** @param options - backend servers, and the operator's limit */
  constructor (options: HedgePlacementOptions) {
    this.#options = options
  }

  /** Greatest share of requests that may be hedged; null if no hedges are sent. */
  get maxRatio (): number | null {
    return this.#options.maxRatio()
  }

  /** Counts a request, of which the operator allows a share to be hedged. */
  countRequest (service: string): void {
    if (this.maxRatio !== null) this.#admission.countRequest(service, this.maxRatio)
  }

  /**
   * Records the end of an attempt at a plain service. Engines are not hedged, and the time of their answers depends on the prompt.
   *
   * @param assignment - the attempt
   * @param signal - what it shows of its server; null if nothing
   */
  attemptEnded ({ server: id, sentAt }: Assignment, signal: HealthSignal | null): void {
    const { fleetState, clock } = this.#options
    const server = fleetState.servers.find(id)
    if (this.maxRatio === null || server === null || !this.#isPlain(server.service)) return
    const now = clock()
    const ended = { service: server.service, domain: server.failureDomain, took: now - sentAt, isComplete: signal === HealthSignal.Good }
    this.#admission.observe(ended, this.maxRatio, now)
  }

  /** @returns time after which an attempt is later than nearly all recent ones of its service; null if it must not be hedged, or too few are known */
  delay (service: string): Millis | null {
    return this.maxRatio === null || !this.#isPlain(service) ? null : this.#admission.delay(service, this.maxRatio, this.#options.clock())
  }

  /**
   * @param spec - a hedge
   * @param healthy - servers that may get it, without those that are avoided, cold, evacuated, leaving, or have got the request already
   * @param loads - loads of all servers
   * @returns the servers that may get it; or why none may
   */
  select ({ request, service, regions, isSuspected, isolatedAs, trialParts }: PlacementSpec, healthy: readonly Candidate[], loads: ServerLoads): readonly Candidate[] | HedgeRefusal {
    const { fleetState, clock } = this.#options
    if (this.maxRatio === null || !this.#isPlain(service)) return HedgeRefusal.Off
    if (isSuspected || isolatedAs !== undefined || trialParts.length > 0) return HedgeRefusal.Suspected
    const servers = fleetState.servers.ready(service).filter((server) => fleetState.restrictions.permits(server, regions))
    const refusal = this.#admission.refusal(service, servers, loads)
    if (refusal !== null) {
      this.#logLimit(request, service, refusal, servers, loads)
      return refusal
    }
    const candidates = this.#admission.candidates(service, healthy, loads, clock())
    return candidates.length > 0 ? candidates : HedgeRefusal.NoServer
  }

  /** Takes a hedge from the budget. */
  placed (service: BackendServer['service']): void {
    this.#admission.take(service)
  }

  #logLimit (request: string, service: string, reason: HedgeRefusal, servers: readonly BackendServer[], loads: ServerLoads): void {
    const requests = servers.reduce((sum, { id }) => sum + loads.get(id).requests.length, 0)
    const slots = servers.reduce((sum, server) => sum + server.slots, 0)
    this.#options.log.info('hedge.limited', { request, service, reason, requests, slots, max_ratio: this.maxRatio ?? undefined })
  }

  #isPlain (service: string): boolean {
    return this.#options.fleetState.routeTable?.service(service)?.engine === null
  }
}
