/** Measures the prefill work of the last seconds, as a forecast of the next ones. */
import type { Millis } from '../types.js'

/** Time after which a request counts for about a third: bursts last for several seconds, and begin within one. */
const MEMORY_TIME: Millis = 2_000

/** Greatest share of the engines' time that is taken for prefills, so that a forecast stays finite. */
const MAX_PREFILL_SHARE = 0.75

/** Prefill work of a service that decays over seconds. */
export class PromptMix {
  #work: Millis = 0
  #decayedTo: Millis = 0

  /**
   * Records that a request is placed.
   *
   * @param prefillTime - prefill time on each engine that takes part
   * @param engines - number of these engines
   * @param now - current time
   */
  record (prefillTime: Millis, engines: number, now: Millis): void {
    this.#decay(now)
    this.#work += prefillTime * engines
  }

  /**
   * @param engines - number of engines of the service
   * @param now - current time
   * @returns share of the engines' time that prefills took in the last seconds, from 0 to `MAX_PREFILL_SHARE`
   */
  prefillShare (engines: number, now: Millis): number {
    this.#decay(now)
    return engines === 0 ? 0 : Math.min(MAX_PREFILL_SHARE, this.#work / (MEMORY_TIME * engines))
  }

  #decay (now: Millis): void {
    this.#work *= Math.exp(-Math.max(0, now - this.#decayedTo) / MEMORY_TIME)
    this.#decayedTo = Math.max(now, this.#decayedTo)
  }
}
