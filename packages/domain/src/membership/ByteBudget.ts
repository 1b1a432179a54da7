import type { Millis } from '../types.js'

/** Token bucket of bytes. */
export class ByteBudget {
  private tokens: number
  private refilledAt: Millis | null = null

  /**
   * @param rate - bytes a second
   * @param burst - bytes that may be saved up
   */
  constructor (private readonly rate: number, private readonly burst: number) {
    this.tokens = burst
  }

  /** Bytes that may be sent now; negative after an overdraft. */
  available (now: Millis): number {
    const elapsed = this.refilledAt === null ? 0 : now - this.refilledAt
    this.refilledAt = now
    this.tokens = Math.min(this.burst, this.tokens + elapsed * this.rate / 1_000)
    return this.tokens
  }

  spend (bytes: number): void {
    this.tokens -= bytes
  }
}
