import type { Millis } from '../types.js'

/** Time by which a load may start before the rate allows it, in milliseconds. */
const MAX_AHEAD: Millis = 200

/** Delays the starts of model loads, so that their total rate does not exceed that of the weight store. */
export class LoadRateLimiter {
  private busyUntil: Millis = 0

  /** @param rate - bytes per second */
  constructor (private readonly rate: number) {}

  mayStart (now: Millis): boolean {
    return now >= this.busyUntil - MAX_AHEAD
  }

  recordStart (bytes: number, now: Millis): void {
    this.busyUntil = Math.max(now, this.busyUntil) + bytes * 1_000 / this.rate
  }
}
