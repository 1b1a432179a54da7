import type { Millis } from '../types.js'
import type { LeaseTimings } from './types.js'

/** What the lease wants to be done next. */
export type LeaseStep =
  | { readonly type: 'acquire', readonly token: string }
  | { readonly type: 'renew', readonly token: string }
  | { readonly type: 'stepped_down', readonly token: string, readonly wasLeader: boolean, readonly reason: string }

interface Holding {
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
  private holding: Holding | null = null
  private asked = false
  private nextCall: Millis = 0
  private lastTick: Millis | null = null
  private isCandidate = false

  /**
   * @param name - name of this process, unique at any time
   * @param timings - time limits
   * @param waitsAtTakeOver - whether engines may ignore fencing numbers
   */
  constructor (private readonly name: string, private readonly timings: LeaseTimings, private readonly waitsAtTakeOver: boolean) {}

  /** The lease's revision while this node leads; null otherwise. */
  get fencing (): number | null {
    return this.holding?.revision ?? null
  }

  /** Token of the present term. */
  get token (): string {
    return `${this.name}#${this.term}`
  }

  /** Whether an order may leave right now. */
  mayAct (now: Millis): boolean {
    if (this.holding === null || this.wasPaused(now)) return false
    return now >= this.holding.actFrom && now < this.holding.validUntil
  }

  /** Looks at the clock; called several times a second. */
  tick (now: Millis): LeaseStep[] {
    const paused = this.wasPaused(now)
    this.lastTick = now
    if (paused && (this.holding !== null || this.asked)) return this.stepDown('was paused', now)
    if (this.holding !== null && now >= this.holding.validUntil) return this.stepDown('lease ran out', now)
    if (now < this.nextCall || !this.isCandidate) return []
    this.nextCall = now + (this.holding === null ? this.timings.retryPeriod : this.timings.renewPeriod)
    this.asked = true
    return [{ type: this.holding === null ? 'acquire' : 'renew', token: this.token }]
  }

  /** Begins or ends asking for the lease; a leader that is no candidate any more gives it back. */
  setCandidate (isCandidate: boolean, now: Millis): LeaseStep[] {
    this.isCandidate = isCandidate
    return !isCandidate && this.holding !== null ? this.stepDown('is no candidate any more', now) : []
  }

  /** The store holds the lease for this term. */
  granted (token: string, revision: number, sentAt: Millis, now: Millis): boolean {
    if (token !== this.token || this.holding !== null || this.wasPaused(now)) return false
    const wait = this.waitsAtTakeOver ? this.timings.lifetime + this.timings.margin : 0
    this.holding = { revision, actFrom: now + wait, validUntil: this.validFrom(sentAt) }
    this.nextCall = now + this.timings.renewPeriod
    return true
  }

  renewed (token: string, sentAt: Millis): void {
    if (token !== this.token || this.holding === null) return
    this.holding.validUntil = Math.max(this.holding.validUntil, this.validFrom(sentAt))
  }

  /**
   * The store did not answer. A lease that was granted without this node's knowledge has run for an
   * unknown time, so it is given back and the next request is a new term's.
   */
  unanswered (token: string, now: Millis): LeaseStep[] {
    if (token !== this.token) return []
    if (this.holding === null) return this.stepDown('the store did not answer', now)
    this.nextCall = Math.min(this.nextCall, now + this.timings.pauseThreshold)
    return []
  }

  /** The store says that the lease is another's, or gone. */
  refused (token: string, now: Millis): LeaseStep[] {
    if (token !== this.token) return []
    if (this.holding !== null) return this.stepDown('lease is lost', now)
    this.asked = false
    return []
  }

  /** Ends the term; the next one has another token. */
  stepDown (reason: string, now: Millis): LeaseStep[] {
    const { token } = this
    const wasLeader = this.holding !== null
    this.holding = null
    this.asked = false
    this.term += 1
    this.nextCall = now + this.timings.retryPeriod
    return [{ type: 'stepped_down', token, wasLeader, reason }]
  }

  private validFrom (sentAt: Millis): Millis {
    return sentAt + this.timings.lifetime - this.timings.margin
  }

  private wasPaused (now: Millis): boolean {
    return this.lastTick !== null && now - this.lastTick > this.timings.pauseThreshold
  }
}
