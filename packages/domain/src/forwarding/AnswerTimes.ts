/** Learns how long the answers of each route take at most. */
import type { Millis } from '../types.js'

/** Answers after which the longest of the period before them is forgotten. */
const PERIOD = 64

/** Answers of a route that have to be known: of as many equal ones, one more is the longest of all once in ten times. */
const MIN_ANSWERS = 9

/** Routes that are told apart; the one that was answered least lately is forgotten first. */
const MAX_ROUTES = 1_000

interface RouteTimes {
  /** Longest of the current period. */
  longest: Millis
  /** Answers of the current period. */
  count: number
  /** Longest of the period before; null in the first one. */
  before: Millis | null
}

/** Longest times of the recent answers, by route. */
export class AnswerTimes {
  readonly #routes = new Map<string, RouteTimes>()

  /**
   * Records a complete answer.
   *
   * @param route - name of the route
   * @param time - time from the sending of the request to the end of the answer; ignored if it is not a positive number
   */
  observe (route: string, time: Millis): void {
    if (!Number.isFinite(time) || time <= 0) return
    const times = this.#routes.get(route) ?? { longest: 0, count: 0, before: null }
    if (times.count === PERIOD) {
      times.before = times.longest
      times.longest = 0
      times.count = 0
    }
    times.longest = Math.max(times.longest, time)
    times.count += 1
    this.#use(route, times)
  }

  /**
   * @param route - name of a route
   * @returns the longest time of its recent answers; null if too few are known
   */
  longest (route: string): Millis | null {
    const times = this.#routes.get(route)
    if (times === undefined) return null
    if (times.before !== null) return Math.max(times.before, times.longest)
    return times.count < MIN_ANSWERS ? null : times.longest
  }

  #use (route: string, times: RouteTimes): void {
    this.#routes.delete(route)
    this.#routes.set(route, times)
    if (this.#routes.size <= MAX_ROUTES) return
    const [oldest] = this.#routes.keys()
    if (oldest !== undefined) this.#routes.delete(oldest)
  }
}
