/**
 * Starts another attempt beside one whose server is silent. There are two degrees: a hedge, once the attempt is later than nearly all recent ones, after
 * which the first complete answer wins; and a replacement, once the silence suggests a fault, after which the first data wins.
 */
import { AttemptEnd } from '@bluebellhill/domain'
import type { HealthSignal, Millis } from '@bluebellhill/domain'

import type { ForwardingHost } from './ForwardingHost.js'
import { SilenceTimer } from './SilenceTimer.js'
import type { ChangeCheck } from './SilenceTimer.js'
import { SilentAttempts } from './SilentAttempts.js'
import type { OpenAttempt } from './types.js'

/** Interval at which another server is looked for while the server of a request is silent. */
const SEARCH_PERIOD: Millis = 1_000

/** Measures the silence of the attempt in progress, and keeps the silent attempts beside it. */
export class SilentReplacement {
  readonly #host: ForwardingHost
  readonly #silentAttempts: SilentAttempts
  readonly #silenceTimer = new SilenceTimer(async (attempt, silence, hasGoneOn) => { await this.#silenceNoticed(attempt, silence, hasGoneOn).catch(this.#host.failInternally) })
  readonly #onResumed: () => void
  /** Silence after which the attempt in progress is replaced. */
  #timeout: Millis | null = null

  /**
   * @param host - the request
   * @param onResumed - called when the request goes on with a silent attempt
   */
  constructor (host: ForwardingHost, onResumed: () => void) {
    this.#host = host
    this.#onResumed = onResumed
    this.#silentAttempts = new SilentAttempts((attempt, signal) => host.release(attempt, signal))
  }

  /** Measures anew how long the server of the attempt sends no data. */
  restartTimer (attempt: OpenAttempt): void {
    this.#timeout = this.#host.dataTimeout(attempt)
    this.#silenceTimer.restart(attempt, this.#hedgeDueIn(attempt) ?? this.#timeout)
  }

  stopTimer (): void {
    this.#silenceTimer.clear()
  }

  /** @returns whether the attempt is silent and another one is in progress */
  has (attempt: OpenAttempt): boolean {
    return this.#silentAttempts.has(attempt)
  }

  /** @returns whether data of an attempt are taken: it is in progress, or one of the two attempts of a hedged request */
  takesData (attempt: OpenAttempt): boolean {
    return this.#isRacedBeside(attempt) || this.isCurrent(attempt)
  }

  close (attempt: OpenAttempt, signal: HealthSignal | null): void {
    this.#silentAttempts.close(attempt, signal)
  }

  closeAll (): void {
    this.#silentAttempts.closeAll()
  }

  /** @returns whether an attempt is in progress; a silent one whose server goes on takes the place of the one that was to replace it */
  isCurrent (attempt: OpenAttempt): boolean {
    const { progress, history, ending, close } = this.#host
    if (progress.attempt === attempt) return true
    if (!this.#silentAttempts.has(attempt) || ending.isOver) return false
    const replacement = progress.attempt
    if (replacement !== null) {
      history.end(replacement.server.id, replacement.serverCall?.mayBeSent === true ? AttemptEnd.TimedOut : AttemptEnd.Unsent)
      close(replacement)
    }
    this.#resume(attempt, 'data')
    this.#silentAttempts.closeAll()
    return true
  }

  /** Goes on with the earliest silent attempt. Returns false if there is none. */
  resumeFirst (): boolean {
    const { first } = this.#silentAttempts
    if (first === undefined) return false
    this.#resume(first, 'no_other_attempt')
    return true
  }

  /** Goes on with the other attempt of a hedged request after one has failed. Returns false if there is none. */
  resumeRaced (): boolean {
    const { firstRaced } = this.#silentAttempts
    if (firstRaced === undefined) return false
    this.#resume(firstRaced, 'other_attempt_failed')
    return true
  }

  #resume (attempt: OpenAttempt, cause: 'data' | 'no_other_attempt' | 'other_attempt_failed'): void {
    const { progress, requestLog } = this.#host
    this.#silentAttempts.remove(attempt)
    this.#onResumed()
    progress.attempt = attempt
    requestLog.silentAttemptResumed(attempt, cause)
    this.restartTimer(attempt)
  }

