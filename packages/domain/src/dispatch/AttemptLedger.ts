/** Tracks the attempts on a dispatcher's runners: granted ones, members of sequence groups, and those it did not grant. */
import type { AttemptId, Millis, NodeId, RunnerId, Tokens } from '../types.js'
import { LOST_ENTRY_REPORT_AGE } from './constants.js'
import { EndedAttempts } from './EndedAttempts.js'
import { LiveAttempt } from './LiveAttempt.js'
import { orphanedAt } from './orphans.js'
import type { OrphanGracePeriods } from './orphans.js'
import type { Runner } from './Runner.js'
import type { RunnerPool } from './RunnerPool.js'
import type { DispatchEvent, RunnerReport } from './types.js'
import { ProgressKind } from './types.js'

type ProgressedEvent = Extract<DispatchEvent, { type: 'progressed' }>

/** Timeouts after which an attempt counts as abandoned by its entry node. */
export interface LedgerTimes extends OrphanGracePeriods {
  /** An attempt expires if its entry node reports no progress for this long. */
  readonly progressTimeout: Millis
  /** The attempts of an entry node that was lost expire after at most this time. */
  readonly lostEntryGrace: Millis
}

/** Receives the changes of attempts that the ledger detects. */
export interface LedgerObserver {
  tokensGenerated (attempt: LiveAttempt, tokens: Tokens): void
  finished (attempt: LiveAttempt, now: Millis): void
  /** The ledger adopted a running attempt that another dispatcher had granted. */
  adopted (attempt: LiveAttempt): void
  /** The engine must stop the attempt and free its memory. */
  cancel (runner: RunnerId, attempt: AttemptId, reason: string): void
}

/** Keeps attempts while their entry nodes report progress, and cancels attempts that no entry node reports. */
export class AttemptLedger {
  readonly #pool: RunnerPool
  readonly #times: LedgerTimes
  readonly #observer: LedgerObserver
  readonly #ended = new EndedAttempts()

  constructor (pool: RunnerPool, times: LedgerTimes, observer: LedgerObserver) {
    this.#pool = pool
    this.#times = times
    this.#observer = observer
  }

  /** @returns whether the attempt ended at this dispatcher within `ENDED_RETENTION` */
  hasEnded (attempt: AttemptId): boolean {
    return this.#ended.has(attempt)
  }

