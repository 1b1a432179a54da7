/** Keeps the durations of the most recent answers of one kind, and estimates their quantiles. */
import type { Millis } from '../../types.js'

/** Number of most recent answers that an estimate uses. Five of them are above the highest quantile that is asked for. */
const MAX_SAMPLES = 512

/** Age at which an answer no longer counts: servers and load have changed since. */
const SAMPLE_EXPIRY: Millis = 60_000

/** Time for which an estimate is kept, so that its cost does not grow with the number of requests. */
const ESTIMATE_EXPIRY: Millis = 250

/** Durations of recent answers in a ring. */
export class AnswerTimes {
  readonly #durations: Millis[] = []
  readonly #endedAt: Millis[] = []
  #next = 0
  #sorted = new Float64Array()
  #sortedAt: Millis = -Infinity

  /**
   * Records an answer.
   *
   * @param took - time from the sending of the request to the end of its answer
   * @param now - current time
   */
  observe (took: Millis, now: Millis): void {
    this.#durations[this.#next] = took
    this.#endedAt[this.#next] = now
    this.#next = (this.#next + 1) % MAX_SAMPLES
  }

  /**
   * @param share - share of the answers that took no longer, from 0 to 1
   * @param minSamples - fewest recent answers that an estimate needs
   * @param now - current time
   * @returns the duration, as of at most 250 ms ago; null if there were too few answers
   */
  quantile (share: number, minSamples: number, now: Millis): Millis | null {
    if (now - this.#sortedAt >= ESTIMATE_EXPIRY) this.#sort(now)
    if (this.#sorted.length < minSamples) return null
    return this.#sorted[Math.min(this.#sorted.length - 1, Math.floor(share * this.#sorted.length))] ?? null
  }

  #sort (now: Millis): void {
    this.#sorted = Float64Array.from(this.#durations.filter((_, index) => now - (this.#endedAt[index] ?? -Infinity) <= SAMPLE_EXPIRY)).sort()
    this.#sortedAt = now
  }
}
