/** The life cycle of one request at the entry node that owns it. */
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

/** Bounds of a request's attempts; what is left out takes the default. */
export interface RequestOptions {
  /** Shared by all requests of the entry node. */
  readonly retryBudget: RetryBudget
  readonly maxAttempts?: number
  readonly maxResumes?: number
  readonly maxRefusals?: number
  readonly maxRecalls?: number
  readonly retryDelay?: Millis
}

/** Causes of a further attempt. */
interface Retry {
  readonly reason: string
  readonly kind: OutcomeKind
  readonly retryAfter: Millis
  /** Least delay before the next attempt. */
  readonly delay: Millis
  /** Whether the retry is taken out of the budget. */
  readonly charged: boolean
}

/**
 * Turns events of the dispatcher, the backend server and the caller into effects, and ends in exactly one `finish`.
 *
 * At most one timer is outstanding: a `set_timer` replaces the one before.
 */
export class Request {
  readonly spec: RequestSpec
  readonly #options: Required<RequestOptions>
  #state: RequestState = RequestState.New
  #attempt: Attempt | null = null
  #attempts = 0
  #refusals = 0
  #recalls = 0
  #generated: Tokens = 0
  #ran: Ran = Ran.No
  #outcome: Outcome | null = null
  #wakeAt: Millis | null = null
  readonly #excluded = new Set<RunnerId>()
  readonly #avoid = new Set<NodeId>()

  /**
   * @param spec - what is known of the request when it is admitted
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

  /** Tokens accepted for the caller, over all attempts. */
  get generated (): Tokens {
    return this.#generated
  }

  /** The final result, or null while the request is in progress. */
  get outcome (): Outcome | null {
    return this.#outcome
  }

  get state (): RequestState {
    return this.#state
  }

  /** The attempt in progress, or null. */
  get attempt (): AttemptId | null {
    return this.#attempt?.id ?? null
  }

  /**
   * Decides what follows from an event.
   *
   * @param event - what happened
   * @param now - time of the event, in milliseconds
   * @returns effects in the order in which they are to be carried out. A `cancel` in answer to `sending` means that
   * the bytes must not be sent.
   */
  handle (event: RequestEvent, now: Millis): readonly RequestEffect[] {
    if (this.#state === RequestState.Finished) return this.#handleFinished(event)
    if (event.type === 'caller_gone') return this.#giveUp(OutcomeKind.CallerGone, 'the caller went away')
    if (now >= this.spec.deadline) return this.#passDeadline(event)
    switch (event.type) {
      case 'admitted': return this.#admit(now)
      case 'granted': return this.#take(event.dispatcher, event.grant, now)
      case 'refused': return this.#isCurrent(event.attempt, RequestState.Seeking) ? this.#refused(event, now) : []
      case 'dispatcher_lost': return this.#isCurrent(event.attempt, RequestState.Seeking) ? this.#dispatcherLost(event.dispatcher, now) : []
      case 'recalled': return this.#recalled(event.attempt, now)
      case 'sending': return this.#sending(event.attempt, now)
      case 'completed': return this.#completed(event.attempt, event.generated, now)
      case 'broken': return this.#broken(event, now)
      case 'timer': return this.#timer(now)
      default: return assertNever(event)
    }
  }

  /**
   * Accepts a chunk of the answer.
   *
   * @param attempt - the attempt that the chunk names
   * @param offset - index of the chunk's first token, counted from the attempt's first token
   * @param count - number of tokens in the chunk
   * @param now - time of arrival
   * @returns how many leading tokens of the chunk to drop since the caller has them; -1 when the whole chunk is late,
   * crossed or ahead of what was received, and must be dropped
   */
  accept (attempt: AttemptId, offset: Tokens, count: Tokens, now: Millis): number {
    const current = this.#attempt
    if (this.#state !== RequestState.Sent || current === null || current.id !== attempt) return -1
    if (now >= this.spec.deadline) return -1
    const dropped = this.#generated - (current.base + offset)
    if (dropped < 0 || dropped > count || (dropped === count && count > 0)) return -1
    this.#generated += count - dropped
    this.#ran = Ran.Yes
    current.markAnswered()
    return dropped
  }

  #isCurrent (attempt: AttemptId, state: RequestState): boolean {
    return this.#state === state && this.#attempt?.id === attempt
  }

  #handleFinished (event: RequestEvent): readonly RequestEffect[] {
    if (event.type === 'granted') return [cancelGrant(event.dispatcher, event.grant, 'the request has ended')]
    if (event.type === 'sending') return [cancelAttempt(event.attempt, 'the request has ended')]
    return []
  }

