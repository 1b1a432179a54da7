/** Remembers when suspects were last seen in a sound answer, and when each service last gave one. */
import type { Millis } from '../../types.js'
import { FACT_TOLERANCE } from './constants.js'
import type { SoundAnswer, Suspect } from './types.js'

/** Service of sound answers and crashes whose service is not told. */
export const UNKNOWN_SERVICE = ''

/** Newest sound answer of each suspect. Those that were seen longest ago are dropped first. */
export class SoundAnswers {
  readonly #times = new Map<Suspect, Millis>()
  readonly #newest = new Map<string, SoundAnswer>()
  readonly #capacity: number

  /** @param capacity - number of suspects that are kept */
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
   * Drops the oldest suspects beyond the capacity.
   *
   * @param isKept - whether a suspect is kept although it is among the oldest
   * @returns number of suspects that were dropped
   */
  trim (isKept: (part: Suspect) => boolean): number {
    if (this.#times.size <= this.#capacity) return 0
    let dropped = 0
    for (const [part, at] of [...this.#times]) {
      if (this.#times.size <= this.#capacity) break
      this.#times.delete(part)
      if (isKept(part)) this.#times.set(part, at)
      else dropped++
    }
    return dropped
  }
}
