import type { Millis } from '../types.js'

/** Time of the rate that may be used ahead, in milliseconds. */
const AHEAD: Millis = 200

/** Spaces the starts of loads so that together they take no more than the weight store gives. */
export class LoadPace {
  private freeAt: Millis = 0

  /** @param rate - bytes a second */
  constructor (private readonly rate: number) {}

  mayStart (now: Millis): boolean {
    return now >= this.freeAt - AHEAD
  }

  started (bytes: number, now: Millis): void {
    this.freeAt = Math.max(now, this.freeAt) + bytes * 1_000 / this.rate
  }
}
