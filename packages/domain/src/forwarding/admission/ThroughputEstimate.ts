/** Estimates how much memory of a service's engines is given to requests per millisecond. */
import type { Millis, Tokens } from '../../types.js'

/** Time over which the estimate averages: about as long as an answer occupies its memory. */
const AVERAGING_TIME: Millis = 2_000

/** Exponential average of the tokens of placed requests. While requests wait, it is the rate at which memory becomes free. */
export class ThroughputEstimate {
  #tokens: Tokens = 0
  #updatedAt: Millis

  /** @param now - current time */
  constructor (now: Millis) {
    this.#updatedAt = now
  }

  /** Records that a request is placed. */
  placed (tokens: Tokens, now: Millis): void {
    this.#tokens = this.#remaining(now) + tokens
    this.#updatedAt = now
  }

  /**
   * @param tokens - memory of the requests that are served before another one
   * @param now - current time
   * @returns time until they are served; 0 if nothing is known
   */
  timeFor (tokens: Tokens, now: Millis): Millis {
    const remaining = this.#remaining(now)
    return remaining < 1 ? 0 : tokens * AVERAGING_TIME / remaining
  }

  #remaining (now: Millis): Tokens {
    return this.#tokens * Math.exp(-Math.max(0, now - this.#updatedAt) / AVERAGING_TIME)
  }
}
