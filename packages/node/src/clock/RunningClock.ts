/** Provides a clock for the silence of other nodes, which cannot be heard while this process is held up. */
import type { Millis } from '@bluebellhill/domain'

/** Interval at which the clock notices that the process runs. */
export const TICK_PERIOD: Millis = 100

/** Longest time between two ticks that counts; the rest of a longer one is a hold-up. */
export const MAX_TICK_INTERVAL: Millis = 2 * TICK_PERIOD

/** Shortest hold-up after which what this node knows may be outdated; messages that are lost are repeated sooner than that. */
export const LONG_HOLD_UP: Millis = 2_000

/** Time after a long hold-up in which waiting input is read, and the other nodes answer the report that this node then sends at once. */
export const SETTLING_PERIOD: Millis = 50

/**
 * Monotonic clock that stands still while this process is held up: paused, without processor time, or occupied by one long task.
 * Timers run before waiting input is read, so that afterwards a time limit on the monotonic clock would find everyone silent.
 */
export class RunningClock {
  readonly #clock: () => Millis
  #tickedAt: Millis
  /** Time of this clock at the last tick. */
  #time: Millis
  #timer: NodeJS.Timeout | null = null
  /** End of the last long hold-up, on the monotonic clock. */
  #resumedAt: Millis = -Infinity

  /** @param clock - monotonic clock */
  constructor (clock: () => Millis) {
    this.#clock = clock
    this.#tickedAt = clock()
    this.#time = this.#tickedAt
  }

  /** @returns the time, which is that of the monotonic clock less all hold-ups */
  now (): Millis {
    return this.#time + Math.min(MAX_TICK_INTERVAL, this.#clock() - this.#tickedAt)
  }

  /** @returns how long it takes until what the other nodes and the store said during a long hold-up is known; 0 usually */
  settlingTime (): Millis {
    this.#noticeHoldUp()
    return Math.max(0, this.#resumedAt + SETTLING_PERIOD - this.#clock())
  }

  start (): void {
    this.#timer ??= setInterval(() => this.tick(), TICK_PERIOD)
  }

  /** Records that the process runs. */
  tick (): void {
    this.#noticeHoldUp()
    this.#time = this.now()
    this.#tickedAt = this.#clock()
  }

  #noticeHoldUp (): void {
    const now = this.#clock()
    if (now - this.#tickedAt >= LONG_HOLD_UP) this.#resumedAt = now
  }

  dispose (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#timer = null
  }
}
