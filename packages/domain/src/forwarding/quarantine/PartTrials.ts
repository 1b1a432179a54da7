/** Remembers the trials of quarantined parts. */
import type { Millis } from '../../types.js'
import { FACT_TOLERANCE, MAX_TRIALS_PER_PART } from './constants.js'
import type { PartTrial, PromptPart } from './types.js'

/** Trials of each part since its last sound answer; those of the parts that were tried longest ago are dropped first. */
export class PartTrials {
  /** Oldest first. */
  readonly #trials = new Map<PromptPart, readonly PartTrial[]>()
  readonly #capacity: number

  /** @param capacity - number of parts whose trials are kept */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /** All trials, newest first. */
  get all (): PartTrial[] {
    return [...this.#trials.values()].flat().sort((a, b) => b.at - a.at)
  }

  /**
   * @param trial - the trial
   * @returns whether it was unknown
   */
  record (trial: PartTrial): boolean {
    const known = this.of(trial.part)
    if (known.some(({ at }) => Math.abs(at - trial.at) <= FACT_TOLERANCE)) return false
    const trials = [...known, trial].sort((a, b) => a.at - b.at).slice(-MAX_TRIALS_PER_PART)
    this.#trials.delete(trial.part)
    this.#trials.set(trial.part, trials)
    return trials.includes(trial)
  }

  /**
   * @param part - a prompt part
   * @returns its trials, oldest first
   */
  of (part: PromptPart): readonly PartTrial[] {
    return this.#trials.get(part) ?? []
  }

  /**
   * @param part - a prompt part
   * @returns time of its last trial; minus infinity if none is known
   */
  lastTime (part: PromptPart): Millis {
    return this.of(part).at(-1)?.at ?? -Infinity
  }

  /**
   * Discards the trials up to a time.
   *
   * @param part - a prompt part
   * @param limit - the time
   */
  removeUntil (part: PromptPart, limit: Millis): void {
    const known = this.of(part)
    const later = known.filter(({ at }) => at > limit)
    if (later.length === 0) this.#trials.delete(part)
    else if (later.length < known.length) this.#trials.set(part, later)
  }

  /** @returns number of parts whose trials were dropped because there are more than the capacity */
  trim (): number {
    const excess = Math.max(0, this.#trials.size - this.#capacity)
    for (const part of [...this.#trials.keys()].slice(0, excess)) this.#trials.delete(part)
    return excess
  }

  /**
   * Discards the trials of parts that were not tried since a time.
   *
   * @param limit - the time
   */
  expire (limit: Millis): void {
    for (const part of this.#trials.keys()) if (this.lastTime(part) < limit) this.#trials.delete(part)
  }
}
