/** Learns from the pauses of streams which engines are slower than they are published to be. */
import type { Millis, RunnerId } from '../types.js'

/** Pauses that are looked at together. */
const SAMPLE_COUNT = 6

/** A pause is longer than a pass for many reasons; an engine is slow where even its shortest pauses are this many times as long. */
const SLOWDOWN_THRESHOLD = 1.8

/** Time after which what was learnt is forgotten, so that the engine is tried again. */
const SAMPLE_EXPIRY: Millis = 3_000

interface PauseSamples {
  readonly ratios: number[]
  lastObservedAt: Millis
}

/** Knows how many times slower than published each engine is. */
export class SlowdownEstimator {
  readonly #samples = new Map<RunnerId, PauseSamples>()

  /**
   * Takes the pause between two events of a stream in.
   *
   * @param id - the engine
   * @param pause - how long it was
   * @param passTime - length of a pass of a sound engine that writes for this stream only
   * @param now - time
   */
  observe (id: RunnerId, pause: Millis, passTime: Millis, now: Millis): void {
    const samples = this.#samples.get(id) ?? { ratios: [], lastObservedAt: now }
    this.#samples.set(id, samples)
    samples.lastObservedAt = now
    samples.ratios.push(pause / passTime)
    if (samples.ratios.length > SAMPLE_COUNT) samples.ratios.shift()
  }

  /**
   * @param id - the engine
   * @param now - time
   * @returns 1 for a sound engine, and for one of which nothing is known
   */
  slowdown (id: RunnerId, now: Millis): number {
    const samples = this.#samples.get(id)
    if (samples === undefined || samples.ratios.length < SAMPLE_COUNT || now - samples.lastObservedAt > SAMPLE_EXPIRY) return 1
    const smallest = Math.min(...samples.ratios)
    return smallest < SLOWDOWN_THRESHOLD ? 1 : smallest
  }

  /**
   * Forgets an engine that has gone or started again.
   *
   * @param id - the engine
   */
  remove (id: RunnerId): void {
    this.#samples.delete(id)
  }
}
