/** Judges backend servers by what became of the requests sent to them. */
import type { Millis, RunnerId } from '../types.js'

/** What one attempt says of its backend server. */
export const HealthSignal = {
  /** A whole answer, or an event on time. */
  Good: 'good',
  /** A failure of its own, a broken answer, or silence. */
  Bad: 'bad',
  /** It could not be reached. */
  Unreachable: 'unreachable'
} as const
export type HealthSignal = typeof HealthSignal[keyof typeof HealthSignal]

/** Weight of one observation in the running share of failures. */
const OBSERVATION_WEIGHT = 0.3

/** Share of failures from which on a server is avoided. */
const FAILURE_SHARE_THRESHOLD = 0.5

/** How long a server is avoided after its first, and at most after further failures. */
const FIRST_AVOIDANCE: Millis = 500
const LONGEST_AVOIDANCE: Millis = 4_000

interface HealthRecord {
  failureShare: number
  avoidedUntil: Millis
  avoidance: Millis
}

/** Knows which backend servers are avoided for a while. */
export class ServerHealth {
  readonly #records = new Map<RunnerId, HealthRecord>()

  /**
   * Takes an observation in.
   *
   * @param id - the backend server
   * @param signal - what was seen
   * @param now - time
   * @returns whether the server is avoided from now on and was not before
   */
  observe (id: RunnerId, signal: HealthSignal, now: Millis): boolean {
    const record = this.#recordOf(id)
    const failure = signal === HealthSignal.Good ? 0 : 1
    record.failureShare += OBSERVATION_WEIGHT * (failure - record.failureShare)
    if (signal === HealthSignal.Good) {
      if (record.failureShare < FAILURE_SHARE_THRESHOLD) record.avoidance = FIRST_AVOIDANCE
      return false
    }
    if (signal === HealthSignal.Bad && record.failureShare < FAILURE_SHARE_THRESHOLD) return false
    return this.#avoid(record, now)
  }

  /**
   * @param id - the backend server
   * @param now - time
   * @returns whether it should get no work while others can take it
   */
  isAvoided (id: RunnerId, now: Millis): boolean {
    return (this.#records.get(id)?.avoidedUntil ?? -Infinity) > now
  }

  /**
   * @param now - time
   * @returns the servers that are avoided
   */
  avoided (now: Millis): RunnerId[] {
    return [...this.#records.keys()].filter((id) => this.isAvoided(id, now))
  }

  /**
   * Forgets a server that has gone or started again.
   *
   * @param id - the backend server
   */
  remove (id: RunnerId): void {
    this.#records.delete(id)
  }

  #avoid (record: HealthRecord, now: Millis): boolean {
    if (record.avoidedUntil > now) return false
    record.avoidedUntil = now + record.avoidance
    record.avoidance = Math.min(LONGEST_AVOIDANCE, 2 * record.avoidance)
    return true
  }

  #recordOf (id: RunnerId): HealthRecord {
    const existing = this.#records.get(id)
    if (existing !== undefined) return existing
    const record: HealthRecord = { failureShare: 0, avoidedUntil: -Infinity, avoidance: FIRST_AVOIDANCE }
    this.#records.set(id, record)
    return record
  }
}
