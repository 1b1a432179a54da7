/** Loads of the other groups of the fleet, for requests that this group cannot serve in time. */
import type { FailureDomain, Millis } from '../types.js'

/** Age at which the load of a group is discarded. */
const LOAD_EXPIRY: Millis = 2_000

/** Share of the slots of a group that may be taken if it is to receive requests of other groups. */
const ACCEPTING_SHARE = 0.6

/** Load of the engines of one service in one group. */
export interface ServiceLoad {
  readonly service: string
  /** Slots of all engines. */
  readonly slots: number
  /** Requests on all engines. */
  readonly requests: number
  /** Sum of the pending prefills of all engines, divided by their number. */
  readonly meanPendingPrefill: Millis
}

/** Loads that the scheduler of a group announces. */
export interface GroupLoad {
  readonly domain: FailureDomain
  /** `ip:port` of the scheduler. */
  readonly address: string
  readonly services: readonly ServiceLoad[]
}

/** Keeps the newest load of each other group. */
export class GroupLoads {
  readonly #loads = new Map<FailureDomain, { readonly load: GroupLoad, readonly receivedAt: Millis }>()

  /**
   * Records the load that the scheduler of another group announced.
   *
   * @param load - the load
   * @param now - current time
   */
  record (load: GroupLoad, now: Millis): void {
    this.#loads.set(load.domain, { load, receivedAt: now })
  }

  /**
   * @param now - current time
   * @returns the other groups whose load was announced lately
   */
  heardDomains (now: Millis): FailureDomain[] {
    return [...this.#loads.values()].filter(({ receivedAt }) => now - receivedAt <= LOAD_EXPIRY).map(({ load }) => load.domain)
  }

  /**
   * @param service - service of a request that this group cannot serve in time
   * @param ownPendingPrefill - predicted wait on this group's engines
   * @param now - current time
   * @returns address of the scheduler of the least loaded group that can serve it sooner; null if there is none
   */
  findRelief (service: string, ownPendingPrefill: Millis, now: Millis): string | null {
    const options = [...this.#loads.values()].filter(({ receivedAt }) => now - receivedAt <= LOAD_EXPIRY).flatMap(({ load }) => {
      const own = load.services.find((candidate) => candidate.service === service)
      return own === undefined || own.slots === 0 ? [] : [{ address: load.address, share: own.requests / own.slots, pending: own.meanPendingPrefill }]
    })
    const accepting = options.filter(({ share, pending }) => share < ACCEPTING_SHARE && pending < ownPendingPrefill)
    return accepting.sort((a, b) => a.pending - b.pending || a.share - b.share)[0]?.address ?? null
  }
}
