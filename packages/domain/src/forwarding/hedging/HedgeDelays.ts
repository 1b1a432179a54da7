/** Decides after which time a request is later than nearly all recent ones of its kind. */
import type { Millis } from '../../types.js'
import { AnswerTimes } from './AnswerTimes.js'

/** Bounds of the share of answers that must have been faster: below it, a request is not late; above it, there are too few slower ones to measure. */
const MIN_QUANTILE = 0.9
const MAX_QUANTILE = 0.99

/** Kinds of request whose times are remembered. */
const MAX_KINDS = 1_000

/** Share of the allowed hedges that are due in ordinary times. With all of them, each chance accumulation of late requests would find the budget used up. */
const DUE_SHARE = 0.5

/**
 * The share of requests that are later than the delay follows from the share that the operator allows to be hedged, so that the limit is not used up by
 * requests that are hardly late.
 *
 * @param maxRatio - greatest share of requests that may be hedged
 * @returns share of recent answers that must have been faster
 */
export const hedgeQuantile = (maxRatio: number): number => Math.min(MAX_QUANTILE, Math.max(MIN_QUANTILE, 1 - DUE_SHARE * maxRatio))

/**
 * @param maxRatio - greatest share of requests that may be hedged
 * @returns fewest answers among which one is expected above the quantile
 */
export const minHedgeSamples = (maxRatio: number): number => Math.round(1 / (1 - hedgeQuantile(maxRatio)))

/** Durations of the recent answers of each kind of request. */
export class HedgeDelays {
  readonly #times = new Map<string, AnswerTimes>()

  /**
   * Records the end of an attempt. One without a complete answer would have taken longer than it did, so it counts only if it was late already: without
   * it, the delay would sink with each request whose slow attempt is given up for a hedge.
   *
   * @param kind - route or service
   * @param took - time since the attempt was sent
   * @param isComplete - whether its answer was complete
   * @param maxRatio - greatest share of requests that may be hedged
   * @param now - current time
   */
  observe (kind: string, took: Millis, isComplete: boolean, maxRatio: number, now: Millis): void {
    const delay = isComplete ? null : this.delay(kind, maxRatio, now)
    if (isComplete || (delay !== null && took >= delay)) this.#timesOf(kind).observe(took, now)
  }

  /**
   * @param kind - route or service
   * @param maxRatio - greatest share of requests that may be hedged
   * @param now - current time
   * @returns time after which an attempt is later than nearly all; null if too few answers are known
   */
  delay (kind: string, maxRatio: number, now: Millis): Millis | null {
    return this.#times.get(kind)?.quantile(hedgeQuantile(maxRatio), minHedgeSamples(maxRatio), now) ?? null
  }

  #timesOf (kind: string): AnswerTimes {
    const known = this.#times.get(kind)
    if (known !== undefined) return known
    const [oldest] = this.#times.keys()
    if (oldest !== undefined && this.#times.size >= MAX_KINDS) this.#times.delete(oldest)
    const times = new AnswerTimes()
    this.#times.set(kind, times)
    return times
  }
}
