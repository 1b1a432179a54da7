/** State machine of one request at its entry node: attempts, retries, resumes and the final outcome. */
import type { Grant } from '../dispatch/types.js'
import type { AttemptId, Millis, NodeId, Outcome, RunnerId, Tokens } from '../types.js'
import { assertNever, OutcomeKind, Ran } from '../types.js'
import { Attempt } from './Attempt.js'
import * as defaults from './constants.js'
import { cancelAttempt, cancelGrant, mergeRan } from './outcomes.js'
import { RequestState } from './RequestState.js'
import type { RetryBudget } from './RetryBudget.js'
import type { RequestEffect, RequestEvent, RequestSpec } from './types.js'
import { SendMode } from './types.js'

/** Retry budget and bounds of a request's attempts; omitted bounds take the defaults of `constants.ts`. */
export interface RequestOptions {
  /** Budget that all requests of the entry node share. */
  readonly retryBudget: RetryBudget
  readonly maxAttempts?: number
  readonly maxResumes?: number
  readonly maxRefusals?: number
  readonly maxRecalls?: number
  readonly retryDelay?: Millis
}

/** Why and when to retry, and the outcome to report if no retry is allowed. */
interface Retry {
  readonly reason: string
  readonly kind: OutcomeKind
  readonly retryAfter: Millis
  /** Delay before the next attempt. */
  readonly delay: Millis
  /** Whether the retry is withdrawn from the retry budget. */
  readonly isCharged: boolean
}

/**
 * Converts events from the dispatcher, the backend server and the caller into effects, and ends with exactly one `finish` effect.
 *
 * At most one timer is active: each `set_timer` effect replaces the previous timer.
 */
export class Request {
  readonly spec: RequestSpec
  readonly #options: Required<RequestOptions>
  #state: RequestState = RequestState.New
  #attempt: Attempt | null = null
  #attemptCount = 0
  #refusalCount = 0
  #recallCount = 0
  #generated: Tokens = 0
  #ran: Ran = Ran.No
  #outcome: Outcome | null = null
  #retryAt: Millis | null = null
  readonly #excludedRunners = new Set<RunnerId>()
  readonly #avoidedDispatchers = new Set<NodeId>()

