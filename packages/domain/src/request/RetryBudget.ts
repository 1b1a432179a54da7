/** Keeps retries below a share of the admitted requests, so that overload is not multiplied. */

import type { Millis } from '../types.js'

const MS_PER_SECOND = 1_000

/** Bounds of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries that each admitted request pays in; 0.1 allows one retry to ten requests. */
  readonly ratio: number
  /** Most retries that can be saved up. */
  readonly capacity: number
  /** Retries a second that are allowed however few requests there are. */
  readonly perSecond: number
}

export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = { ratio: 0.2, capacity: 64, perSecond: 5 }

/** A budget that all requests of one entry node share. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions
  #capacity: number
  #ratio: number
  #saved: number
  #countedUntil: Millis | null = null

  /** @param options - the share of retries and how many can be saved up */
  constructor (options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET) {
    this.#options = options
    this.#capacity = options.capacity
    this.#ratio = options.ratio
    this.#saved = options.capacity
  }

  /** Retries that may be taken now. */
  get available (): number {
    return Math.floor(this.#saved)
  }

  /**
   * Changes the bounds, as when more nodes share them; what is saved above them is lost.
   *
   * @param capacity - most retries that can be saved up
   * @param ratio - retries that each admitted request pays in
   */
  resize (capacity: number, ratio = this.#ratio): void {
    this.#capacity = capacity
    this.#ratio = ratio
    this.#saved = Math.min(this.#saved, capacity)
  }

  /**
   * Pays in for one admitted request.
   *
   * @param now - time, in milliseconds
   */
  deposit (now: Millis): void {
    this.#payInForTime(now)
    this.#payIn(this.#ratio)
  }

  /**
   * Takes one retry out.
   *
   * @param now - time, in milliseconds
   * @returns false when the budget is spent; nothing is taken then
   */
  withdraw (now: Millis): boolean {
    this.#payInForTime(now)
    if (this.#saved < 1) return false
    this.#saved -= 1
    return true
  }

  #payInForTime (now: Millis): void {
    const since = this.#countedUntil ?? now
    this.#countedUntil = Math.max(since, now)
    this.#payIn(this.#options.perSecond * Math.max(0, now - since) / MS_PER_SECOND)
  }

  #payIn (retries: number): void {
    this.#saved = Math.min(this.#capacity, this.#saved + retries)
  }
}
