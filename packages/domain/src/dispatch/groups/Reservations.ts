/** Memory that one runner keeps for members of sequence groups, and the groups that wait for it. */
import type { AttemptId, Millis, Tokens } from '../../types.js'

/** Time that a reservation is kept before its entry node reports that it is in use. */
export const UNUSED_RESERVATION_LIFETIME: Millis = 3_000

/** Time that a waiting group keeps its turn after it last asked. */
const CLAIM_LIFETIME: Millis = 3_000

/** Age of a waiting group after which nothing else is started on the runner, so that its memory drains. */
const BLOCK_ALL_AGE: Millis = 5_000

interface Reservation {
  readonly tokens: Tokens
  readonly round: number
  expiresAt: Millis
  used: boolean
}

interface Claim {
  readonly since: Millis
  readonly until: Millis
}

/** The account of one runner. */
export class Reservations {
  readonly #reservations = new Map<AttemptId, Reservation>()
  readonly #claims = new Map<AttemptId, Claim>()

  get size (): number {
    return this.#reservations.size
  }

  get tokens (): Tokens {
    let tokens = 0
    for (const reservation of this.#reservations.values()) tokens += reservation.tokens
    return tokens
  }

  /** @returns when the next reservation lapses; infinite without any */
  get nextExpiry (): Millis {
    let next = Infinity
    for (const reservation of this.#reservations.values()) next = Math.min(next, reservation.expiresAt)
    return next
  }

  has (attempt: AttemptId): boolean {
    return this.#reservations.has(attempt)
  }

  reserve (attempt: AttemptId, tokens: Tokens, now: Millis, round = 0): void {
    this.#claims.delete(attempt)
    this.#reservations.set(attempt, { tokens, round, expiresAt: now + UNUSED_RESERVATION_LIFETIME, used: false })
  }

  /** Notes a report of the entry node that uses the reservation. */
  renew (attempt: AttemptId, until: Millis): void {
    const reservation = this.#reservations.get(attempt)
    if (reservation === undefined) return
    reservation.expiresAt = until
    reservation.used = true
  }

  /**
   * Gives a reservation back.
   *
   * @param attempt - the group's attempt
   * @param round - the request that is given up; a reservation of a later one stays
   * @returns whether the reservation existed and was in use
   */
  release (attempt: AttemptId, round = Infinity): boolean {
    const reservation = this.#reservations.get(attempt)
    if (reservation !== undefined && reservation.round > round) return false
    const used = reservation?.used === true
    this.#reservations.delete(attempt)
    this.#claims.delete(attempt)
    return used
  }

  /** Notes that a group waits for this runner. */
  claim (attempt: AttemptId, since: Millis, now: Millis): void {
    const previous = this.#claims.get(attempt)
    this.#claims.set(attempt, { since: Math.min(since, previous?.since ?? since), until: now + CLAIM_LIFETIME })
  }

  /** @returns whether an older group than this one waits for the runner */
  hasOlderClaim (attempt: AttemptId, since: Millis, now: Millis): boolean {
    for (const [other, claim] of this.#claims) {
      if (other === attempt || claim.until <= now) continue
      if (claim.since < since || (claim.since === since && other < attempt)) return true
    }
    return false
  }

  /** @returns whether a group waits, so that no long prompt is started; past some age nothing is */
  blocksStart (isLong: boolean, now: Millis): boolean {
    for (const claim of this.#claims.values()) {
      if (claim.until > now && (isLong || now - claim.since > BLOCK_ALL_AGE)) return true
    }
    return false
  }

  /** @returns attempts whose reservation lapsed, and whether it was in use */
  expire (now: Millis): readonly { readonly attempt: AttemptId, readonly used: boolean }[] {
    const expired: { readonly attempt: AttemptId, readonly used: boolean }[] = []
    for (const [attempt, { expiresAt, used }] of this.#reservations) {
      if (expiresAt > now) continue
      this.#reservations.delete(attempt)
      expired.push({ attempt, used })
    }
    for (const [attempt, { until }] of this.#claims) if (until <= now) this.#claims.delete(attempt)
    return expired
  }
}
