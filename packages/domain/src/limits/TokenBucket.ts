/** Tokens that flow in at a rate which may change. */
import type { Millis, Tokens } from '../types.js'

/** Filled by time up to what flows in over the burst window. */
export class TokenBucket {
  #rate: number
  readonly #window: Millis
  #level: number
  #at: Millis

  /**
   * @param rate - tokens a second
   * @param window - time whose inflow can be saved up
   * @param now - time
   */
  constructor (rate: number, window: Millis, now: Millis) {
    this.#rate = rate
    this.#window = window
    this.#level = 0
    this.#at = now
  }

  /** Changes the rate from now on; what was saved up above the new window is lost. */
  setRate (rate: number, now: Millis): void {
    this.#fill(now)
    this.#rate = rate
    this.#level = Math.min(this.#level, this.#capacity)
  }

  /**
   * Takes tokens, going into debt for one request larger than the level.
   *
   * A request is taken while the level is positive, so that a prompt above the window's inflow is served at all; the
   * debt delays the next ones.
   *
   * @returns 0 when taken, else the time until the level is positive again
   */
  take (tokens: Tokens, now: Millis): Millis {
    this.#fill(now)
    if (this.#level <= 0 && this.#rate <= 0) return Infinity
    if (this.#level <= 0) return Math.max(1, (1 - this.#level) * 1_000 / this.#rate)
    this.#level -= tokens
    return 0
  }

  /** Gives back tokens that were not used. */
  giveBack (tokens: Tokens, now: Millis): void {
    this.#fill(now)
    this.#level = Math.min(this.#capacity, this.#level + tokens)
  }

  get #capacity (): number {
    return this.#rate * this.#window / 1_000
  }

  #fill (now: Millis): void {
    const inflow = Math.max(0, now - this.#at) * this.#rate / 1_000
    this.#level = Math.min(this.#capacity, this.#level + inflow)
    this.#at = Math.max(this.#at, now)
  }
}
