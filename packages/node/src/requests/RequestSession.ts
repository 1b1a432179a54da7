/** Runs the state machine of one request in an actor: performs its effects and posts their results as events. */
import { assertNever, OutcomeKind, ProgressKind, Request } from '@bluebellhill/domain'
import type { AttemptId, DispatchOrder, NodeId, Outcome, RequestEffect, RequestEvent, RequestOptions, RequestSpec, Tokens } from '@bluebellhill/domain'
import { DropCause } from '@bluebellhill/protocol'
import { dispatch, spawn, stop } from 'nact'
import type { Ref } from 'nact'

import { monotonicNow } from '../clock/monotonic.js'
import { ActiveAttempt } from './ActiveAttempt.js'
import type { Answer, AnswerEnd } from './Answer.js'
import { ChunkResult } from './Attempt.js'
import type { AttemptFailure, AttemptListener } from './Attempt.js'
import type { OrderResult } from './DispatchClient.js'
import type { AttemptSource, SessionPorts } from './ports.js'
import { RequestRecorder } from './RequestRecorder.js'

type Effect<Type extends RequestEffect['type']> = Extract<RequestEffect, { type: Type }>

/** Session of one request in progress at its entry node. */
export class RequestSession implements AttemptListener {
  readonly #spec: RequestSpec
  readonly #request: Request
  readonly #answer: Answer
  readonly #source: AttemptSource
  readonly #ports: SessionPorts
  readonly #recorder: RequestRecorder
  readonly #actor: Ref<RequestEvent>
  readonly #entry: NodeId
  readonly #onFinished: (outcome: Outcome) => void
  readonly #pendingOrders = new Map<AttemptId, AbortController>()
  #activeAttempt: ActiveAttempt | null = null
  #receivedEnd: AnswerEnd | null = null
  #timer: NodeJS.Timeout | null = null
  #hasFirstToken = false

  /**
   * @param spec - the admitted request
   * @param options - limits on its attempts and the retry budget
   * @param answer - receives the answer for the caller
   * @param source - creates the attempts of the request
   * @param ports - dispatch client, time line and metrics of the node
   * @param parent - parent of the request's actor
   * @param entry - id of this node
   * @param onFinished - called exactly once with the final result
   */
  constructor (spec: RequestSpec, options: RequestOptions, answer: Answer, source: AttemptSource, ports: SessionPorts, parent: Ref<unknown>, entry: NodeId, onFinished: (outcome: Outcome) => void) {
    this.#spec = spec
    this.#request = new Request(spec, options)
    this.#answer = answer
    this.#source = source
    this.#ports = ports
    this.#recorder = new RequestRecorder(spec, ports)
    this.#entry = entry
    this.#onFinished = onFinished
    this.#actor = spawn(parent as never, (_state: unknown, event: RequestEvent) => this.#handle(event), spec.id) as Ref<RequestEvent>
  }

  /** Number of tokens that the caller has. */
  get generated (): Tokens {
    return this.#request.generated
  }

  start (): void {
    this.post({ type: 'admitted' })
  }

  /** Posts an event to the mailbox of the request's actor. */
  post (event: RequestEvent): void {
    if (event.type === 'recalled') this.#recorder.recalled(event.attempt)
    dispatch(this.#actor as never, event)
  }

  sending (attempt: AttemptId): void {
    // Handled synchronously instead of through the mailbox, because the request must decide before the first byte is sent.
    this.#handle({ type: 'sending', attempt })
  }

  chunkReceived (attempt: AttemptId, offset: Tokens, count: Tokens, text: string): ChunkResult {
    const now = monotonicNow()
    const dropped = this.#request.accept(attempt, offset, count, now)
    if (dropped !== 0) {
      this.#recorder.dropped(attempt, DropCause.Late, offset)
      return ChunkResult.Dropped
    }
    this.#recorder.relayed(attempt, count, text.length, now)
    if (!this.#hasFirstToken) this.#reportFirstToken()
    return this.#answer.writeText(text) ? ChunkResult.Accepted : ChunkResult.Backpressure
  }

  foreignChunkReceived (attempt: AttemptId): void {
    this.#recorder.dropped(attempt, DropCause.Crossed, null)
  }

  completed (attempt: AttemptId, end: AnswerEnd): void {
    this.#receivedEnd = end
    this.#recorder.completed(attempt, end.finishReason, this.#request.generated)
    this.post({ type: 'completed', attempt, generated: end.usage.completionTokens })
  }

  broken (attempt: AttemptId, failure: AttemptFailure): void {
    this.#recorder.broken(attempt, failure, this.#request.generated)
    this.post({ type: 'broken', attempt, ...failure })
  }

  async drained (): Promise<void> {
    await this.#answer.drained()
  }

  #handle (event: RequestEvent): void {
    for (const effect of this.#request.handle(event, monotonicNow())) this.#perform(effect)
  }

  #perform (effect: RequestEffect): void {
    switch (effect.type) {
      case 'seek': return void this.#acquireGrant(effect)
      case 'send': return this.#send(effect)
      case 'cancel': return this.#cancel(effect)
      case 'finish': return this.#finish(effect.outcome)
      case 'set_timer': return this.#setTimer(effect.at)
      default: return assertNever(effect)
    }
  }

  async #acquireGrant (effect: Effect<'seek'>): Promise<void> {
    const controller = new AbortController()
    this.#pendingOrders.set(effect.attempt, controller)
    const result = await this.#ports.dispatchClient.acquire(this.#dispatchOrderOf(effect), effect.avoid, controller.signal)
    this.#pendingOrders.delete(effect.attempt)
    if (controller.signal.aborted) return
    this.post(this.#eventOfOrderResult(effect.attempt, result))
  }

  #dispatchOrderOf (effect: Effect<'seek'>): DispatchOrder {
    const spec = this.#spec
    return {
      attempt: effect.attempt,
      request: spec.id,
      entry: this.#entry,
      organisation: spec.organisation,
      model: spec.model,
      version: spec.version,
      adapter: spec.adapter,
      urgency: spec.urgency,
      promptTokens: spec.promptTokens + effect.generated,
      maxTokens: Math.max(0, spec.maxTokens - effect.generated),
      prefix: spec.prefix,
      remaining: effect.remaining,
      excluded: effect.excluded
    }
  }

