/** Token bucket with a variable rate that admits single requests larger than its capacity on credit. */
import type { Millis, Tokens } from '../types.js'

/** Fills at the rate, up to the inflow of one burst window. */
export class TokenBucket {
  #rate: number
  readonly #burstWindow: Millis
  #level: number
  #filledAt: Millis

  /**
   * @param rate - tokens per second
   * @param burstWindow - time whose inflow is the bucket's capacity
   * @param now - current time
   */
  constructor (rate: number, burstWindow: Millis, now: Millis) {
    this.#rate = rate
    this.#burstWindow = burstWindow
    this.#level = 0
    this.#filledAt = now
  }

  /** Changes the rate from `now` on. Tokens above the new capacity are discarded. */
  setRate (rate: number, now: Millis): void {
    this.#refill(now)
    this.#rate = rate
    this.#level = Math.min(this.#level, this.#capacity)
  }

  /**
   * Consumes tokens if the level is positive; the level may become negative.
   *
   * A positive level is enough for a request of any size, because a prompt larger than the bucket's capacity could otherwise
   * never be admitted. The negative level delays the following requests.
   *
   * @param tokens - number of tokens
   * @param now - current time
   * @returns 0 if the tokens were consumed, otherwise the time until the level is positive again
   */
  consume (tokens: Tokens, now: Millis): Millis {
    this.#refill(now)
    if (this.#level <= 0 && this.#rate <= 0) return Infinity
    if (this.#level <= 0) return Math.max(1, (1 - this.#level) * 1_000 / this.#rate)
    this.#level -= tokens
    return 0
  }

  /** Returns unused tokens to the bucket. */
  refund (tokens: Tokens, now: Millis): void {
    this.#refill(now)
    this.#level = Math.min(this.#capacity, this.#level + tokens)
  }

  get #capacity (): number {
    return this.#rate * this.#burstWindow / 1_000
  }

  #refill (now: Millis): void {
    const inflow = Math.max(0, now - this.#filledAt) * this.#rate / 1_000
    this.#level = Math.min(this.#capacity, this.#level + inflow)
    this.#filledAt = Math.max(this.#filledAt, now)
  }
}
