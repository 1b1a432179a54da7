/** Drives one request through a generated interleaving of events and keeps the books that the property checks. */
import type { AttemptId, Grant, Outcome, RequestEffect, RequestEvent, RequestId } from '../src/index.js'
import { OutcomeKind, Ran, Request, RetryBudget } from '../src/index.js'
import { node, runner, spec } from './fixtures.js'

/** What a server did with one attempt. */
interface Execution {
  readonly attempt: AttemptId
  readonly request: RequestId
  readonly base: number
  readonly total: number
  generated: number
  /** Whether the server said that it did not start. */
  denied: boolean
}

interface Chunk { readonly attempt: AttemptId, readonly request: RequestId, readonly offset: number, readonly base: number, readonly count: number }

const DEADLINE = 10_000
const DEFAULT_VALIDITY = 2_000

/** The tape decides every step; the same tape gives the same history. */
export class RequestHistory {
  now = 0
  readonly finishes: { readonly outcome: Outcome, readonly at: number }[] = []
  readonly delivered: string[] = []
  readonly executions: Execution[] = []
  readonly faults: string[] = []
  readonly granted = new Set<AttemptId>()
  readonly settled = new Set<AttemptId>()
  request: Request
  #total: number
  #timer: number | null = null
  #cursor = 0
  #delivered = 0
  #runners = 0
  #restarts = 0
  readonly #seeks: AttemptId[] = []
  #sends: Extract<RequestEffect, { type: 'send' }>[] = []
  readonly #grants: Grant[] = []
  readonly #lapses = new Map<AttemptId, number>()
  readonly #chunks: Chunk[] = []
  readonly #tape: readonly number[]
  readonly #idempotent: boolean

  constructor (tape: readonly number[], idempotent: boolean, total: number) {
    this.#tape = tape
    this.#idempotent = idempotent
    this.#total = total
    this.request = this.#admit()
  }

  /** Plays the tape, then lets the timers run until after the deadline. */
  run (): this {
    while (this.#cursor < this.#tape.length) this.#step()
    while (this.now < DEADLINE + 1_000) this.#advance(250)
    return this
  }

  #admit (): Request {
    const request = new Request(
      spec({ id: `r${this.#restarts}` as RequestId, idempotent: this.#idempotent, maxTokens: this.#total, deadline: DEADLINE }),
      { retryBudget: new RetryBudget({ ratio: 0.2, capacity: 4, perSecond: 0 }) }
    )
    this.request = request
    this.#give({ type: 'admitted' })
    return request
  }

  #draw (bound: number): number {
    const value = this.#tape[this.#cursor++] ?? 0
    return value % bound
  }

  #step (): void {
    const actions = [
      () => this.#advance(1 + this.#draw(150)),
      () => this.#answerSeek(),
      () => this.#answerSeek(),
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
      () => this.#disturb()
    ]
    actions[this.#draw(actions.length)]?.()
  }

  #advance (by: number): void {
    const until = this.now + by
    while (this.#timer !== null && this.#timer <= until) {
      this.now = Math.max(this.now, this.#timer)
      this.#timer = null
      this.#give({ type: 'timer' })
    }
    this.now = until
  }

  #give (event: RequestEvent): readonly RequestEffect[] {
    const effects = this.request.handle(event, this.now)
    for (const effect of effects) this.#carryOut(effect)
    return effects
  }

