/** Measures the prompt tokens per second that orders ask for, by length class. */
import { LENGTH_CLASSES } from '../constants.js'
import type { Millis, Tokens } from '../types.js'
import { DEMAND_WINDOW } from './constants.js'
import { lengthClassOf } from './lengthClasses.js'

/** Averages with exponentially decaying sums, whose time constant is `DEMAND_WINDOW`. */
export class DemandMeter {
  readonly #sums: number[] = LENGTH_CLASSES.map(() => 0)
  #decayedAt: Millis | null = null

  /** Records the prompt of a new order. */
  record (promptTokens: Tokens, now: Millis): void {
    this.#decay(now)
    const index = lengthClassOf(promptTokens)
    this.#sums[index] = (this.#sums[index] ?? 0) + promptTokens
  }

  /** @returns prompt tokens per second, by length class */
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