  #isRacedBeside (attempt: OpenAttempt): boolean {
    return attempt.isRaced && this.#silentAttempts.has(attempt) && !this.#host.ending.isOver
  }

  /** Counted from the sending of the attempt: data that trickle in do not make it less late. Null if no hedge is due before the attempt is replaced. */
  #hedgeDueIn (attempt: OpenAttempt): Millis | null {
    const { context, call } = this.#host
    if (this.#timeout === null || attempt.isHedgeTried) return null
    const delay = context.placement.hedgeTiming.delay(call, attempt)
    if (delay === null) return null
    const dueIn = Math.max(0, delay - (context.clock() - attempt.sentAt))
    return dueIn < this.#timeout ? dueIn : null
  }

  async #silenceNoticed (attempt: OpenAttempt, silence: Millis, hasGoneOn: ChangeCheck): Promise<void> {
    const isHedgeDue = !attempt.isHedgeTried && this.#timeout !== null && silence < this.#timeout
    if (isHedgeDue) await this.#hedge(attempt, silence, hasGoneOn)
    else await this.#dataOverdue(attempt, silence, hasGoneOn)
  }

  async #hedge (attempt: OpenAttempt, silence: Millis, hasGoneOn: ChangeCheck): Promise<void> {
    const { search, history, requestLog, context, call, open } = this.#host
    const timeout = this.#timeout ?? silence
    const delay = context.placement.hedgeTiming.delay(call, attempt) ?? silence
    attempt.isHedgeTried = true
    const placement = await search.find(true, { mayWait: false, isHedge: true })
    if (hasGoneOn()) {
      search.discard(placement)
      this.#hedgeRefused(attempt, delay, 'no_longer_needed')
      return
    }
    if (placement.type === 'refused') {
      this.#hedgeRefused(attempt, delay, placement.reason)
      this.#silenceTimer.extend(attempt, timeout - silence, timeout)
      return
    }
    history.keepBeside(attempt.server.id)
    attempt.isRaced = true
    requestLog.hedgeSent(attempt, delay, placement.attempt)
    context.metrics.hedgeSent()
    this.#setAside(attempt)
    open(placement.attempt, true)
  }

  #hedgeRefused (attempt: OpenAttempt, delay: Millis, cause: string): void {
    const { requestLog, context } = this.#host
    requestLog.hedgeRefused(attempt, delay, cause)
    context.metrics.hedgeRefused(cause)
  }

  /** Waits on while the engine is known to prefill other prompts: another engine would have to read this prompt anew. */
  async #dataOverdue (attempt: OpenAttempt, silence: Millis, hasGoneOn: ChangeCheck): Promise<void> {
    const { context: { placement }, requestLog } = this.#host
    const { placed } = attempt
    if (placed === null) return
    const extension = await placement.explainedSilence(placed)
    if (hasGoneOn()) return
    if (extension > 0) {
      requestLog.attemptWaits(attempt, silence, extension)
      this.#silenceTimer.extend(attempt, extension, silence + extension)
      return
    }
    if (!attempt.isSilenceReported) placement.reportSilence(placed)
    attempt.isSilenceReported = true
    await this.#replace(attempt, silence, hasGoneOn)
  }

  /** Starts another attempt beside a silent one, which is only given up once the other server has begun to answer. */
  async #replace (attempt: OpenAttempt, silence: Millis, hasGoneOn: ChangeCheck): Promise<void> {
    const { search, history, requestLog, progress, open } = this.#host
    const placement = await search.find(true, { mayWait: false })
    if (hasGoneOn()) {
      search.discard(placement)
      return
    }
    const reason = `no progress for ${Math.round(silence)} ms`
    progress.lastProblem = `${AttemptEnd.TimedOut}: ${reason}`
    if (placement.type === 'refused') {
      requestLog.silentAttemptKept(attempt, silence, placement.reason)
      this.#silenceTimer.extend(attempt, SEARCH_PERIOD, silence + SEARCH_PERIOD)
      return
    }
    history.end(attempt.server.id, AttemptEnd.TimedOut)
    requestLog.attemptFailed(attempt, AttemptEnd.TimedOut, reason)
    this.#setAside(attempt)
    open(placement.attempt)
  }

  /** Before the answer has started, memory on other engines is released at once: the next attempt may need it, and a dead server would keep it. */
  #setAside (attempt: OpenAttempt): void {
    const { hasStartedAnswer, close } = this.#host
    if (attempt.reservations !== null && !hasStartedAnswer()) {
      close(attempt)
      return
    }
    this.#silenceTimer.clear()
    this.#silentAttempts.add(attempt)
  }
}
