/** How much longer orders take than was estimated when they were admitted. */
import type { Millis } from '../types.js'

/** Weight of the newest order. */
const SAMPLE_WEIGHT = 0.05

/** Largest factor that one order may show. */
const MAX_RATIO = 4

/** Estimates shorter than this say nothing about the factor. */
const LEAST_ESTIMATE: Millis = 20

/** Spread around the mean that an admission allows for. */
const DEVIATIONS = 2

/** Time constant over which the factor is forgotten when no order ends. */
const DECAY_TIME: Millis = 5_000

/** Learned mean and deviation of the time taken over the time estimated. */
export class EstimateCorrection {
  #mean = 1
  #deviation = 0
  #lastSampleAt: Millis = 0

  /**
   * Factor by which an estimate is multiplied before it is held against a deadline.
   *
   * @param now - time; without new orders the factor falls back to 1, so that refusals alone cannot keep it up
   */
  factor (now: Millis): number {
    const excess = this.#mean + DEVIATIONS * this.#deviation - 1
    return 1 + Math.max(0, excess) * Math.exp(-Math.max(0, now - this.#lastSampleAt) / DECAY_TIME)
  }

  /**
   * Notes an order that has ended.
   *
   * @param estimated - time from its arrival to its end, as estimated at its arrival
   * @param actual - time that it took
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
