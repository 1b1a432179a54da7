/**
 * Shares the capacity of one service between organisations: counts the work that each has been given, as the virtual token counter
 * does (Sheng et al., Fairness in Serving Large Language Models, OSDI 2024).
 */
import type { Millis } from '../../types.js'

/** Organisations that are counted; of more, the idle one with the least work is dropped. It would get at least that much when it returns. */
export const MAX_COUNTED_ORGANISATIONS = 1_000

interface OrganisationCounter {
  /** Work given to it, as prefill time, and the work it was credited with while it was idle. */
  work: Millis
  waitingRequests: number
}

/** Virtual counters of work by organisation. */
export class OrganisationShares {
  readonly #counters = new Map<string, OrganisationCounter>()
  /** Counter of the organisation that was served last, before that request. */
  #lastServed: Millis = 0

  /** Number of organisations that are counted. */
  get size (): number {
    return this.#counters.size
  }

  /**
   * @param organisation - an organisation
   * @returns its counter, raised to what it would have if a request of it arrived now; the lowest is served first
   */
  counterOf (organisation: string): Millis {
    const counter = this.#counters.get(organisation)
    if (counter !== undefined && counter.waitingRequests > 0) return counter.work
    return Math.max(counter?.work ?? 0, this.#idleCredit())
  }

  /** Records that a request of an organisation starts to wait. */
  startWaiting (organisation: string): void {
    const counter = this.#raised(organisation)
    counter.waitingRequests += 1
  }

  /** Records that a request of an organisation no longer waits. */
  stopWaiting (organisation: string): void {
    const counter = this.#counters.get(organisation)
    if (counter !== undefined && counter.waitingRequests > 0) counter.waitingRequests -= 1
  }

  /**
   * Records that a request of an organisation is served.
   *
   * @param organisation - the organisation
   * @param work - prefill time of the request
   */
  charge (organisation: string, work: Millis): void {
    const counter = this.#raised(organisation)
    this.#lastServed = counter.work
    counter.work += work
  }

  /** Lowest counter that an idle organisation returns with: the time for which it was idle gives it no advance over the others. */
  #idleCredit (): Millis {
    let least = Infinity
    for (const { work, waitingRequests } of this.#counters.values()) if (waitingRequests > 0) least = Math.min(least, work)
    return least === Infinity ? this.#lastServed : least
  }

  #raised (organisation: string): OrganisationCounter {
    const work = this.counterOf(organisation)
    const existing = this.#counters.get(organisation)
    if (existing !== undefined) {
      existing.work = work
      return existing
    }
    if (this.#counters.size >= MAX_COUNTED_ORGANISATIONS) this.#dropIdle()
    const counter = { work, waitingRequests: 0 }
    this.#counters.set(organisation, counter)
    return counter
  }

  #dropIdle (): void {
    let least: [string, Millis] | null = null
    for (const [organisation, { work, waitingRequests }] of this.#counters) {
      if (waitingRequests === 0 && (least === null || work < least[1])) least = [organisation, work]
    }
    if (least !== null) this.#counters.delete(least[0])
  }
}
