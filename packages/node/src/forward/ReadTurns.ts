/** Shares the processor time that reading takes between all connections of a node. */
import type { Millis } from '@bluebellhill/domain'

import { monotonicNow } from '../clock/monotonic.js'

/** Time for which one connection is read before the others get their turn; a longer turn is a long one. */
export const TURN_TIME: Millis = 2

/** Time without a long turn after each of them, by its length: all connections that need them get a quarter of the processor's time together. */
const REST_RATIO = 3

/** Longest turn that counts: after one that seems longer, its connection does not wait for more than a fraction of a second. */
const LONGEST_TURN: Millis = 100

/** Handle of a turn that has not begun. */
export interface PlannedTurn {
  cancel (): void
}

/**
 * A connection whose bytes come in tiny pieces costs far more to read than its bytes. What is read of a connection in one turn of the event loop is bounded by
 * its users; turns that were long take place one after the other, with pauses for all other work.
 */
export class ReadTurns {
  readonly #waiting = new Set<() => void>()
  #timer: NodeJS.Timeout | null = null
  #nextAt: Millis = -Infinity

  /** @param clock - monotonic clock */
  constructor (private readonly clock: () => Millis = monotonicNow) {}

  /** Number of connections that wait for a turn after a long one. */
  get waitingCount (): number {
    return this.#waiting.size
  }

  /**
   * Plans the next turn of a connection.
   *
   * @param took - time that its last turn has taken
   * @param read - reads further; not called before the others had their turn
   * @returns handle that cancels it
   */
  plan (took: Millis, read: () => void): PlannedTurn {
    if (took <= TURN_TIME) {
      const immediate = setImmediate(read)
      return { cancel: () => clearImmediate(immediate) }
    }
    this.#nextAt = Math.max(this.#nextAt, this.clock()) + REST_RATIO * Math.min(took, LONGEST_TURN)
    this.#waiting.add(read)
    this.#startTimer()
    return { cancel: () => { this.#waiting.delete(read) } }
  }

  #startTimer (): void {
    this.#timer ??= setTimeout(() => this.#runNext(), Math.max(0, this.#nextAt - this.clock()))
  }

  #runNext (): void {
    this.#timer = null
    if (this.#waiting.size === 0) return
    if (this.clock() < this.#nextAt) {
      this.#startTimer()
      return
    }
    const [read] = this.#waiting
    if (read === undefined) return
    this.#waiting.delete(read)
    // It plans its next turn, if it has one, behind the others.
    read()
    if (this.#waiting.size > 0) this.#startTimer()
  }
}
