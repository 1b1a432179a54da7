/** Records which attempts ended at a dispatcher. A report that still lists one is late, or the engine still holds its memory. */
import type { AttemptId, Millis } from '../types.js'
import { ENDED_RETENTION } from './constants.js'

/** Keeps the time of each end for `ENDED_RETENTION`. */
export class EndedAttempts {
  readonly #endedAt = new Map<AttemptId, Millis>()

  get size (): number {
    return this.#endedAt.size
  }

  add (attempt: AttemptId, now: Millis): void {
    this.#endedAt.delete(attempt)
    this.#endedAt.set(attempt, now)
  }

  has (attempt: AttemptId): boolean {
    return this.#endedAt.has(attempt)
  }

  /** Removes the entries that are older than `ENDED_RETENTION`; the map is sorted by time of end. */
  expire (now: Millis): void {
    for (const [attempt, at] of this.#endedAt) {
      if (now - at < ENDED_RETENTION) return
      this.#endedAt.delete(attempt)
    }
  }
}
