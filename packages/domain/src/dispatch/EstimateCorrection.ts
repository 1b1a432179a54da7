/** Learns the ratio of the actual to the estimated duration of orders, which corrects the admission estimates. */
import type { Millis } from '../types.js'

/** Weight of the newest order in the moving averages. */
const SAMPLE_WEIGHT = 0.05

/** Upper bound of the ratio of one order, which limits the influence of outliers. */
const MAX_RATIO = 4

/** Shorter estimates are ignored, because their ratio is not meaningful. */
const LEAST_ESTIMATE: Millis = 20

/** Mean deviations that are added to the mean ratio, so that most orders finish within the corrected estimate. */
const DEVIATIONS = 2

/** Time constant of the factor's decay towards 1 while no order ends. */
const DECAY_TIME: Millis = 5_000

/** Moving mean and mean deviation of the actual over the estimated duration. */
export class EstimateCorrection {
  #mean = 1
  #deviation = 0
  #lastSampleAt: Millis = 0

  /**
   * Factor by which an estimate is multiplied before it is compared with a deadline.
   *
   * Without finished orders the factor decays to 1. Otherwise a high factor could refuse all orders and never be corrected.
   *
   * @param now - current time
   */
  factor (now: Millis): number {
    const excess = this.#mean + DEVIATIONS * this.#deviation - 1
    return 1 + Math.max(0, excess) * Math.exp(-Math.max(0, now - this.#lastSampleAt) / DECAY_TIME)
  }

  /**
   * Records an order that has ended.
   *
   * @param estimated - time from its arrival to its end, as estimated at its arrival
   * @param actual - actual duration
   * @param now - time of its end
   */
  learn (estimated: Millis, actual: Millis, now: Millis): void {
    if (estimated < LEAST_ESTIMATE) return
    this.#lastSampleAt = now
    const sample = Math.min(MAX_RATIO, actual / estimated)
    this.#deviation += SAMPLE_WEIGHT * (Math.abs(sample - this.#mean) - this.#deviation)
    this.#mean += SAMPLE_WEIGHT * (sample - this.#mean)
  }
}
