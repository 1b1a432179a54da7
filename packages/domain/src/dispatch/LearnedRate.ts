/** Estimates a rate from samples. */
import { RATE_WEIGHT } from './constants.js'

/** Exponentially weighted moving average; 0 until the first sample. */
export class LearnedRate {
  #value = 0

  get value (): number {
    return this.#value
  }

  /** @param sample - an observed rate; values that are not finite and positive are ignored */
  learn (sample: number): void {
    if (!Number.isFinite(sample) || sample <= 0) return
    this.#value = this.#value === 0 ? sample : this.#value + RATE_WEIGHT * (sample - this.#value)
  }
}