  #carryOut (effect: RequestEffect): void {
    if (this.finishes.length > 0 && (effect.type === 'send' || effect.type === 'seek')) this.faults.push(`${effect.type} after the end`)
    switch (effect.type) {
      case 'seek': this.#seeks.push(effect.attempt); break
      case 'send': this.#sends.push(effect); break
      case 'cancel': this.#settled(effect.attempt); break
      case 'finish': this.finishes.push({ outcome: effect.outcome, at: this.now }); break
      case 'set_timer': this.#timer = effect.at; break
    }
  }

  #settled (attempt: AttemptId): void {
    this.settled.add(attempt)
    this.#sends = this.#sends.filter((send) => send.attempt !== attempt)
  }

  #answerSeek (): void {
    const attempt = this.#seeks[this.#draw(Math.max(1, this.#seeks.length))]
    if (attempt === undefined) return
    const kind = this.#draw(8)
    if (kind === 0) this.#give({ type: 'refused', attempt, kind: OutcomeKind.Overloaded, retryAfter: 500, reason: 'busy', dispatcher: node('d') })
    else if (kind === 1) this.#give({ type: 'dispatcher_lost', attempt, dispatcher: node('d') })
    else this.#grantTo(attempt, kind === 2 ? 10 : DEFAULT_VALIDITY)
  }

  #grantTo (attempt: AttemptId, validFor: number): void {
    const grant = { attempt, entry: node('entry'), runner: runner(`a${this.#runners++}`), validFor, priority: 0, reason: '', group: [] }
    this.#grants.push(grant)
    this.#lapses.set(attempt, this.#lapses.get(attempt) ?? this.now + validFor)
    this.granted.add(attempt)
    this.#give({ type: 'granted', dispatcher: node('d'), grant })
  }

  #startSend (): void {
    const send = this.#sends.shift()
    if (send === undefined) return
    const effects = this.#give({ type: 'sending', attempt: send.attempt })
    if (effects.some((effect) => effect.type === 'cancel' && effect.attempt === send.attempt)) return
    if (send.mode === 'resume') return
    if (this.now >= (this.#lapses.get(send.attempt) ?? Infinity)) this.faults.push('sent on a lapsed grant')
    this.executions.push({ attempt: send.attempt, request: this.request.spec.id, base: send.generated, total: this.#total, generated: 0, denied: false })
  }

  #generate (): void {
    const execution = this.executions[this.#draw(Math.max(1, this.executions.length))]
    if (execution === undefined || execution.denied) return
    const left = execution.total - execution.base - execution.generated
    const count = Math.min(left, 1 + this.#draw(3))
    if (count <= 0) return
    this.#chunks.push({ attempt: execution.attempt, request: execution.request, offset: execution.generated, base: execution.base, count })
    execution.generated += count
  }

  /** Mostly the next chunk; sometimes any other, in any order and again. */
  #deliver (): void {
    const inOrder = this.#draw(4) > 0
    const index = inOrder ? this.#delivered : this.#draw(Math.max(1, this.#chunks.length))
    const chunk = this.#chunks[index]
    if (chunk === undefined) return
    if (inOrder) this.#delivered += 1
    const dropped = this.request.accept(chunk.attempt, chunk.offset, chunk.count, this.now)
    if (dropped < 0) return
    for (let token = dropped; token < chunk.count; token++) {
      this.delivered.push(`${chunk.request}:${chunk.base + chunk.offset + token}`)
    }
  }

  #complete (): void {
    const whole = this.executions.filter((execution) => !execution.denied && execution.base + execution.generated === execution.total)
    const execution = whole[this.#draw(Math.max(1, whole.length))]
    if (execution === undefined) return
    this.#give({ type: 'completed', attempt: execution.attempt, generated: execution.generated })
  }

  #break (): void {
    const execution = this.executions[this.#draw(Math.max(1, this.executions.length))]
    const kind = this.#draw(4)
    if (execution === undefined) return this.#refuseConnection()
    const denies = kind === 0 && execution.generated === 0
    if (denies) execution.denied = true
    const started = denies ? Ran.No : execution.generated > 0 ? Ran.Yes : Ran.Unknown
    this.#give({ type: 'broken', attempt: execution.attempt, started, resumable: kind === 1, reason: 'broken', retryAfter: null })
  }

  /** The connection fails before the first byte; the attempt was granted only. */
  #refuseConnection (): void {
    const send = this.#sends.shift()
    if (send !== undefined) this.#give({ type: 'broken', attempt: send.attempt, started: Ran.No, resumable: false, reason: 'connection refused', retryAfter: null })
  }

  #disturb (): void {
    const grant = this.#grants[this.#draw(Math.max(1, this.#grants.length))]
    const kind = this.#draw(12)
    if (kind === 0) this.#give({ type: 'caller_gone' })
    else if (kind === 1) this.#restart()
    else if (kind === 2) this.#give({ type: 'timer' })
    else if (kind === 3 && grant !== undefined) this.#give({ type: 'granted', dispatcher: node('d'), grant })
    else if (kind === 4 && this.#seeks.length > 0) this.#give({ type: 'recalled', attempt: this.#seeks.at(-1)! })
    else if (grant !== undefined) this.#give({ type: 'recalled', attempt: grant.attempt })
  }

  /** The entry node is killed and starts anew: another request, while messages of the first are still on their way. */
  #restart (): void {
    if (this.finishes.length > 0 || this.#restarts > 0) return
    this.#restarts += 1
    this.delivered.length = 0
    this.executions.length = 0
    this.granted.clear()
    this.#sends = []
    this.#admit()
  }
}
