import type { Millis } from '../types.js'
import type { LeaseTimings } from './types.js'

/** A step of the lease protocol that the caller must carry out. */
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
 * The lifetime of the lease, less a margin, is counted from the time at which its request was sent, on this process's
 * monotonic clock. A pause of the process ends leadership. A new leader waits until the commands of the previous one can no
 * longer be in flight. Each term has its own token.
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
   * @param shouldWaitBeforeActing - whether a new leader waits for the previous leader's commands to arrive, because
   *   engines may ignore fencing numbers
   */
  constructor (private readonly name: string, private readonly timings: LeaseTimings, private readonly shouldWaitBeforeActing: boolean) {}

  /** Revision of the lease, used as the fencing number, while this node leads; null otherwise. */
  get fencing (): number | null {
    return this.heldLease?.revision ?? null
  }

  /** Token of the current term. */
  get token (): string {
    return `${this.name}#${this.term}`
  }

  /** Whether a command may be sent right now. */
  mayAct (now: Millis): boolean {
    if (this.heldLease === null || this.wasPaused(now)) return false
    return now >= this.heldLease.actFrom && now < this.heldLease.validUntil
  }

  /** Returns the steps that are due at the current time; called several times per second. */
  tick (now: Millis): LeaseStep[] {
    const paused = this.wasPaused(now)
    this.lastTickAt = now
    if (paused && (this.heldLease !== null || this.hasRequested)) return this.stepDown('the process was paused', now)
    if (this.heldLease !== null && now >= this.heldLease.validUntil) return this.stepDown('the lease expired', now)
    if (now < this.nextRequestAt || !this.isCandidate) return []
    this.nextRequestAt = now + (this.heldLease === null ? this.timings.retryPeriod : this.timings.renewPeriod)
    this.hasRequested = true
    return [{ type: this.heldLease === null ? 'acquire' : 'renew', token: this.token }]
  }

  /** Starts or stops requesting the lease; a leader that stops being a candidate releases it. */
  setCandidate (isCandidate: boolean, now: Millis): LeaseStep[] {
    this.isCandidate = isCandidate
    return !isCandidate && this.heldLease !== null ? this.stepDown('no longer a candidate', now) : []
  }

  /** Starts leadership, because the store granted the lease to this term. Returns whether leadership started. */
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
   * Handles a missing answer of the store. A lease that was granted without this node receiving the answer has been running
   * for an unknown time, so it is released and the next request belongs to a new term.
   */
  unanswered (token: string, now: Millis): LeaseStep[] {
    if (token !== this.token) return []
    if (this.heldLease === null) return this.stepDown('the store did not answer', now)
    this.nextRequestAt = Math.min(this.nextRequestAt, now + this.timings.pauseThreshold)
    return []
  }

  /** Handles the store's answer that another node holds the lease, or that the lease no longer exists. */
  refused (token: string, now: Millis): LeaseStep[] {
    if (token !== this.token) return []
    if (this.heldLease !== null) return this.stepDown('the lease was lost', now)
    this.hasRequested = false
    return []
  }

  /** Ends the term; the next term has another token. */
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
