/** Detects engines that are slower than published, from the pauses between the events of their streams. */
import type { Millis, RunnerId } from '../types.js'

/** Number of most recent pauses that an estimate uses. */
export const SLOWDOWN_SAMPLE_COUNT = 6

/**
 * Ratio of the shortest recent pause to the pass time from which an engine counts as slow. The shortest pause is used because
 * single pauses are longer than a pass for many other reasons.
 */
const SLOWDOWN_THRESHOLD = 1.8

/** Time since the last pause after which the samples are ignored, so that the engine is tried again. */
const SAMPLE_EXPIRY: Millis = 3_000

interface PauseSamples {
  readonly ratios: number[]
  lastObservedAt: Millis
}

/** Estimates the slowdown of each engine: observed duration over published duration. */
export class SlowdownEstimator {
  readonly #samples = new Map<RunnerId, PauseSamples>()

  /**
   * Records the pause between two events of a stream.
   *
   * @param id - the engine
   * @param pause - duration of the pause
   * @param passTime - pass time of an engine at its published speed that decodes this stream only
   * @param now - current time
   */
  observe (id: RunnerId, pause: Millis, passTime: Millis, now: Millis): void {
    const samples = this.#samples.get(id) ?? { ratios: [], lastObservedAt: now }
    this.#samples.set(id, samples)
    samples.lastObservedAt = now
    samples.ratios.push(pause / passTime)
    if (samples.ratios.length > SLOWDOWN_SAMPLE_COUNT) samples.ratios.shift()
  }

  /**
   * Records the shortest of the last pauses of a stream that another node forwards.
   *
   * @param id - the engine
   * @param ratio - shortest pause over the pass time
   * @param now - current time
   */
  observeShortest (id: RunnerId, ratio: number, now: Millis): void {
    this.#samples.set(id, { ratios: Array.from({ length: SLOWDOWN_SAMPLE_COUNT }, () => ratio), lastObservedAt: now })
  }

  /**
   * @param id - the engine
   * @param now - current time
   * @returns the slowdown; 1 for an engine at its published speed or without enough recent samples
   */
  slowdown (id: RunnerId, now: Millis): number {
    const samples = this.#samples.get(id)
    if (samples === undefined || samples.ratios.length < SLOWDOWN_SAMPLE_COUNT || now - samples.lastObservedAt > SAMPLE_EXPIRY) return 1
    const smallest = Math.min(...samples.ratios)
    return smallest < SLOWDOWN_THRESHOLD ? 1 : smallest
  }

  /**
   * Discards the samples of an engine that was removed or has restarted.
   *
   * @param id - the engine
   */
  remove (id: RunnerId): void {
    this.#samples.delete(id)
  }
}
