/** Limits the register's writes to this node's share, more slowly while the store is overloaded, with backoff during an outage. */
import { BURST_WRITES, DEFAULT_WRITES_PER_SECOND, FIRST_BACKOFF_MS, MAX_BACKOFF_MS, MAX_WRITE_PERIOD_MS } from './constants.js'
import type { Millis } from '../types.js'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

const MS_PER_SECOND = 1_000
const SLOWDOWN_FACTOR = 2
const RECOVERY_FACTOR = 0.9

export class WriteRateLimiter {
  readonly #rng: RandomGenerator
  #sharePeriod = MS_PER_SECOND / DEFAULT_WRITES_PER_SECOND
  #period = this.#sharePeriod
  #nextWriteAt: Millis = 0
  #failures = 0

  /** @param rng - adds jitter to the backoff, so that nodes do not retry at the same time */
  constructor (rng: RandomGenerator) {
    this.#rng = rng
  }

  /** Earliest time at which the next write may be sent. */
  get nextWriteAt (): Millis {
    return this.#nextWriteAt
  }

  /** Whether a write has failed since the store last processed one. */
  get isFailing (): boolean {
    return this.#failures > 0
  }

  /**
   * Sets this node's share of the store's writes.
   *
   * @param writesPerSecond - must be greater than zero
   */
  setShare (writesPerSecond: number): void {
    this.#sharePeriod = MS_PER_SECOND / writesPerSecond
    this.#period = Math.max(this.#period, this.#sharePeriod)
  }

  /** Records that a write is sent. Unused capacity accumulates up to `BURST_WRITES` writes. */
  recordWrite (now: Millis): void {
    this.#nextWriteAt = Math.max(this.#nextWriteAt, now - BURST_WRITES * this.#period) + this.#period
  }

  /** Records that the store processed a write: ends the backoff and raises the rate gradually to this node's share. */
  recordSuccess (now: Millis): void {
    if (this.#failures > 0) this.#nextWriteAt = now
    this.#failures = 0
    this.#period = Math.max(this.#sharePeriod, this.#period * RECOVERY_FACTOR)
  }

  /** Records that the store refused a write because of overload, and lowers the rate. */
  recordOverload (now: Millis): void {
    this.#period = Math.min(MAX_WRITE_PERIOD_MS, this.#period * SLOWDOWN_FACTOR)
    this.#nextWriteAt = Math.max(this.#nextWriteAt, now + this.#period * this.#jitter())
  }

  /** Records that a write failed or that its response was lost, and starts an exponential backoff with jitter. */
  recordFailure (now: Millis): void {
    const backoff = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** this.#failures)
    this.#failures += 1
    this.#nextWriteAt = Math.max(this.#nextWriteAt, now + backoff * this.#jitter())
  }

  #jitter (): number {
    return 0.5 + uniformFloat64(this.#rng)
  }
}
