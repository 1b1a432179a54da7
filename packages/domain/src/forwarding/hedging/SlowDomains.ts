/** Finds failure domains whose servers of a service are slower as a whole than those of another one. */
import type { FailureDomain, Millis } from '../../types.js'
import { AnswerTimes } from './AnswerTimes.js'

/** Ratio of the median answer times from which a domain counts as slow: a second server there would most likely be late too. */
const SLOW_RATIO = 2

/** Fewest recent answers of a domain that are compared. */
const MIN_SAMPLES = 8

const MEDIAN = 0.5

/** Answer times of one service by failure domain. */
export class SlowDomains {
  readonly #times = new Map<FailureDomain, AnswerTimes>()

  /** Records an answer, or an attempt that was given up after it was late. */
  observe (domain: FailureDomain, took: Millis, now: Millis): void {
    const times = this.#times.get(domain) ?? new AnswerTimes()
    this.#times.set(domain, times)
    times.observe(took, now)
  }

  /** @returns the domains that are slow as a whole */
  slow (now: Millis): FailureDomain[] {
    const medians = [...this.#times].flatMap(([domain, times]) => {
      const median = times.quantile(MEDIAN, MIN_SAMPLES, now)
      return median === null ? [] : [{ domain, median }]
    })
    const fastest = Math.min(...medians.map(({ median }) => median))
    return medians.filter(({ median }) => median > SLOW_RATIO * fastest).map(({ domain }) => domain)
  }
}
