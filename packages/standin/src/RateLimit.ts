/** A token bucket. */

const MS_PER_SECOND = 1_000

/** Allows so many calls a second, with bursts of up to one second's worth. */
export class RateLimit {
  private tokens: number
  private filledAt: number | null = null

  /**
   * @param perSecond - calls a second; 0 for no limit
   */
  constructor (private perSecond: number) {
    this.tokens = perSecond
  }

  /**
   * Changes the rate.
   *
   * @param perSecond - calls a second; 0 for no limit
   */
  set (perSecond: number): void {
    if (perSecond === this.perSecond) return
    this.tokens = this.perSecond === 0 ? perSecond : Math.min(this.tokens, perSecond)
    this.perSecond = perSecond
  }

  /**
   * Takes one call.
   *
   * @param now - milliseconds
   * @returns whether it is allowed
   */
  take (now: number): boolean {
    if (this.perSecond === 0) return true
    const elapsed = now - (this.filledAt ?? now)
    this.tokens = Math.min(this.perSecond, this.tokens + elapsed * this.perSecond / MS_PER_SECOND)
    this.filledAt = now
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}
