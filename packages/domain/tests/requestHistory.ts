/** Runs one request through a generated interleaving of events and records what the property tests check. */
import type { AttemptId, Grant, Outcome, RequestEffect, RequestEvent, RequestId } from '../src/index.js'
import { OutcomeKind, Ran, Request, RetryBudget } from '../src/index.js'
import { node, runner, spec } from './fixtures.js'

/** The execution of one attempt at a backend server. */
interface Execution {
  readonly attempt: AttemptId
  readonly request: RequestId
  readonly base: number
  readonly total: number
  generated: number
  /** Whether the server reported that it did not start the attempt. */
  reportedNotStarted: boolean
}

interface Chunk { readonly attempt: AttemptId, readonly request: RequestId, readonly offset: number, readonly base: number, readonly count: number }

const DEADLINE = 10_000
const DEFAULT_VALIDITY = 2_000

/** The generated numbers in `choices` decide every step, so the same numbers give the same history. */
export class RequestHistory {
  now = 0
  readonly finishes: { readonly outcome: Outcome, readonly at: number }[] = []
  readonly delivered: string[] = []
  readonly executions: Execution[] = []
  readonly violations: string[] = []
  readonly grantedAttempts = new Set<AttemptId>()
  readonly closedAttempts = new Set<AttemptId>()
  request: Request
  #total: number
  #timer: number | null = null
  #cursor = 0
  #nextChunk = 0
  #runnerCount = 0
  #restarts = 0
  readonly #grantRequests: AttemptId[] = []
  #sends: Extract<RequestEffect, { type: 'send' }>[] = []
  readonly #grants: Grant[] = []
  readonly #grantExpiries = new Map<AttemptId, number>()
  readonly #chunks: Chunk[] = []
  readonly #choices: readonly number[]
  readonly #idempotent: boolean

  constructor (choices: readonly number[], idempotent: boolean, total: number) {
    this.#choices = choices
    this.#idempotent = idempotent
    this.#total = total
    this.request = this.#admit()
  }

  /** Runs all steps, then advances the clock past the deadline so that the timers fire. */
  run (): this {
    while (this.#cursor < this.#choices.length) this.#step()
    while (this.now < DEADLINE + 1_000) this.#advance(250)
    return this
  }

  #admit (): Request {
    const request = new Request(
      spec({ id: `r${this.#restarts}` as RequestId, idempotent: this.#idempotent, maxTokens: this.#total, deadline: DEADLINE }),
      { retryBudget: new RetryBudget({ ratio: 0.2, capacity: 4, perSecond: 0 }) }
    )
    this.request = request
    this.#handle({ type: 'admitted' })
    return request
  }

  #draw (bound: number): number {
    const value = this.#choices[this.#cursor++] ?? 0
    return value % bound
  }

  #step (): void {
    const actions = [
      () => this.#advance(1 + this.#draw(150)),
      () => this.#answerGrantRequest(),
      () => this.#answerGrantRequest(),
      () => this.#startSend(),
      () => this.#startSend(),
      () => this.#generate(),
      () => this.#generate(),
      () => this.#generate(),
      () => this.#deliver(),
      () => this.#deliver(),
      () => this.#deliver(),
      () => this.#complete(),
      () => this.#complete(),
      () => this.#break(),
      () => this.#injectFault()
    ]
    actions[this.#draw(actions.length)]?.()
  }

  #advance (by: number): void {
    const until = this.now + by
    while (this.#timer !== null && this.#timer <= until) {
      this.now = Math.max(this.now, this.#timer)
      this.#timer = null
      this.#handle({ type: 'timer' })
    }
    this.now = until
  }

  #handle (event: RequestEvent): readonly RequestEffect[] {
    const effects = this.request.handle(event, this.now)
    for (const effect of effects) this.#applyEffect(effect)
    return effects
  }

