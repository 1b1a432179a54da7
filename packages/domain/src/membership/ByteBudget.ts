import type { Millis } from '../types.js'

/** Token bucket that limits the bytes sent per second. */
export class ByteBudget {
  private availableBytes: number
  private refilledAt: Millis | null = null

  /**
   * @param rate - bytes per second
   * @param burst - maximum number of bytes that accumulate while none are sent
   */
  constructor (private readonly rate: number, private readonly burst: number) {
    this.availableBytes = burst
  }

  /** Bytes that may be sent now; negative if more were spent than available. */
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
