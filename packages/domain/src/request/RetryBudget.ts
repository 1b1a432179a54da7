/** Limits retries to a share of the admitted requests, so that retries do not amplify an overload. */

import type { Millis } from '../types.js'

const MS_PER_SECOND = 1_000

/** Bounds of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries that each admitted request adds to the budget; 0.1 allows one retry for every ten requests. */
  readonly ratio: number
  /** Largest number of unused retries that the budget accumulates. */
  readonly capacity: number
  /** Retries per second that are added regardless of the number of requests. */
  readonly perSecond: number
}

export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = { ratio: 0.2, capacity: 64, perSecond: 5 }

/** A retry budget that many requests of one node share. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions
  #capacity: number
  #ratio: number
  #balance: number
  #accruedUntil: Millis | null = null

  /** @param options - the rates at which the budget fills, and its capacity */
  constructor (options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET) {
    this.#options = options
    this.#capacity = options.capacity
    this.#ratio = options.ratio
    this.#balance = options.capacity
  }

  /** Number of retries that can be withdrawn now. */
  get available (): number {
    return Math.floor(this.#balance)
  }

  /**
   * Changes the capacity and ratio, for example when more nodes share a fleet-wide budget. Retries above the new
   * capacity are discarded.
   *
   * @param capacity - largest number of unused retries
   * @param ratio - retries that each admitted request adds
   */
  resize (capacity: number, ratio = this.#ratio): void {
    this.#capacity = capacity
    this.#ratio = ratio
    this.#balance = Math.min(this.#balance, capacity)
  }

  /**
   * Adds `ratio` retries for one admitted request.
   *
   * @param now - current time
   */
  deposit (now: Millis): void {
    this.#accrue(now)
    this.#add(this.#ratio)
  }

  /**
   * Withdraws one retry.
   *
   * @param now - current time
   * @returns false if less than one retry is available; the budget is then unchanged
   */
  withdraw (now: Millis): boolean {
    this.#accrue(now)
    if (this.#balance < 1) return false
    this.#balance -= 1
    return true
  }

  #accrue (now: Millis): void {
    const accruedFrom = this.#accruedUntil ?? now
    this.#accruedUntil = Math.max(accruedFrom, now)
    this.#add(this.#options.perSecond * Math.max(0, now - accruedFrom) / MS_PER_SECOND)
  }

  #add (retries: number): void {
    this.#balance = Math.min(this.#capacity, this.#balance + retries)
  }
}
