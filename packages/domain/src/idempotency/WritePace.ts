/** When the register may write: its share of the store's writes, slower when overloaded, paused during an outage. */
import { BURST_WRITES, DEFAULT_WRITES_PER_SECOND, FIRST_PAUSE_MS, LONGEST_PAUSE_MS, SLOWEST_WRITE_PERIOD_MS } from './constants.js'
import type { Millis } from '../types.js'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

const MS_PER_SECOND = 1_000
const SLOWING = 2
const RECOVERY = 0.9

export class WritePace {
  readonly #rng: RandomGenerator
  #sharePeriod = MS_PER_SECOND / DEFAULT_WRITES_PER_SECOND
  #period = this.#sharePeriod
  #nextAt: Millis = 0
  #failures = 0

  /** @param rng - spreads the pauses of many nodes */
  constructor (rng: RandomGenerator) {
    this.#rng = rng
  }

  /** Earliest time of the next write. */
  get nextAt (): Millis {
    return this.#nextAt
  }

  /** Whether the last write did not get through. */
  get isFailing (): boolean {
    return this.#failures > 0
  }

  /**
   * Sets this node's share.
   *
   * @param writesPerSecond - above zero
   */
  setShare (writesPerSecond: number): void {
    this.#sharePeriod = MS_PER_SECOND / writesPerSecond
    this.#period = Math.max(this.#period, this.#sharePeriod)
  }

  /** Notes that a write leaves; unused shares of the time before count up to a few writes. */
  wrote (now: Millis): void {
    this.#nextAt = Math.max(this.#nextAt, now - BURST_WRITES * this.#period) + this.#period
  }

  /** Notes that the store answered. */
  succeeded (now: Millis): void {
    if (this.#failures > 0) this.#nextAt = now
    this.#failures = 0
    this.#period = Math.max(this.#sharePeriod, this.#period * RECOVERY)
  }

  /** Notes that the store turned a write down because of its rate. */
  overloaded (now: Millis): void {
    this.#period = Math.min(SLOWEST_WRITE_PERIOD_MS, this.#period * SLOWING)
    this.#nextAt = Math.max(this.#nextAt, now + this.#period * this.#jitter())
  }

  /** Notes that the store did not answer; pauses grow with jitter. */
  failed (now: Millis): void {
    const pause = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.#failures)
    this.#failures += 1
    this.#nextAt = Math.max(this.#nextAt, now + pause * this.#jitter())
  }

  #jitter (): number {
    return 0.5 + uniformFloat64(this.#rng)
  }
}