  #eventOfOrderResult (attempt: AttemptId, result: OrderResult): RequestEvent {
    switch (result.type) {
      case 'granted':
        this.#activeAttempt = new ActiveAttempt(attempt, result, this.#ports.dispatchClient, () => this.#request.generated)
        return { type: 'granted', dispatcher: result.dispatcher, grant: result.grant }
      case 'refused':
        return { type: 'refused', attempt, kind: result.kind, retryAfter: result.retryAfter, reason: result.reason, dispatcher: result.dispatcher ?? undefined }
      case 'lost':
        this.#recorder.dispatcherLost(attempt, result.dispatcher, result.reason)
        return { type: 'dispatcher_lost', attempt, dispatcher: result.dispatcher }
      default:
        return assertNever(result)
    }
  }

  #send (effect: Effect<'send'>): void {
    const active = this.#activeAttempt
    if (active === null || active.attempt !== effect.attempt) return
    this.#recorder.sent(effect)
    const attemptSpec = { attempt: effect.attempt, grant: effect.grant, address: active.address, groupAddresses: active.groupAddresses, mode: effect.mode, generated: effect.generated }
    active.run(this.#source.create(attemptSpec, this), this.#reportOrderOf(active.attempt), this)
  }

  /** Builds the order that is sent with progress reports, without the prefix: a dispatcher that adopts the attempt does not need it. */
  #reportOrderOf (attempt: AttemptId): DispatchOrder {
    const order = this.#dispatchOrderOf({ type: 'seek', attempt, excluded: [], generated: 0, remaining: this.#spec.deadline - monotonicNow(), avoid: [] })
    return { ...order, prefix: [] }
  }

  #cancel (effect: Effect<'cancel'>): void {
    this.#pendingOrders.get(effect.attempt)?.abort()
    const active = this.#activeAttempt
    if (active === null || active.attempt !== effect.attempt) return
    this.#activeAttempt = null
    this.#recorder.cancelled(effect.attempt, effect.reason, this.#request.generated)
    if (effect.runner !== null) void this.#source.cancel(active.address, effect.attempt)
    active.stop(ProgressKind.Failed)
  }

  #finish (finalOutcome: Outcome): void {
    this.#clearTimer()
    this.#activeAttempt?.stop(ProgressKind.Ended)
    this.#activeAttempt = null
    for (const controller of this.#pendingOrders.values()) controller.abort()
    const outcome = this.#deliverOutcome(finalOutcome)
    this.#recorder.finished(outcome, this.#request.generated, monotonicNow())
    stop(this.#actor as never)
    this.#onFinished(outcome)
  }

  /** Ends the answer to the caller. If that throws, the caller gets the failure, so that no finished request leaves its connection open. */
  #deliverOutcome (outcome: Outcome): Outcome {
    try {
      if (outcome.kind === OutcomeKind.Answered) this.#answer.end(this.#buildAnswerEnd())
      else this.#answer.fail(outcome)
      return outcome
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error)
      return this.#deliverFailure({ kind: OutcomeKind.Internal, ran: outcome.ran, detail })
    }
  }

  #deliverFailure (outcome: Outcome): Outcome {
    try {
      this.#answer.fail(outcome)
    } catch {
      // The failure cannot be written to the caller; the time line still records how the request ended.
    }
    return outcome
  }

  #buildAnswerEnd (): AnswerEnd {
    const usage = { promptTokens: this.#receivedEnd?.usage.promptTokens ?? this.#spec.promptTokens, completionTokens: this.#request.generated }
    return { finishReason: this.#receivedEnd?.finishReason ?? 'length', usage }
  }

  #reportFirstToken (): void {
    this.#hasFirstToken = true
    this.#activeAttempt?.reportFirstToken()
  }

  #setTimer (dueAt: number): void {
    this.#clearTimer()
    this.#timer = setTimeout(() => this.post({ type: 'timer' }), Math.max(0, Math.ceil(dueAt - monotonicNow())))
  }

  #clearTimer (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
  }
}
