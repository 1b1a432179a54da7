/** Judges backend servers by what became of the requests sent to them. */
import type { Millis, RunnerId } from '../types.js'

/** What one attempt says of its backend server. */
export const Evidence = {
  /** A whole answer, or an event on time. */
  Good: 'good',
  /** A failure of its own, a broken answer, or silence. */
  Bad: 'bad',
  /** It could not be reached. */
  Unreachable: 'unreachable'
} as const
export type Evidence = typeof Evidence[keyof typeof Evidence]

/** Weight of one observation in the running share of failures. */
const OBSERVATION_WEIGHT = 0.3

/** Share of failures from which on a server is avoided. */
const SUSPECT_SHARE = 0.5

/** How long a server is avoided after its first, and at most after further failures. */
const FIRST_AVOIDANCE: Millis = 500
const LONGEST_AVOIDANCE: Millis = 4_000

interface Health {
  failureShare: number
  avoidedUntil: Millis
  avoidance: Millis
}

/** Knows which backend servers are avoided for a while. */
export class ServerHealth {
  readonly #health = new Map<RunnerId, Health>()

  /**
   * Takes an observation in.
   *
   * @param id - the backend server
   * @param evidence - what was seen
   * @param now - time
   * @returns whether the server is avoided from now on and was not before
   */
  observe (id: RunnerId, evidence: Evidence, now: Millis): boolean {
    const health = this.#of(id)
    const failed = evidence === Evidence.Good ? 0 : 1
    health.failureShare += OBSERVATION_WEIGHT * (failed - health.failureShare)
    if (evidence === Evidence.Good) {
      if (health.failureShare < SUSPECT_SHARE) health.avoidance = FIRST_AVOIDANCE
      return false
    }
    if (evidence === Evidence.Bad && health.failureShare < SUSPECT_SHARE) return false
    return this.#avoid(health, now)
  }

  /**
   * @param id - the backend server
   * @param now - time
   * @returns whether it should get no work while others can take it
   */
  isAvoided (id: RunnerId, now: Millis): boolean {
    return (this.#health.get(id)?.avoidedUntil ?? -Infinity) > now
  }

  /**
   * @param now - time
   * @returns the servers that are avoided
   */
  avoided (now: Millis): RunnerId[] {
    return [...this.#health.keys()].filter((id) => this.isAvoided(id, now))
  }

  /**
   * Forgets a server that has gone or started again.
   *
   * @param id - the backend server
   */
  forget (id: RunnerId): void {
    this.#health.delete(id)
  }

  #avoid (health: Health, now: Millis): boolean {
    if (health.avoidedUntil > now) return false
    health.avoidedUntil = now + health.avoidance
    health.avoidance = Math.min(LONGEST_AVOIDANCE, 2 * health.avoidance)
    return true
  }

  #of (id: RunnerId): Health {
    const known = this.#health.get(id)
    if (known !== undefined) return known
    const health: Health = { failureShare: 0, avoidedUntil: -Infinity, avoidance: FIRST_AVOIDANCE }
    this.#health.set(id, health)
    return health
  }
}