  #applyEffect (effect: RequestEffect): void {
    if (this.finishes.length > 0 && (effect.type === 'send' || effect.type === 'seek')) this.violations.push(`${effect.type} after the request finished`)
    switch (effect.type) {
      case 'seek': this.#grantRequests.push(effect.attempt); break
      case 'send': this.#sends.push(effect); break
      case 'cancel': this.#close(effect.attempt); break
      case 'finish': this.finishes.push({ outcome: effect.outcome, at: this.now }); break
      case 'set_timer': this.#timer = effect.at; break
    }
  }

  #close (attempt: AttemptId): void {
    this.closedAttempts.add(attempt)
    this.#sends = this.#sends.filter((send) => send.attempt !== attempt)
  }

  #answerGrantRequest (): void {
    const attempt = this.#grantRequests[this.#draw(Math.max(1, this.#grantRequests.length))]
    if (attempt === undefined) return
    const kind = this.#draw(8)
    if (kind === 0) this.#handle({ type: 'refused', attempt, kind: OutcomeKind.Overloaded, retryAfter: 500, reason: 'busy', dispatcher: node('d') })
    else if (kind === 1) this.#handle({ type: 'dispatcher_lost', attempt, dispatcher: node('d') })
    else this.#grantTo(attempt, kind === 2 ? 10 : DEFAULT_VALIDITY)
  }

  #grantTo (attempt: AttemptId, validFor: number): void {
    const grant = { attempt, entry: node('entry'), runner: runner(`a${this.#runnerCount++}`), validFor, priority: 0, reason: '', group: [] }
    this.#grants.push(grant)
    this.#grantExpiries.set(attempt, this.#grantExpiries.get(attempt) ?? this.now + validFor)
    this.grantedAttempts.add(attempt)
    this.#handle({ type: 'granted', dispatcher: node('d'), grant })
  }

  #startSend (): void {
    const send = this.#sends.shift()
    if (send === undefined) return
    const effects = this.#handle({ type: 'sending', attempt: send.attempt })
    if (effects.some((effect) => effect.type === 'cancel' && effect.attempt === send.attempt)) return
    if (send.mode === 'resume') return
    if (this.now >= (this.#grantExpiries.get(send.attempt) ?? Infinity)) this.violations.push('sent with an expired grant')
    this.executions.push({ attempt: send.attempt, request: this.request.spec.id, base: send.generated, total: this.#total, generated: 0, reportedNotStarted: false })
  }

  #generate (): void {
    const execution = this.executions[this.#draw(Math.max(1, this.executions.length))]
    if (execution === undefined || execution.reportedNotStarted) return
    const remaining = execution.total - execution.base - execution.generated
    const count = Math.min(remaining, 1 + this.#draw(3))
    if (count <= 0) return
    this.#chunks.push({ attempt: execution.attempt, request: execution.request, offset: execution.generated, base: execution.base, count })
    execution.generated += count
  }

  /** Delivers the next chunk in three of four cases, otherwise any chunk, so that chunks are reordered and repeated. */
  #deliver (): void {
    const inOrder = this.#draw(4) > 0
    const index = inOrder ? this.#nextChunk : this.#draw(Math.max(1, this.#chunks.length))
    const chunk = this.#chunks[index]
    if (chunk === undefined) return
    if (inOrder) this.#nextChunk += 1
    const dropped = this.request.accept(chunk.attempt, chunk.offset, chunk.count, this.now)
    if (dropped < 0) return
    for (let token = dropped; token < chunk.count; token++) {
      this.delivered.push(`${chunk.request}:${chunk.base + chunk.offset + token}`)
    }
  }

  #complete (): void {
    const whole = this.executions.filter((execution) => !execution.reportedNotStarted && execution.base + execution.generated === execution.total)
    const execution = whole[this.#draw(Math.max(1, whole.length))]
    if (execution === undefined) return
    this.#handle({ type: 'completed', attempt: execution.attempt, generated: execution.generated })
  }

  #break (): void {
    const execution = this.executions[this.#draw(Math.max(1, this.executions.length))]
    const kind = this.#draw(4)
    if (execution === undefined) return this.#refuseConnection()
    const reportsNotStarted = kind === 0 && execution.generated === 0
    if (reportsNotStarted) execution.reportedNotStarted = true
    const started = reportsNotStarted ? Ran.No : execution.generated > 0 ? Ran.Yes : Ran.Unknown
    this.#handle({ type: 'broken', attempt: execution.attempt, started, resumable: kind === 1, reason: 'broken', retryAfter: null })
  }

  /** Breaks an attempt whose connection fails before the first byte is sent. */
  #refuseConnection (): void {
    const send = this.#sends.shift()
    if (send !== undefined) this.#handle({ type: 'broken', attempt: send.attempt, started: Ran.No, resumable: false, reason: 'connection refused', retryAfter: null })
  }

  #injectFault (): void {
    const grant = this.#grants[this.#draw(Math.max(1, this.#grants.length))]
    const kind = this.#draw(12)
    if (kind === 0) this.#handle({ type: 'caller_gone' })
    else if (kind === 1) this.#restart()
    else if (kind === 2) this.#handle({ type: 'timer' })
    else if (kind === 3 && grant !== undefined) this.#handle({ type: 'granted', dispatcher: node('d'), grant })
    else if (kind === 4 && this.#grantRequests.length > 0) this.#handle({ type: 'recalled', attempt: this.#grantRequests.at(-1)! })
    else if (grant !== undefined) this.#handle({ type: 'recalled', attempt: grant.attempt })
  }

  /** Simulates a restart of the entry node: a new request starts while messages of the first one are still in transit. */
  #restart (): void {
    if (this.finishes.length > 0 || this.#restarts > 0) return
    this.#restarts += 1
    this.delivered.length = 0
    this.executions.length = 0
    this.grantedAttempts.clear()
    this.#sends = []
    this.#admit()
  }
}
