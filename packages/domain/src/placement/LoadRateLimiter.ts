import type { Millis } from '../types.js'

/** Time of the rate that may be used ahead, in milliseconds. */
const MAX_AHEAD: Millis = 200

/** Spaces the starts of loads so that together they take no more than the weight store gives. */
export class LoadRateLimiter {
  private busyUntil: Millis = 0

  /** @param rate - bytes a second */
  constructor (private readonly rate: number) {}

  mayStart (now: Millis): boolean {
    return now >= this.busyUntil - MAX_AHEAD
  }

  recordStart (bytes: number, now: Millis): void {
    this.busyUntil = Math.max(now, this.busyUntil) + bytes * 1_000 / this.rate
  }
}
