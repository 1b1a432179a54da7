/** Remembers when prompt parts were last seen in a sound answer. */
import type { Millis } from '../../types.js'
import { FACT_TOLERANCE } from './constants.js'
import type { PromptPart, SoundPart } from './types.js'

/** Newest sound answer of each part. The parts that were seen longest ago are dropped first. */
export class SoundParts {
  readonly #times = new Map<PromptPart, Millis>()
  readonly #capacity: number
  /** Newest sound answer of any part; null if there is none. */
  newest: SoundPart | null = null

  /** @param capacity - number of parts that are kept */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /**
   * @param sound - the sound answer
   * @returns whether it is newer than the one that was known
   */
  record ({ part, at }: SoundPart): boolean {
    if (at <= (this.#times.get(part) ?? -Infinity) + FACT_TOLERANCE) return false
    this.#times.delete(part)
    this.#times.set(part, at)
    if (this.newest === null || at > this.newest.at || (at === this.newest.at && part < this.newest.part)) this.newest = { part, at }
    return true
  }

  /**
   * @param part - a prompt part
   * @returns time of its newest sound answer; null if none is known
   */
  find (part: PromptPart): Millis | null {
    return this.#times.get(part) ?? null
  }

  /**
   * Drops the oldest parts beyond the capacity.
   *
   * @param isKept - whether a part is kept although it is among the oldest
   * @returns number of parts that were dropped
   */
  trim (isKept: (part: PromptPart) => boolean): number {
    if (this.#times.size <= this.#capacity) return 0
    let dropped = 0
    for (const [part, at] of [...this.#times]) {
      if (this.#times.size <= this.#capacity) break
      this.#times.delete(part)
      if (isKept(part)) this.#times.set(part, at)
      else dropped++
    }
    return dropped
  }
}
