/** Tracks memory that is reserved on one runner for sequence groups, and the groups that wait for it. */
import type { AttemptId, Millis, Tokens } from '../../types.js'

/** A reservation expires after this time unless the entry node reports that it is in use. */
export const UNUSED_RESERVATION_LIFETIME: Millis = 3_000

/** The claim of a waiting group on the runner expires this long after its last request. */
const CLAIM_LIFETIME: Millis = 3_000

/** If a group has waited longer than this, no other order is started on the runner, so that its memory becomes free. */
const BLOCK_ALL_AGE: Millis = 5_000

interface Reservation {
  readonly tokens: Tokens
  readonly round: number
  expiresAt: Millis
  used: boolean
}

/** Place of a waiting group in the queue for a runner's memory. */
interface Claim {
  /** Time since which the group has waited; the oldest group goes first. */
  readonly since: Millis
  readonly until: Millis
}

/** Reservations on one runner, and the claims of groups that wait for it. */
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

  /** @returns when the next reservation expires; infinite if there is none */
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

  /** Marks a reservation as used, because its entry node reported progress, and extends it. */
  renew (attempt: AttemptId, until: Millis): void {
    const reservation = this.#reservations.get(attempt)
    if (reservation === undefined) return
    reservation.expiresAt = until
    reservation.used = true
  }

  /**
   * Releases a reservation and removes the group's claim.
   *
   * @param attempt - attempt of the group
   * @param round - number of the request to release; a reservation of a later request is kept
   * @returns whether a reservation was released that was in use
   */
  release (attempt: AttemptId, round = Infinity): boolean {
    const reservation = this.#reservations.get(attempt)
    if (reservation !== undefined && reservation.round > round) return false
    const used = reservation?.used === true
    this.#reservations.delete(attempt)
    this.#claims.delete(attempt)
    return used
  }

  /** Records that a group waits for this runner. */
  claim (attempt: AttemptId, since: Millis, now: Millis): void {
    const previous = this.#claims.get(attempt)
    this.#claims.set(attempt, { since: Math.min(since, previous?.since ?? since), until: now + CLAIM_LIFETIME })
  }

  /** @returns whether a group that is older than the given one waits for the runner */
  hasOlderClaim (attempt: AttemptId, since: Millis, now: Millis): boolean {
    for (const [other, claim] of this.#claims) {
      if (other === attempt || claim.until <= now) continue
      if (claim.since < since || (claim.since === since && other < attempt)) return true
    }
    return false
  }

  /**
   * Checks whether waiting groups block the start of an order on the runner.
   *
   * Any waiting group blocks long prompts; one that has waited longer than `BLOCK_ALL_AGE` blocks all prompts.
   */
  blocksStart (isLong: boolean, now: Millis): boolean {
    for (const claim of this.#claims.values()) {
      if (claim.until > now && (isLong || now - claim.since > BLOCK_ALL_AGE)) return true
    }
    return false
  }

  /** @returns the attempts whose reservation expired, and whether it was in use */
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
