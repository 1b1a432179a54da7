/** Estimates the health of backend servers from the outcomes of attempts, and decides which of them are avoided temporarily. */
import type { Millis, RunnerId } from '../types.js'

/** Health signal that one attempt gives about its backend server. */
export const HealthSignal = {
  /** The answer was complete, or an event arrived on time. */
  Good: 'good',
  /** The server failed, its answer broke off, or the attempt timed out. */
  Bad: 'bad',
  /** The server sent bytes without end; it is avoided at once. */
  Faulty: 'faulty',
  /** The server could not be reached. */
  Unreachable: 'unreachable'
} as const
export type HealthSignal = typeof HealthSignal[keyof typeof HealthSignal]

/** Weight of one observation in the exponential moving average of failures. */
const OBSERVATION_WEIGHT = 0.3

/** Share of failures from which a server is avoided. */
const FAILURE_SHARE_THRESHOLD = 0.5

/** Time for which a server is avoided the first time; it doubles each time after that, up to the longest. */
const FIRST_AVOIDANCE: Millis = 500
const LONGEST_AVOIDANCE: Millis = 4_000

interface HealthRecord {
  failureShare: number
  avoidedUntil: Millis
  avoidance: Millis
}

/** Tracks which backend servers are avoided because of recent failures. */
export class ServerHealth {
  readonly #records = new Map<RunnerId, HealthRecord>()

  /**
   * Records the outcome of an attempt.
   *
   * @param id - the backend server
   * @param signal - health signal of the attempt
   * @param now - current time
   * @returns whether this outcome starts a period in which the server is avoided
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
   * @param now - current time
   * @returns whether it should get no requests while other servers can accept them
   */
  isAvoided (id: RunnerId, now: Millis): boolean {
    return (this.#records.get(id)?.avoidedUntil ?? -Infinity) > now
  }

  /**
   * @param now - current time
   * @returns the servers that are avoided at that time
   */
  avoided (now: Millis): RunnerId[] {
    return [...this.#records.keys()].filter((id) => this.isAvoided(id, now))
  }

  /**
   * Discards the record of a server that was removed or has restarted.
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
