/** Remembers the trials of quarantined suspects. */
import type { Millis } from '../../types.js'
import { FACT_TOLERANCE, MAX_TRIALS_PER_PART } from './constants.js'
import type { Trial, Suspect } from './types.js'

/** Trials of each suspect since its last sound answer; those of the suspects that were tried longest ago are dropped first. */
export class Trials {
  /** Oldest first. */
  readonly #trials = new Map<Suspect, readonly Trial[]>()
  readonly #capacity: number

  /** @param capacity - number of suspects whose trials are kept */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /** All trials, newest first. */
  get all (): Trial[] {
    return [...this.#trials.values()].flat().sort((a, b) => b.at - a.at)
  }

  /**
   * @param trial - the trial
   * @returns whether it was unknown
   */
  record (trial: Trial): boolean {
    const known = this.of(trial.part)
    if (known.some(({ at }) => Math.abs(at - trial.at) <= FACT_TOLERANCE)) return false
    const trials = [...known, trial].sort((a, b) => a.at - b.at).slice(-MAX_TRIALS_PER_PART)
    this.#trials.delete(trial.part)
    this.#trials.set(trial.part, trials)
    return trials.includes(trial)
  }

  /**
   * @param part - a suspect
   * @returns its trials, oldest first
   */
  of (part: Suspect): readonly Trial[] {
    return this.#trials.get(part) ?? []
  }

  /**
   * @param part - a suspect
   * @returns time of its last trial; minus infinity if none is known
   */
  lastTime (part: Suspect): Millis {
    return this.of(part).at(-1)?.at ?? -Infinity
  }

  /**
   * Discards the trials up to a time.
   *
   * @param part - a suspect
   * @param limit - the time
   */
  removeUntil (part: Suspect, limit: Millis): void {
    const known = this.of(part)
    const later = known.filter(({ at }) => at > limit)
    if (later.length === 0) this.#trials.delete(part)
    else if (later.length < known.length) this.#trials.set(part, later)
  }

  /** @returns number of suspects whose trials were dropped because there are more than the capacity */
  trim (): number {
    const excess = Math.max(0, this.#trials.size - this.#capacity)
    let dropped = 0
    for (const part of this.#trials.keys()) {
      if (dropped === excess) break
      this.#trials.delete(part)
      dropped += 1
    }
    return dropped
  }

  /**
   * Discards the trials of suspects that were not tried since a time.
   *
   * @param limit - the time
   * @param isKept - whether the trials of a suspect are kept all the same
   */
  expire (limit: Millis, isKept: (part: Suspect) => boolean): void {
    for (const part of this.#trials.keys()) if (this.lastTime(part) < limit && !isKept(part)) this.#trials.delete(part)
  }
}
