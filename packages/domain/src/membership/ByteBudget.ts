import type { Millis } from '../types.js'

/** Token bucket of bytes. */
export class ByteBudget {
  private availableBytes: number
  private refilledAt: Millis | null = null

  /**
   * @param rate - bytes a second
   * @param burst - bytes that may be saved up
   */
  constructor (private readonly rate: number, private readonly burst: number) {
    this.availableBytes = burst
  }

  /** Bytes that may be sent now; negative after an overdraft. */
  available (now: Millis): number {
    const elapsed = this.refilledAt === null ? 0 : now - this.refilledAt
    this.refilledAt = now
    this.availableBytes = Math.min(this.burst, this.availableBytes + elapsed * this.rate / 1_000)
    return this.availableBytes
  }

  spend (bytes: number): void {
    this.availableBytes -= bytes
  }
}
