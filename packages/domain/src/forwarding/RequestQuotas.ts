/** Keeps the requests to each backend server within the limit that it has stated: a token bucket for each server. */
import type { Millis, RunnerId } from '../types.js'

const MS_PER_SECOND = 1_000

/** Unused quota of this time is kept and may be used at once. */
const BURST_TIME: Millis = 1_000

/** Lowest rate that is applied, in requests per second: a server that accepts nothing gets a request at times, whose answer says whether the limit still holds. */
const LOWEST_RATE = 0.1

/** Share of a stated limit that one node may use. */
export interface Quota {
  /** Requests per second that the server accepts from all nodes together. */
  readonly limit: number
  /** Part of the limit that this node may use, from 0 to 1. */
  readonly share: number
  /** Part of an interval that passes before the first request, from 0 to 1; it keeps nodes from starting at the same moment. */
  readonly phase: number
  /** Requests that may be sent at once in addition to the steady rate, if quota was unused; one second of the quota if absent. */
  readonly burst?: number
}

/** Rates of requests to the backend servers that have stated a limit. */
export class RequestQuotas {
  /** Time up to which the quota of each server is used. */
  readonly #usedUntil = new Map<RunnerId, Millis>()

  /**
   * @param server - a backend server
   * @param quota - its limit, and this node's share of it
   * @param now - current time
   * @returns time until it may get another request; 0 if it may now
   */
  waitTime (server: RunnerId, quota: Quota, now: Millis): Millis {
    return Math.max(0, this.#usedUntilOf(server, quota, now) - now - burstOf(quota))
  }

  /**
   * Uses the quota of one request.
   *
   * @param server - the backend server that gets it
   * @param quota - its limit, and this node's share of it
   * @param now - current time
   */
  take (server: RunnerId, quota: Quota, now: Millis): void {
    this.#usedUntil.set(server, Math.max(now, this.#usedUntilOf(server, quota, now)) + intervalOf(quota))
  }

  /**
   * Discards the quota of a server that was removed, has restarted or sets no limit any more.
   *
   * @param server - the backend server
   */
  remove (server: RunnerId): void {
    this.#usedUntil.delete(server)
  }

  /** A new quota starts without a burst. If the rate has risen since the last request, only one interval at the new rate is waited for. */
  #usedUntilOf (server: RunnerId, quota: Quota, now: Millis): Millis {
    const existing = this.#usedUntil.get(server)
    if (existing !== undefined) return Math.min(existing, now + burstOf(quota) + intervalOf(quota))
    const usedUntil = now + burstOf(quota) + quota.phase * intervalOf(quota)
    this.#usedUntil.set(server, usedUntil)
    return usedUntil
  }
}

const intervalOf = ({ limit, share }: Quota): Millis => MS_PER_SECOND / (Math.max(limit, LOWEST_RATE) * share)

const burstOf = (quota: Quota): Millis => {
  const usual = Math.max(0, BURST_TIME - intervalOf(quota))
  return quota.burst === undefined ? usual : Math.min(usual, quota.burst * intervalOf(quota))
}