  #passDeadline (event: RequestEvent): readonly RequestEffect[] {
    const late = event.type === 'granted' || event.type === 'sending' ? this.#handleFinished(event) : []
    return [...late, ...this.#giveUp(OutcomeKind.DeadlinePassed, 'the deadline passed')]
  }

  #admit (now: Millis): readonly RequestEffect[] {
    if (this.#state !== RequestState.New) return []
    this.#options.retryBudget.deposit(now)
    return [{ type: 'set_timer', at: this.spec.deadline }, ...this.#seek(now)]
  }

  #seek (now: Millis): readonly RequestEffect[] {
    this.#attempts += 1
    this.#state = RequestState.Seeking
    this.#wakeAt = null
    this.#attempt = new Attempt(`${this.spec.id}.${this.#attempts}` as AttemptId, this.#generated)
    return [{
      type: 'seek',
      attempt: this.#attempt.id,
      excluded: [...this.#excluded],
      generated: this.#generated,
      remaining: this.spec.deadline - now,
      avoid: [...this.#avoid]
    }]
  }

  #take (dispatcher: NodeId, grant: Grant, now: Millis): readonly RequestEffect[] {
    const attempt = this.#attempt
    if (attempt === null || attempt.id !== grant.attempt) return [cancelGrant(dispatcher, grant, 'another attempt has taken its place')]
    if (this.#state !== RequestState.Seeking) {
      const repeated = attempt.grant?.runner === grant.runner
      return repeated ? [] : [cancelGrant(dispatcher, grant, 'the attempt has another grant')]
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

  #refused (event: Extract<RequestEvent, { type: 'refused' }>, now: Millis): readonly RequestEffect[] {
    this.#refusals += 1
    if (event.dispatcher !== undefined) this.#avoid.add(event.dispatcher)
    // Where only runners that failed it before are left, they get another chance.
    if (event.kind === OutcomeKind.NoRunner) this.#excluded.clear()
    const untouched = this.#ran === Ran.No && this.#generated === 0
    if (untouched && this.#refusals >= this.#options.maxRefusals) return this.#giveUp(event.kind, event.reason, event.retryAfter)
    return this.#retry({
      reason: event.reason,
      kind: event.kind,
      retryAfter: event.retryAfter,
      delay: untouched ? 0 : this.#backoff(),
      charged: true
    }, now)
  }

  #dispatcherLost (dispatcher: NodeId | undefined, now: Millis): readonly RequestEffect[] {
    if (dispatcher !== undefined) this.#avoid.add(dispatcher)
    const withdrawn = this.#cancelCurrent('the dispatcher did not answer')
    const retry = { reason: 'the dispatcher did not answer', kind: OutcomeKind.NoRunner, retryAfter: defaults.DEFAULT_RETRY_AFTER, delay: 0, charged: true }
    return [...withdrawn, ...this.#retry(retry, now)]
  }

  #recalled (attempt: AttemptId, now: Millis): readonly RequestEffect[] {
    const current = this.#attempt
    if (current === null || current.id !== attempt) return []
    const sent = this.#state === RequestState.Sent
    if (sent && (current.answered || !this.spec.idempotent)) return []
    if (this.#recalls >= this.#options.maxRecalls) return []
    this.#recalls += 1
    if (sent) this.#ran = mergeRan(this.#ran, Ran.Unknown)
    return [...this.#cancelCurrent('recalled by the dispatcher'), ...this.#seek(now)]
  }

  #sending (attempt: AttemptId, now: Millis): readonly RequestEffect[] {
    const current = this.#attempt
    if (current === null || current.id !== attempt) return [cancelAttempt(attempt, 'another attempt has taken its place')]
    if (this.#state === RequestState.Sent) return []
    if (this.#state !== RequestState.Granted) return [cancelAttempt(attempt, 'the attempt has no grant')]
    if (current.isLapsed(now)) {
      const cancelled = this.#cancelCurrent('the grant lapsed before it was used')
      const retry = { reason: 'the grant lapsed', kind: OutcomeKind.Overloaded, retryAfter: defaults.DEFAULT_RETRY_AFTER, delay: 0, charged: true }
      return [...cancelled, ...this.#retry(retry, now)]
    }
    this.#state = RequestState.Sent
    return []
  }

  #completed (attempt: AttemptId, generated: Tokens, now: Millis): readonly RequestEffect[] {
    const current = this.#attempt
    if (current === null || !this.#isCurrent(attempt, RequestState.Sent)) return []
    if (current.base + generated !== this.#generated) {
      const reason = `the server ended at token ${current.base + generated}, received ${this.#generated}`
      return this.#broken({ type: 'broken', attempt, started: Ran.Yes, resumable: true, reason, retryAfter: null }, now)
    }
    this.#ran = Ran.Yes
    return this.#finish({ kind: OutcomeKind.Answered, ran: Ran.Yes })
  }

  #broken (event: Extract<RequestEvent, { type: 'broken' }>, now: Millis): readonly RequestEffect[] {
    const current = this.#attempt
    if (current === null || current.id !== event.attempt) return []
    const sent = this.#state === RequestState.Sent
    if (!sent && this.#state !== RequestState.Granted) return []
    const started = sent ? event.started : Ran.No
    const ran = current.answered ? Ran.Yes : started
    this.#ran = mergeRan(this.#ran, ran)
    if (!this.spec.idempotent && ran !== Ran.No) return this.#loseAnswer(ran, event)
    if (this.spec.maxTokens > 0 && this.#generated >= this.spec.maxTokens) return this.#finish({ kind: OutcomeKind.Answered, ran: Ran.Yes, detail: 'length' })
    if (sent && event.resumable && ran !== Ran.No && current.resumes < this.#options.maxResumes) return this.#resume(current)
    return this.#moveOn(current, ran, event, now)
  }

  #loseAnswer (ran: Ran, event: Extract<RequestEvent, { type: 'broken' }>): readonly RequestEffect[] {
    const kind = ran === Ran.Yes ? OutcomeKind.ServerFailed : OutcomeKind.AnswerLost
    return this.#giveUp(kind, event.reason, event.retryAfter ?? undefined)
  }

  #resume (attempt: Attempt): readonly RequestEffect[] {
    attempt.countResume()
    return this.#send(attempt, SendMode.Resume)
  }

  #moveOn (current: Attempt, ran: Ran, event: Extract<RequestEvent, { type: 'broken' }>, now: Millis): readonly RequestEffect[] {
    if (current.grant !== null) this.#excluded.add(current.grant.runner)
    const cancelled = this.#cancelCurrent(event.reason)
    const kind = ran === Ran.No ? OutcomeKind.ServerRefused : OutcomeKind.ServerFailed
    const retryAfter = event.retryAfter ?? defaults.DEFAULT_RETRY_AFTER
    const delay = this.#attempts > 1 ? this.#backoff() : 0
    return [...cancelled, ...this.#retry({ reason: event.reason, kind, retryAfter, delay, charged: true }, now)]
  }

  #backoff (): Millis {
    const exponent = Math.max(0, this.#attempts - 1)
    return Math.min(defaults.MAX_RETRY_DELAY, this.#options.retryDelay * 2 ** exponent)
  }

  #retry (retry: Retry, now: Millis): readonly RequestEffect[] {
    this.#attempt = null
    this.#state = RequestState.Delayed
    if (this.#attempts - this.#recalls >= this.#options.maxAttempts) return this.#giveUp(retry.kind, retry.reason, retry.retryAfter)
    if (now + retry.delay >= this.spec.deadline) return this.#giveUp(retry.kind, retry.reason, retry.retryAfter)
    if (retry.charged && !this.#options.retryBudget.withdraw(now)) {
      return this.#giveUp(OutcomeKind.RetryBudgetSpent, retry.reason, retry.retryAfter)
    }
    if (retry.delay === 0) return this.#seek(now)
    this.#wakeAt = now + retry.delay
    return [{ type: 'set_timer', at: this.#wakeAt }]
  }

  #timer (now: Millis): readonly RequestEffect[] {
    const deadline: RequestEffect = { type: 'set_timer', at: this.spec.deadline }
    if (this.#state !== RequestState.Delayed || this.#wakeAt === null) return [deadline]
    if (now < this.#wakeAt) return [{ type: 'set_timer', at: this.#wakeAt }]
    return [deadline, ...this.#seek(now)]
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

  #giveUp (kind: OutcomeKind, detail: string, retryAfter?: Millis): readonly RequestEffect[] {
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
