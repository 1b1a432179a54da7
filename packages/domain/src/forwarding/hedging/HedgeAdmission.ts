/** Decides whether a hedge may be sent, and to which servers: the part of hedging that a scheduler decides for all nodes of its group. */
import type { FailureDomain, Millis } from '../../types.js'
import type { ServerLoads } from '../FleetAssignments.js'
import type { Candidate } from '../PlacementPolicy.js'
import type { BackendServer } from '../types.js'
import { HedgeBudget } from './HedgeBudget.js'
import { HedgeDelays } from './HedgeDelays.js'
import { SlowDomains } from './SlowDomains.js'

/** Share of a service's slots in use from which no hedge is sent. Up to it, a second attempt of each request in progress would find a free slot. */
const MAX_SLOT_SHARE = 0.5

/** Why no hedge is sent. */
export const HedgeRefusal = {
  /** The scheduler has no limit for hedges, so that none may be sent. */
  Off: 'hedging_off',
  /** The operator's share of requests that may be hedged is used up. */
  Ratio: 'hedge_ratio_reached',
  /** Too many slots of the service are in use. */
  Load: 'hedge_high_load',
  /** No other server is free, healthy and staying. */
  NoServer: 'hedge_no_server',
  /** The request, or a part of its prompt, may crash servers. */
  Suspected: 'hedge_suspected'
} as const
export type HedgeRefusal = typeof HedgeRefusal[keyof typeof HedgeRefusal]

/** An attempt that has ended. */
export interface EndedAttempt {
  readonly service: string
  readonly domain: FailureDomain
  /** Time since it was sent. */
  readonly took: Millis
  /** Whether its answer was complete. */
  readonly isComplete: boolean
}

/** What one service's hedges depend on. */
interface ServiceHedges {
  readonly budget: HedgeBudget
  readonly slowDomains: SlowDomains
}

/** Budgets and answer times of the services whose attempts one scheduler places. */
export class HedgeAdmission {
  readonly #delays = new HedgeDelays()
  readonly #services = new Map<string, ServiceHedges>()

  /** Counts a request, of which the operator allows a share to be hedged. */
  countRequest (service: string, maxRatio: number): void {
    this.#hedgesOf(service).budget.countRequest(maxRatio)
  }

  /** Records the end of an attempt. */
  observe ({ service, domain, took, isComplete }: EndedAttempt, maxRatio: number, now: Millis): void {
    const delay = this.delay(service, maxRatio, now)
    const isLate = delay !== null && took >= delay
    this.#delays.observe(service, took, isComplete, maxRatio, now)
    if (isComplete || isLate) this.#hedgesOf(service).slowDomains.observe(domain, took, now)
  }

  /** @returns time after which an attempt is later than nearly all of its service; null if too few answers are known */
  delay (service: string, maxRatio: number, now: Millis): Millis | null {
    return this.#delays.delay(service, maxRatio, now)
  }

  /**
   * @param service - service of the request
   * @param servers - all servers of the service that accept requests
   * @param loads - their loads
   * @returns why no hedge may be sent now; null if one may
   */
  refusal (service: string, servers: readonly BackendServer[], loads: ServerLoads): HedgeRefusal | null {
    const slots = servers.reduce((sum, server) => sum + server.slots, 0)
    const requests = servers.reduce((sum, { id }) => sum + loads.get(id).requests.length, 0)
    if (requests >= MAX_SLOT_SHARE * slots) return HedgeRefusal.Load
    return this.#hedgesOf(service).budget.isAvailable ? null : HedgeRefusal.Ratio
  }

  /**
   * @param service - service of the request
   * @param candidates - servers that may get the hedge; without that of the first attempt
   * @param loads - their loads
   * @param now - current time
   * @returns those with a free slot, outside failure domains that are slow as a whole if there are others
   */
  candidates (service: string, candidates: readonly Candidate[], loads: ServerLoads, now: Millis): readonly Candidate[] {
    const free = candidates.filter(({ server }) => loads.get(server.id).requests.length < server.slots)
    const slow = this.#hedgesOf(service).slowDomains.slow(now)
    const elsewhere = free.filter(({ server }) => !slow.includes(server.failureDomain))
    return elsewhere.length > 0 ? elsewhere : free
  }

  /** Takes a hedge from the budget, once its server is chosen. */
  take (service: string): void {
    this.#hedgesOf(service).budget.take()
  }

  #hedgesOf (service: string): ServiceHedges {
    const known = this.#services.get(service)
    if (known !== undefined) return known
    const hedges = { budget: new HedgeBudget(), slowDomains: new SlowDomains() }
    this.#services.set(service, hedges)
    return hedges
  }
}