  /** @returns when the next attempt or reservation expires or the next attempt becomes an orphan; infinite if there is none */
  get nextTimer (): Millis {
    let next = Infinity
    for (const attempt of this.#pool.attempts) next = Math.min(next, attempt.expiresAt)
    for (const runner of this.#pool.runners) {
      next = Math.min(next, runner.reservations.nextExpiry)
      for (const unknown of runner.unknownAttempts.values()) {
        if (!this.#ended.has(unknown.attempt)) next = Math.min(next, orphanedAt(runner, unknown, this.#times))
      }
    }
    return next
  }

  /** Applies the report of an engine, and cancels again each ended attempt that the engine still holds. */
  reported (runner: Runner, report: RunnerReport, now: Millis): void {
    runner.applyReport(report, now)
    for (const unknown of runner.unknownAttempts.values()) {
      if (this.#ended.has(unknown.attempt)) this.#observer.cancel(runner.id, unknown.attempt, 'the attempt has ended')
    }
  }

  /** Ends an attempt that its entry node withdrew, whether or not it was granted. */
  withdrawn (id: AttemptId, now: Millis): void {
    this.#ended.add(id, now)
    this.releaseMembers(id)
    const attempt = this.#pool.removeAttempt(id)
    if (attempt !== undefined) this.#observer.cancel(attempt.runner, id, 'withdrawn by the entry node')
  }

  /**
   * Shortens the expiry of a lost entry node's attempts.
   *
   * An attempt that was reported within `LOST_ENTRY_REPORT_AGE` is skipped, because it belongs to the restarted node.
   */
  entryLost (entry: NodeId, now: Millis): void {
    for (const attempt of this.#pool.attempts) {
      const isStale = now - attempt.lastReportAt > LOST_ENTRY_REPORT_AGE
      if (attempt.entry === entry && isStale) attempt.expiresAt = Math.min(attempt.expiresAt, now + this.#times.lostEntryGrace)
    }
  }

  /** Cancels attempts and releases reservations that no entry node has reported in time. */
  expire (now: Millis): void {
    this.#ended.expire(now)
    this.#expireAttempts(now)
    this.#expireReservations(now)
    this.#freeOrphans(now)
  }

  /** Applies a progress report of an entry node: renews the attempt's expiry, or adopts an attempt that another dispatcher granted. */
  progressed (event: ProgressedEvent, now: Millis): void {
    const reportedRunner = this.#pool.runner(event.runner)
    if (reportedRunner?.reservations.has(event.attempt)) return this.#memberProgressed(event, reportedRunner, now)
    const attempt = this.#pool.attempt(event.attempt) ?? this.#adopt(event, now)
    if (attempt === undefined) return
    if (attempt.runner !== event.runner && reportedRunner !== undefined) {
      reportedRunner.reservations.reserve(event.attempt, reportedRunner.freeTokens, now)
      return this.#memberProgressed(event, reportedRunner, now)
    }
    const runner = this.#pool.runner(attempt.runner)
    const before = { generated: attempt.generated, prefilling: attempt.isPrefilling }
    attempt.recordProgress(event.kind, event.generated, now)
    attempt.expiresAt = now + this.#times.progressTimeout
    this.#observer.tokensGenerated(attempt, attempt.generated - before.generated)
    if (before.prefilling && !attempt.isPrefilling) runner?.learnInterference(attempt, now)
    if (event.kind === ProgressKind.Ended) this.#recordCompletion(attempt, now)
    if (event.kind === ProgressKind.Ended || event.kind === ProgressKind.Failed) this.#endAttempt(attempt, now)
  }

  /** Renews the reservation of a group member while the entry node reports progress, and releases it at the end. */
  #memberProgressed (event: ProgressedEvent, runner: Runner, now: Millis): void {
    runner.reservations.renew(event.attempt, now + this.#times.progressTimeout)
    if (event.kind !== ProgressKind.Ended && event.kind !== ProgressKind.Failed) return
    runner.reservations.release(event.attempt)
    this.#ended.add(event.attempt, now)
  }

  /** Releases the reservations of a sequence group on all runners of this dispatcher. */
  releaseMembers (id: AttemptId, round?: number): void {
    for (const runner of this.#pool.reserving(id)) {
      if (runner.reservations.release(id, round)) this.#observer.cancel(runner.id, id, 'the group was given up')
    }
  }

  #recordCompletion (attempt: LiveAttempt, now: Millis): void {
    this.#pool.runner(attempt.runner)?.learnDecodeRate(attempt, now)
    this.#observer.finished(attempt, now)
  }

  #endAttempt (attempt: LiveAttempt, now: Millis): void {
    this.#pool.removeAttempt(attempt.id)
    this.#ended.add(attempt.id, now)
  }

  /** Adopts a running attempt that another dispatcher granted. */
  #adopt (event: ProgressedEvent, now: Millis): LiveAttempt | undefined {
    const runner = this.#pool.runner(event.runner)
    const hasFinished = event.kind === ProgressKind.Ended || event.kind === ProgressKind.Failed
    if (hasFinished) this.#ended.add(event.attempt, now)
    if (event.order === null || runner === undefined || this.#ended.has(event.attempt)) return undefined
    const load = { cachedTokens: 0, ahead: 0, behind: 0, queuedAt: now, expected: 0 }
    const attempt = new LiveAttempt(event.order, event.runner, now, now + this.#times.progressTimeout, load)
    this.#observer.adopted(attempt)
    this.#pool.addAttempt(attempt)
    return attempt
  }

  #expireAttempts (now: Millis): void {
    for (const attempt of [...this.#pool.attempts]) {
      if (now < attempt.expiresAt) continue
      if (attempt.sentAt === null) {
        this.#expireUnusedGrant(attempt)
        continue
      }
      this.#endAttempt(attempt, now)
      this.#observer.cancel(attempt.runner, attempt.id, 'no progress was reported in time')
    }
  }

  /**
   * Expires a grant for which no progress was reported. The attempt may still run, if its entry node reports to another
   * node that it believes to be the runner's dispatcher. If the engine holds the attempt, it gets the same grace period
   * as an attempt that this dispatcher did not grant.
   */
  #expireUnusedGrant (attempt: LiveAttempt): void {
    this.#pool.removeAttempt(attempt.id)
    this.#pool.runner(attempt.runner)?.markUnknown(attempt)
  }

  #expireReservations (now: Millis): void {
    for (const runner of this.#pool.runners) {
      for (const { attempt, used } of runner.reservations.expire(now)) {
        if (!used) continue
        this.#ended.add(attempt, now)
        this.#observer.cancel(runner.id, attempt, 'no progress of the group was reported in time')
      }
    }
  }

  #freeOrphans (now: Millis): void {
    for (const runner of this.#pool.runners) {
      for (const unknown of [...runner.unknownAttempts.values()]) {
        if (this.#ended.has(unknown.attempt) || now < orphanedAt(runner, unknown, this.#times)) continue
        this.#ended.add(unknown.attempt, now)
        this.#observer.cancel(runner.id, unknown.attempt, 'no entry node reported the attempt')
      }
    }
  }
}
