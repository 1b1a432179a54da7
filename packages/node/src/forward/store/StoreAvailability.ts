/** Tracks whether the platform's store answers this node. */
import type { Millis } from '@bluebellhill/domain'
import { describeFailure } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import type { FleetState } from '../FleetState.js'
import type { Log } from '../../log/index.js'

const GONE = 410

/** Detects from the results of calls when the store is lost and when it answers again. */
export class StoreAvailability {
  #lostAt: Millis | null = null
  #answeredAt: Millis | null = null
  /** Time of the last answer that a replica which is behind cannot have given. */
  #currentAnswerAt: Millis | null = null

  /**
   * @param fleetState - is notified of a loss, because then entries expire although their servers still run
   * @param log - receives a line when the store is lost and when it answers again
   * @param clock - monotonic clock
   * @param onLost - called when the store is lost
   */
  constructor (private readonly fleetState: FleetState, private readonly log: Log, private readonly clock: () => Millis, private readonly onLost: () => void = () => {}) {}

  /** Time since the last answer of the store, also of a replica that is behind; null if there was none yet. */
  get silence (): Millis | null {
    return this.#answeredAt === null ? null : this.clock() - this.#answeredAt
  }

  /** Time since the last answer that shows the state of the store as it was then; null if there was none yet. */
  get currentSilence (): Millis | null {
    return this.#currentAnswerAt === null ? null : this.clock() - this.#currentAnswerAt
  }

  get isLost (): boolean {
    return this.#lostAt !== null
  }

  /**
   * Records the result of a call. A call that the store did not answer shows nothing if another one was answered since it began: it was
   * made in an outage that has ended, or its connection has broken.
   *
   * @param result - result of the call
   * @param startedAt - time at which the call began
   * @param since - time since which the store may have been unavailable, if the call failed
   */
  recordResult (result: Result<unknown, CallFailure>, startedAt: Millis, since: Millis = this.clock()): void {
    const isAvailable = result.ok || (result.failure.type === 'rejected' && result.failure.status === GONE)
    if (isAvailable) this.#markAnswered()
    else if (!isUnanswered(result.failure) || !this.#hasAnsweredSince(startedAt)) this.#markLost(result.failure, since)
  }

  /** Records the answer to a read that may be stale, which does not show that the store answers other calls. */
  recordStaleAnswer (): void {
    this.#answeredAt = this.clock()
  }

  #markAnswered (): void {
    this.#answeredAt = this.clock()
    this.#currentAnswerAt = this.#answeredAt
    this.#markRegained()
  }

  #hasAnsweredSince (time: Millis): boolean {
    return this.#currentAnswerAt !== null && this.#currentAnswerAt > time
  }

  /** Ends a loss when this node stops watching the store: other nodes do, and it makes no call that could show the return. */
  watchEnded (): void {
    if (this.#lostAt === null) return
    this.log.info('store.loss_ended', { after_ms: Math.round(this.clock() - this.#lostAt) })
    this.#endLoss()
  }

  #endLoss (): void {
    this.#lostAt = null
    this.fleetState.servers.storeRegained(this.clock())
  }

  #markLost (failure: CallFailure, since: Millis): void {
    if (this.#lostAt !== null) return
    this.#lostAt = since
    this.fleetState.servers.storeLost(since)
    this.log.warn('store.lost', { reason: describeFailure(failure), silent_ms: Math.round(this.clock() - since) })
    this.onLost()
  }

  #markRegained (): void {
    if (this.#lostAt === null) return
    this.log.info('store.regained', { after_ms: Math.round(this.clock() - this.#lostAt) })
    this.#endLoss()
  }
}

const isUnanswered = ({ type }: CallFailure): boolean => type === 'interrupted' || type === 'not_sent'
