/** Keeps retries below a share of the admitted requests, so that overload is not multiplied. */

/** Bounds of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries that each admitted request pays in; 0.1 allows one retry to ten requests. */
  readonly ratio: number
  /** Most retries that can be saved up. */
  readonly capacity: number
}

export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = { ratio: 0.2, capacity: 64 }

/** A budget that all requests of one entry node share. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions
  #saved: number

  /** @param options - the share of retries and how many can be saved up */
  constructor (options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET) {
    this.#options = options
    this.#saved = options.capacity
  }

  /** Retries that may be taken now. */
  get available (): number {
    return Math.floor(this.#saved)
  }

  /** Pays in for one admitted request. */
  deposit (): void {
    this.#saved = Math.min(this.#options.capacity, this.#saved + this.#options.ratio)
  }

  /**
   * Takes one retry out.
   *
   * @returns false when the budget is spent; nothing is taken then
   */
  withdraw (): boolean {
    if (this.#saved < 1) return false
    this.#saved -= 1
    return true
  }
}
