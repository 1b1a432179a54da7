/** Remembers which quarantined requests keep coming, so that they are not forgotten meanwhile. */
import type { Millis } from '../../types.js'
import { RECURRENCE_NEWS_GAP } from './constants.js'
import type { Recurrence, Suspect } from './types.js'

/** Newest recurrence of each request; the requests that came longest ago are dropped first. */
export class Recurrences {
  readonly #times = new Map<Suspect, Millis>()
  readonly #capacity: number

  /** @param capacity - number of requests that are kept */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /** All recurrences. */
  get all (): Recurrence[] {
    return [...this.#times].map(([part, at]) => ({ part, at }))
  }

  /**
   * @param recurrence - a quarantined request came again
   * @returns whether the one that was known is so old that other nodes should know of it
   */
  record ({ part, at }: Recurrence): boolean {
    const known = this.lastTime(part)
    if (at <= known) return false
    this.#times.delete(part)
    this.#times.set(part, at)
    const [oldest] = this.#times.keys()
    if (this.#times.size > this.#capacity && oldest !== undefined) this.#times.delete(oldest)
    return at > known + RECURRENCE_NEWS_GAP
  }

  /**
   * @param part - a suspect
   * @returns time of its last recurrence; minus infinity if none is known
   */
  lastTime (part: Suspect): Millis {
    return this.#times.get(part) ?? -Infinity
  }

  /**
   * Discards the requests that have not come since a time.
   *
   * @param limit - the time
   */
  expire (limit: Millis): void {
    for (const [part, at] of this.#times) if (at < limit) this.#times.delete(part)
  }
}
