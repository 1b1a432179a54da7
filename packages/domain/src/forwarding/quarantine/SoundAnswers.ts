/** Remembers when suspects were last seen in a sound answer, and when each service last gave one. */
import type { Millis } from '../../types.js'
import { FACT_TOLERANCE } from './constants.js'
import type { SoundAnswer, Suspect } from './types.js'

/** Service of sound answers and crashes whose service is not told. */
export const UNKNOWN_SERVICE = ''

/** Part of the capacity that is dropped at a time, so that the search for the oldest costs little for each. */
const DROPPED_SHARE = 1 / 16

/** Newest sound answer of each suspect. Those that were seen longest ago are dropped first. */
export class SoundAnswers {
  readonly #times = new Map<Suspect, Millis>()
  readonly #newest = new Map<string, SoundAnswer>()
  readonly #capacity: number

  /** @param capacity - greatest number of suspects that are kept */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /**
   * @param sound - the sound answer
   * @returns whether it is newer than the one that was known
   */
  record (sound: SoundAnswer): boolean {
    const { part, at, service = UNKNOWN_SERVICE } = sound
    if (part === '') return this.#recordNewest(service, sound)
    if (at <= (this.#times.get(part) ?? -Infinity) + FACT_TOLERANCE) return false
    this.#times.delete(part)
    this.#times.set(part, at)
    this.#recordNewest(service, sound)
    return true
  }

  #recordNewest (service: string, sound: SoundAnswer): boolean {
    const known = this.#newest.get(service)
    if (known !== undefined && (sound.at < known.at || (sound.at === known.at && sound.part >= known.part))) return false
    this.#newest.set(service, sound)
    return known === undefined || sound.at > known.at + FACT_TOLERANCE
  }

  /** Newest sound answer of each service. */
  get newest (): SoundAnswer[] {
    return [...this.#newest.values()]
  }

  /**
   * @param service - name of a service
   * @returns its newest sound answer to any request, or one whose service is not told if that is newer; null if none is known
   */
  newestOf (service: string): SoundAnswer | null {
    const [own, untold] = [this.#newest.get(service) ?? null, this.#newest.get(UNKNOWN_SERVICE) ?? null]
    return own === null || (untold !== null && untold.at > own.at) ? untold : own
  }

  /**
   * @param part - a suspect
   * @returns time of its newest sound answer; null if none is known
   */
  find (part: Suspect): Millis | null {
    return this.#times.get(part) ?? null
  }

  /**
   * Drops the oldest suspects, some at a time, once there are more than the capacity. Each is looked at once at most.
   *
   * @param isKept - whether a suspect is kept although it is among the oldest
   * @returns number of suspects that were dropped
   */
  trim (isKept: (part: Suspect) => boolean): number {
    const { size } = this.#times
    if (size <= this.#capacity) return 0
    const excess = size - this.#capacity + Math.floor(this.#capacity * DROPPED_SHARE)
    let [looked, dropped] = [0, 0]
    for (const [part, at] of this.#times) {
      if (looked === size || dropped === excess) break
      looked += 1
      this.#times.delete(part)
      // What is kept goes behind the others, where the loop would come to it again.
      if (isKept(part)) this.#times.set(part, at)
      else dropped += 1
    }
    return dropped
  }
}
