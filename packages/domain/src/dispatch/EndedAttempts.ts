/** Attempts that have ended at a dispatcher; a report that still lists one is late or shows held memory. */
import type { AttemptId, Millis } from '../types.js'
import { ENDED_RETENTION } from './constants.js'

/** Remembers ends for a while. */
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

  /** Forgets the ends that are old enough. */
  expire (now: Millis): void {
    for (const [attempt, at] of this.#endedAt) {
      if (now - at < ENDED_RETENTION) return
      this.#endedAt.delete(attempt)
    }
  }
}
