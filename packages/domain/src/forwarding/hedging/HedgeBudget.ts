/** Limits hedges to a share of the requests. */

/** Hedges that may be saved up, so that a few that fall due together are sent; any number of requests gets at most that many above its share. */
const MAX_SAVED_HEDGES = 5

/** Token bucket that starts empty, so that hedges never exceed their share of the requests counted so far. */
export class HedgeBudget {
  #balance = 0

  /**
   * Adds the share of a hedge that one request allows.
   *
   * @param maxRatio - greatest share of requests that may be hedged
   */
  countRequest (maxRatio: number): void {
    this.#balance = Math.min(MAX_SAVED_HEDGES, this.#balance + maxRatio)
  }

  /** Whether a hedge may be sent now. */
  get isAvailable (): boolean {
    // Sums of shares such as 0.02 come out slightly below the whole number.
    return this.#balance > 1 - 1e-9
  }

  /** Takes one hedge. */
  take (): void {
    this.#balance -= 1
  }
}
