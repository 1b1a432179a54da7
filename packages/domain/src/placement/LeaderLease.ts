import type { Millis } from '../types.js'
import type { LeaseTimings } from './types.js'

/** What the lease wants to be done next. */
export type LeaseStep =
  | { readonly type: 'acquire', readonly token: string }
  | { readonly type: 'renew', readonly token: string }
  | { readonly type: 'stepped_down', readonly token: string, readonly wasLeader: boolean, readonly reason: string }

interface HeldLease {
  readonly revision: number
  readonly actFrom: Millis
  validUntil: Millis
}

/**
 * Leadership by a lease in the key-value service, for engines that may ignore fencing numbers.
 *
 * The lease counts from the time at which its request left, less a margin, on this process's
 * monotonic clock. A pause ends leadership. A new leader waits until the orders of the last one
 * cannot be under way any more. Each term has its own token.
 */
export class LeaderLease {
  private term = 0
  private heldLease: HeldLease | null = null
  private hasRequested = false
  private nextRequestAt: Millis = 0
  private lastTickAt: Millis | null = null
  private isCandidate = false

  /**
   * @param name - name of this process, unique at any time
   * @param timings - time limits
   * @param shouldWaitBeforeActing - whether engines may ignore fencing numbers
   */
  constructor (private readonly name: string, private readonly timings: LeaseTimings, private readonly shouldWaitBeforeActing: boolean) {}

  /** The lease's revision while this node leads; null otherwise. */
  get fencing (): number | null {
    return this.heldLease?.revision ?? null
  }

  /** Token of the present term. */
  get token (): string {
    return `${this.name}#${this.term}`
  }

  /** Whether an order may leave right now. */
  mayAct (now: Millis): boolean {
    if (this.heldLease === null || this.wasPaused(now)) return false
    return now >= this.heldLease.actFrom && now < this.heldLease.validUntil
  }

  /** Looks at the clock; called several times a second. */
  tick (now: Millis): LeaseStep[] {
    const paused = this.wasPaused(now)
    this.lastTickAt = now
    if (paused && (this.heldLease !== null || this.hasRequested)) return this.stepDown('was paused', now)
    if (this.heldLease !== null && now >= this.heldLease.validUntil) return this.stepDown('lease ran out', now)
    if (now < this.nextRequestAt || !this.isCandidate) return []
    this.nextRequestAt = now + (this.heldLease === null ? this.timings.retryPeriod : this.timings.renewPeriod)
    this.hasRequested = true
    return [{ type: this.heldLease === null ? 'acquire' : 'renew', token: this.token }]
  }

  /** Begins or ends asking for the lease; a leader that is no candidate any more gives it back. */
  setCandidate (isCandidate: boolean, now: Millis): LeaseStep[] {
    this.isCandidate = isCandidate
    return !isCandidate && this.heldLease !== null ? this.stepDown('is no candidate any more', now) : []
  }

  /** The store holds the lease for this term. */
  granted (token: string, revision: number, sentAt: Millis, now: Millis): boolean {
    if (token !== this.token || this.heldLease !== null || this.wasPaused(now)) return false
    const wait = this.shouldWaitBeforeActing ? this.timings.lifetime + this.timings.margin : 0
    this.heldLease = { revision, actFrom: now + wait, validUntil: this.expiryOf(sentAt) }
    this.nextRequestAt = now + this.timings.renewPeriod
    return true
  }

  renewed (token: string, sentAt: Millis): void {
    if (token !== this.token || this.heldLease === null) return
    this.heldLease.validUntil = Math.max(this.heldLease.validUntil, this.expiryOf(sentAt))
  }

  /**
   * The store did not answer. A lease that was granted without this node's knowledge has run for an
   * unknown time, so it is given back and the next request is a new term's.
   */
  unanswered (token: string, now: Millis): LeaseStep[] {
    if (token !== this.token) return []
    if (this.heldLease === null) return this.stepDown('the store did not answer', now)
    this.nextRequestAt = Math.min(this.nextRequestAt, now + this.timings.pauseThreshold)
    return []
  }

  /** The store says that the lease is another's, or gone. */
  refused (token: string, now: Millis): LeaseStep[] {
    if (token !== this.token) return []
    if (this.heldLease !== null) return this.stepDown('lease is lost', now)
    this.hasRequested = false
    return []
  }

  /** Ends the term; the next one has another token. */
  stepDown (reason: string, now: Millis): LeaseStep[] {
    const { token } = this
    const wasLeader = this.heldLease !== null
    this.heldLease = null
    this.hasRequested = false
    this.term += 1
    this.nextRequestAt = now + this.timings.retryPeriod
    return [{ type: 'stepped_down', token, wasLeader, reason }]
  }

  private expiryOf (sentAt: Millis): Millis {
    return sentAt + this.timings.lifetime - this.timings.margin
  }

  private wasPaused (now: Millis): boolean {
    return this.lastTickAt !== null && now - this.lastTickAt > this.timings.pauseThreshold
  }
}