  /**
   * @param spec - the request as it was admitted
   * @param options - bounds of its attempts and the shared retry budget
   */
  constructor (spec: RequestSpec, options: RequestOptions) {
    this.spec = spec
    this.#options = {
      maxAttempts: defaults.MAX_ATTEMPTS,
      maxResumes: defaults.MAX_RESUMES,
      maxRefusals: defaults.MAX_REFUSALS,
      maxRecalls: defaults.MAX_RECALLS,
      retryDelay: defaults.RETRY_DELAY,
      ...options
    }
  }

  /** Number of tokens accepted for the caller, over all attempts. */
  get generated (): Tokens {
    return this.#generated
  }

  /** The final result, or null until the request finishes. */
  get outcome (): Outcome | null {
    return this.#outcome
  }

  get state (): RequestState {
    return this.#state
  }

  /** Id of the attempt in progress, or null if there is none. */
  get attempt (): AttemptId | null {
    return this.#attempt?.id ?? null
  }

  /**
   * Applies an event to the state of the request.
   *
   * @param event - the event
   * @param now - time of the event, in milliseconds
   * @returns effects, to be carried out in this order. A `cancel` effect in response to a `sending` event means that
   * the bytes must not be sent.
   */
  handle (event: RequestEvent, now: Millis): readonly RequestEffect[] {
    if (this.#state === RequestState.Finished) return this.#handleFinished(event)
    if (event.type === 'caller_gone') return this.#fail(OutcomeKind.CallerDisconnected, 'the caller disconnected')
    if (now >= this.spec.deadline) return this.#failAtDeadline(event)
    switch (event.type) {
      case 'admitted': return this.#handleAdmitted(now)
      case 'granted': return this.#handleGranted(event.dispatcher, event.grant, now)
      case 'refused': return this.#isCurrent(event.attempt, RequestState.AwaitingGrant) ? this.#handleRefused(event, now) : []
      case 'dispatcher_lost': return this.#isCurrent(event.attempt, RequestState.AwaitingGrant) ? this.#handleDispatcherLost(event.dispatcher, now) : []
      case 'recalled': return this.#handleRecalled(event.attempt, now)
      case 'sending': return this.#handleSending(event.attempt, now)
      case 'completed': return this.#handleCompleted(event.attempt, event.generated, now)
      case 'broken': return this.#handleBroken(event, now)
      case 'timer': return this.#handleTimer(now)
      default: return assertNever(event)
    }
  }

  /**
   * Accepts or rejects a chunk of the answer.
   *
   * @param attempt - id of the attempt that the chunk carries
   * @param offset - index of the chunk's first token, counted from the attempt's first token
   * @param count - number of tokens in the chunk
   * @param now - time of arrival
   * @returns how many leading tokens of the chunk to drop because the caller already has them. -1 means to drop the
   * whole chunk: it belongs to another attempt, arrived after the deadline, contains no new tokens or leaves a gap.
   */
  accept (attempt: AttemptId, offset: Tokens, count: Tokens, now: Millis): number {
    const current = this.#attempt
    if (this.#state !== RequestState.Sent || current === null || current.id !== attempt) return -1
    if (now >= this.spec.deadline) return -1
    const duplicates = this.#generated - (current.baseOffset + offset)
    if (duplicates < 0 || duplicates > count || (duplicates === count && count > 0)) return -1
    this.#generated += count - duplicates
    this.#ran = Ran.Yes
    current.markTokensReceived()
    return duplicates
  }

  #isCurrent (attempt: AttemptId, state: RequestState): boolean {
    return this.#state === state && this.#attempt?.id === attempt
  }

  #handleFinished (event: RequestEvent): readonly RequestEffect[] {
    if (event.type === 'granted') return [cancelGrant(event.dispatcher, event.grant, 'the request has finished')]
    if (event.type === 'sending') return [cancelAttempt(event.attempt, 'the request has finished')]
    return []
  }

  #failAtDeadline (event: RequestEvent): readonly RequestEffect[] {
    const cancelled = event.type === 'granted' || event.type === 'sending' ? this.#handleFinished(event) : []
    return [...cancelled, ...this.#fail(OutcomeKind.DeadlinePassed, 'the deadline passed')]
  }

  #handleAdmitted (now: Millis): readonly RequestEffect[] {
    if (this.#state !== RequestState.New) return []
    this.#options.retryBudget.deposit(now)
    return [{ type: 'set_timer', at: this.spec.deadline }, ...this.#requestGrant(now)]
  }

  #requestGrant (now: Millis): readonly RequestEffect[] {
    this.#attemptCount += 1
    this.#state = RequestState.AwaitingGrant
    this.#retryAt = null
    this.#attempt = new Attempt(`${this.spec.id}.${this.#attemptCount}` as AttemptId, this.#generated)
    return [{
      type: 'seek',
      attempt: this.#attempt.id,
      excluded: [...this.#excludedRunners],
      generated: this.#generated,
      remaining: this.spec.deadline - now,
      avoid: [...this.#avoidedDispatchers]
    }]
  }

  #handleGranted (dispatcher: NodeId, grant: Grant, now: Millis): readonly RequestEffect[] {
    const attempt = this.#attempt
    if (attempt === null || attempt.id !== grant.attempt) return [cancelGrant(dispatcher, grant, 'the attempt was replaced by another one')]
    if (this.#state !== RequestState.AwaitingGrant) {
      const repeated = attempt.grant?.runner === grant.runner
      return repeated ? [] : [cancelGrant(dispatcher, grant, 'the attempt already has another grant')]
    }
    attempt.assign(dispatcher, grant, now)
    this.#state = RequestState.Granted
    const mode = this.#generated > 0 ? SendMode.Continue : SendMode.Fresh
    return this.#send(attempt, mode)
  }

  #send (attempt: Attempt, mode: SendMode): readonly RequestEffect[] {
    if (attempt.grant === null || attempt.dispatcher === null) return []
    return [{ type: 'send', attempt: attempt.id, grant: attempt.grant, dispatcher: attempt.dispatcher, mode, generated: this.#generated }]
  }

  #handleRefused (event: Extract<RequestEvent, { type: 'refused' }>, now: Millis): readonly RequestEffect[] {
    this.#refusalCount += 1
    if (event.dispatcher !== undefined) this.#avoidedDispatchers.add(event.dispatcher)
    // If the only available runners are those that failed this request, they become eligible again.
    if (event.kind === OutcomeKind.NoRunner) this.#excludedRunners.clear()
    const hasNotRun = this.#ran === Ran.No && this.#generated === 0
    if (hasNotRun && this.#refusalCount >= this.#options.maxRefusals) return this.#fail(event.kind, event.reason, event.retryAfter)
    return this.#retry({
      reason: event.reason,
      kind: event.kind,
      retryAfter: event.retryAfter,
      delay: hasNotRun ? 0 : this.#backoff(),
      isCharged: true
    }, now)
  }

  #handleDispatcherLost (dispatcher: NodeId | undefined, now: Millis): readonly RequestEffect[] {
    if (dispatcher !== undefined) this.#avoidedDispatchers.add(dispatcher)
    const cancelled = this.#cancelCurrent('the dispatcher did not answer')
    const retry = { reason: 'the dispatcher did not answer', kind: OutcomeKind.NoRunner, retryAfter: defaults.DEFAULT_RETRY_AFTER, delay: 0, isCharged: true }
    return [...cancelled, ...this.#retry(retry, now)]
  }

  #handleRecalled (attempt: AttemptId, now: Millis): readonly RequestEffect[] {
    const current = this.#attempt
    if (current === null || current.id !== attempt) return []
    const isSent = this.#state === RequestState.Sent
    if (isSent && (current.hasReceivedTokens || !this.spec.idempotent)) return []
    if (this.#recallCount >= this.#options.maxRecalls) return []
    this.#recallCount += 1
    if (isSent) this.#ran = mergeRan(this.#ran, Ran.Unknown)
    return [...this.#cancelCurrent('recalled by the dispatcher'), ...this.#requestGrant(now)]
  }

  #handleSending (attempt: AttemptId, now: Millis): readonly RequestEffect[] {
    const current = this.#attempt
    if (current === null || current.id !== attempt) return [cancelAttempt(attempt, 'the attempt was replaced by another one')]
    if (this.#state === RequestState.Sent) return []
    if (this.#state !== RequestState.Granted) return [cancelAttempt(attempt, 'the attempt has no grant')]
    if (current.isExpired(now)) {
      const cancelled = this.#cancelCurrent('the grant expired before it was used')
      const retry = { reason: 'the grant expired', kind: OutcomeKind.Overloaded, retryAfter: defaults.DEFAULT_RETRY_AFTER, delay: 0, isCharged: true }
      return [...cancelled, ...this.#retry(retry, now)]
    }
    this.#state = RequestState.Sent
    return []
  }

  #handleCompleted (attempt: AttemptId, generated: Tokens, now: Millis): readonly RequestEffect[] {
    const current = this.#attempt
    if (current === null || !this.#isCurrent(attempt, RequestState.Sent)) return []
    if (current.baseOffset + generated !== this.#generated) {
      const reason = `the server reported the end at token ${current.baseOffset + generated}, but ${this.#generated} tokens were received`
      return this.#handleBroken({ type: 'broken', attempt, started: Ran.Yes, resumable: true, reason, retryAfter: null }, now)
    }
    this.#ran = Ran.Yes
    return this.#finish({ kind: OutcomeKind.Answered, ran: Ran.Yes })
  }

  #handleBroken (event: Extract<RequestEvent, { type: 'broken' }>, now: Millis): readonly RequestEffect[] {
    const current = this.#attempt
    if (current === null || current.id !== event.attempt) return []
    const isSent = this.#state === RequestState.Sent
    if (!isSent && this.#state !== RequestState.Granted) return []
    const started = isSent ? event.started : Ran.No
    const ran = current.hasReceivedTokens ? Ran.Yes : started
    this.#ran = mergeRan(this.#ran, ran)
    if (!this.spec.idempotent && ran !== Ran.No) return this.#failNonIdempotent(ran, event)
    if (this.spec.maxTokens > 0 && this.#generated >= this.spec.maxTokens) return this.#finish({ kind: OutcomeKind.Answered, ran: Ran.Yes, detail: 'length' })
    if (isSent && event.resumable && ran !== Ran.No && current.resumes < this.#options.maxResumes) return this.#resume(current)
    return this.#retryOnAnotherRunner(current, ran, event, now)
  }

  #failNonIdempotent (ran: Ran, event: Extract<RequestEvent, { type: 'broken' }>): readonly RequestEffect[] {
    const kind = ran === Ran.Yes ? OutcomeKind.ServerFailed : OutcomeKind.AnswerLost
    return this.#fail(kind, event.reason, event.retryAfter ?? undefined)
  }

  #resume (attempt: Attempt): readonly RequestEffect[] {
    attempt.countResume()
    return this.#send(attempt, SendMode.Resume)
  }

  #retryOnAnotherRunner (current: Attempt, ran: Ran, event: Extract<RequestEvent, { type: 'broken' }>, now: Millis): readonly RequestEffect[] {
    if (current.grant !== null) this.#excludedRunners.add(current.grant.runner)
    const cancelled = this.#cancelCurrent(event.reason)
    const kind = ran === Ran.No ? OutcomeKind.ServerRefused : OutcomeKind.ServerFailed
    const retryAfter = event.retryAfter ?? defaults.DEFAULT_RETRY_AFTER
    const delay = this.#attemptCount > 1 ? this.#backoff() : 0
    return [...cancelled, ...this.#retry({ reason: event.reason, kind, retryAfter, delay, isCharged: true }, now)]
  }

  #backoff (): Millis {
    const exponent = Math.max(0, this.#attemptCount - 1)
    return Math.min(defaults.MAX_RETRY_DELAY, this.#options.retryDelay * 2 ** exponent)
  }

  #retry (retry: Retry, now: Millis): readonly RequestEffect[] {
    this.#attempt = null
    this.#state = RequestState.Delayed
    if (this.#attemptCount - this.#recallCount >= this.#options.maxAttempts) return this.#fail(retry.kind, retry.reason, retry.retryAfter)
    if (now + retry.delay >= this.spec.deadline) return this.#fail(retry.kind, retry.reason, retry.retryAfter)
    if (retry.isCharged && !this.#options.retryBudget.withdraw(now)) {
      return this.#fail(OutcomeKind.RetryBudgetSpent, retry.reason, retry.retryAfter)
    }
    if (retry.delay === 0) return this.#requestGrant(now)
    this.#retryAt = now + retry.delay
    return [{ type: 'set_timer', at: this.#retryAt }]
  }

  #handleTimer (now: Millis): readonly RequestEffect[] {
    const deadline: RequestEffect = { type: 'set_timer', at: this.spec.deadline }
    if (this.#state !== RequestState.Delayed || this.#retryAt === null) return [deadline]
    if (now < this.#retryAt) return [{ type: 'set_timer', at: this.#retryAt }]
    return [deadline, ...this.#requestGrant(now)]
  }

  #cancelCurrent (reason: string): readonly RequestEffect[] {
    const current = this.#attempt
    if (current === null) return []
    return [{
      type: 'cancel',
      attempt: current.id,
      runner: this.#state === RequestState.Sent ? current.grant?.runner ?? null : null,
      dispatcher: current.dispatcher,
      reason
    }]
  }

  #fail (kind: OutcomeKind, detail: string, retryAfter?: Millis): readonly RequestEffect[] {
    if (this.#state === RequestState.Sent) this.#ran = mergeRan(this.#ran, Ran.Unknown)
    const cancelled = this.#state === RequestState.New ? [] : this.#cancelCurrent(detail)
    const outcome: Outcome = retryAfter === undefined
      ? { kind, ran: this.#ran, detail }
      : { kind, ran: this.#ran, retryAfter, detail }
    return [...cancelled, ...this.#finish(outcome)]
  }

  #finish (outcome: Outcome): readonly RequestEffect[] {
    this.#state = RequestState.Finished
    this.#attempt = null
    this.#outcome = outcome
    return [{ type: 'finish', outcome }]
  }
}
