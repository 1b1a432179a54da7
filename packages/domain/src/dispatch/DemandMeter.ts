/** Prompt tokens offered a second, by length class, averaged over a moving window. */
import { LENGTH_CLASSES } from '../constants.js'
import type { Millis, Tokens } from '../types.js'
import { DEMAND_WINDOW } from './constants.js'
import { lengthClassOf } from './lengthClasses.js'

/** Exponentially decaying sums. */
export class DemandMeter {
  readonly #sums: number[] = LENGTH_CLASSES.map(() => 0)
  #decayedAt: Millis | null = null

  /** Counts an order. */
  record (promptTokens: Tokens, now: Millis): void {
    this.#decay(now)
    const index = lengthClassOf(promptTokens)
    this.#sums[index] = (this.#sums[index] ?? 0) + promptTokens
  }

  /** @returns tokens a second by length class */
  rates (now: Millis): readonly number[] {
    this.#decay(now)
    return this.#sums.map((sum) => sum * 1_000 / DEMAND_WINDOW)
  }

  #decay (now: Millis): void {
    const elapsed = this.#decayedAt === null ? 0 : Math.max(0, now - this.#decayedAt)
    this.#decayedAt = now
    const factor = Math.exp(-elapsed / DEMAND_WINDOW)
    for (let index = 0; index < this.#sums.length; index++) this.#sums[index] = (this.#sums[index] ?? 0) * factor
  }
}
