/** Simulates dispatchers, a router and engines in virtual time. */
import type { AttemptId, DispatchEffect, Dispatcher, DispatcherState, DispatchOrder, FailureDomain, Grant, Millis, NodeId, Router, RunnerId } from '../src/index.js'
import { VirtualScheduler } from './virtualScheduler.js'
import { attempt as attemptId, DOMAIN, report, runner as runnerId } from './fixtures.js'

/** Step times and sizes of a simulated engine. */
export interface EngineShape {
  readonly chunkTokens: number
  readonly stepMs: number
  readonly newTokenMs: number
  readonly slots: number
  readonly totalTokens: number
  /** Whether the engine schedules prefills by priority. */
  readonly ranked: boolean
  readonly loadLag: Millis
}

export const ENGINE: EngineShape = { chunkTokens: 2_048, stepMs: 5, newTokenMs: 0.01, slots: 64, totalTokens: 400_000, ranked: true, loadLag: 250 }

interface Sequence { readonly id: AttemptId, readonly priority: number, readonly arrival: number, prefill: number, readonly wanted: number, generated: number }

/** Times and results of one order. */
export interface Trace {
  readonly order: DispatchOrder
  readonly submittedAt: Millis
  readonly attempts: AttemptId[]
  grantedAt?: Millis
  firstTokenAt?: Millis
  endedAt?: Millis
  refusedAt?: Millis
  retryAfter?: Millis
  recalls: number
  redirects: number
  grantedFor?: AttemptId
  runner?: RunnerId
}

/** Minimal engine with continuous batching and chunked prefill. */
class FakeEngine {
  readonly sequences: Sequence[] = []
  readonly shape: EngineShape
  busy = false
  #arrivals = 0

  constructor (shape: EngineShape) {
    this.shape = shape
  }

  add (grant: Grant, order: DispatchOrder): void {
    this.sequences.push({ id: grant.attempt, priority: grant.priority, arrival: this.#arrivals++, prefill: order.promptTokens, wanted: order.maxTokens, generated: 0 })
  }

  remove (id: AttemptId): void {
    const index = this.sequences.findIndex((sequence) => sequence.id === id)
    if (index >= 0) this.sequences.splice(index, 1)
  }

  /** Computes one step; returns its duration and the sequences that generated a token. */
  step (): { readonly duration: Millis, readonly advanced: readonly Sequence[] } {
    const decoding = this.sequences.filter((sequence) => sequence.prefill === 0)
    const prefilling = this.sequences.filter((sequence) => sequence.prefill > 0)
      .sort((a, b) => (this.shape.ranked ? a.priority - b.priority : 0) || a.arrival - b.arrival)
    let budget = this.shape.chunkTokens
    const advanced = [...decoding]
    for (const sequence of prefilling) {
      const chunk = Math.min(budget, sequence.prefill)
      sequence.prefill -= chunk
      budget -= chunk
      if (chunk > 0 && sequence.prefill === 0) advanced.push(sequence)
    }
    for (const sequence of advanced) sequence.generated += 1
    const newTokens = decoding.length + this.shape.chunkTokens - budget
    return { duration: this.shape.stepMs + this.shape.newTokenMs * newTokens, advanced }
  }
}

/** Runs dispatchers and engines until all submitted orders are finished. */
export class DispatchSimulation {
  readonly #scheduler = new VirtualScheduler()
  readonly traces = new Map<string, Trace>()
  readonly #dispatchers = new Map<NodeId, Dispatcher>()
  readonly #engines = new Map<RunnerId, { readonly engine: FakeEngine, readonly owner: Dispatcher }>()
  readonly #states = new Map<NodeId, DispatcherState>()
  readonly #domains = new Map<NodeId, FailureDomain>()
  readonly #router: Router | null
  #lastDeadline: Millis = 0

  constructor (router: Router | null = null) {
    this.#router = router
  }

  addDispatcher (dispatcher: Dispatcher, runners: readonly string[], shape: EngineShape = ENGINE, failureDomain = DOMAIN): void {
    this.#dispatchers.set(dispatcher.node, dispatcher)
    this.#domains.set(dispatcher.node, failureDomain)
    for (const name of runners) {
      const id = runnerId(name)
      this.#engines.set(id, { engine: new FakeEngine(shape), owner: dispatcher })
      dispatcher.handle({ type: 'runner_assigned', runner: id, failureDomain }, 0)
      this.#report(id)
    }
    this.#gossip(dispatcher)
  }

  submit (order: DispatchOrder, at: Millis): void {
    this.#lastDeadline = Math.max(this.#lastDeadline, at + order.remaining)
    this.traces.set(order.request, { order, submittedAt: at, attempts: [], recalls: 0, redirects: 0 })
    this.schedule(at, () => this.#sendOrder(order.request))
  }

  get now (): Millis {
    return this.#scheduler.now
  }

  schedule (at: Millis, run: () => void): void {
    this.#scheduler.schedule(at, run)
  }

  run (): this {
    this.#scheduler.run()
    return this
  }

  #sendOrder (request: string): void {
    const trace = this.traces.get(request)!
    const remaining = trace.submittedAt + trace.order.remaining - this.now
    const id = attemptId(`${request}.${trace.attempts.length + 1}`)
    trace.attempts.push(id)
    const order = { ...trace.order, attempt: id, remaining }
    const facts = { model: order.model, promptTokens: order.promptTokens, maxTokens: order.maxTokens, prefix: order.prefix, remaining }
    const first = this.#dispatchers.keys().next().value as NodeId
    const chosen = this.#router?.choose(facts, [...this.#states.values()], DOMAIN, [], this.now) ?? first
    if (typeof chosen !== 'string') return this.#refused(trace, chosen.retryAfter)
    this.deliver(this.#dispatchers.get(chosen)!, { type: 'ordered', order })
  }

  deliver (dispatcher: Dispatcher, event: Parameters<Dispatcher['handle']>[0]): void {
    for (const effect of dispatcher.handle(event, this.now)) this.#execute(effect)
    const timer = dispatcher.nextTimer()
    if (timer !== null && timer <= this.#lastDeadline) this.schedule(Math.max(timer, this.now + 1), () => { if (dispatcher.nextTimer() !== null && dispatcher.nextTimer()! <= this.now) this.deliver(dispatcher, { type: 'ticked' }) })
  }

  #execute (effect: DispatchEffect): void {
    if (effect.type === 'grant') this.#start(effect.grant)
    else if (effect.type === 'refuse') this.#refused(this.#traceOf(effect.attempt), effect.retryAfter)
    else if (effect.type === 'recall') this.#recalled(effect.attempt)
    else if (effect.type === 'cancel_on_runner') this.#engines.get(effect.runner)?.engine.remove(effect.attempt)
  }

  #traceOf (id: AttemptId): Trace {
    return this.traces.get(id.slice(0, id.lastIndexOf('.')))!
  }

  #refused (trace: Trace, retryAfter: Millis): void {
    trace.refusedAt = this.now
    trace.retryAfter = retryAfter
  }

  #start (grant: Grant): void {
    const trace = this.#traceOf(grant.attempt)
    trace.grantedAt = this.now
    trace.grantedFor = grant.attempt
    trace.runner = grant.runner
    const { engine, owner } = this.#engines.get(grant.runner)!
    engine.add(grant, trace.order)
    this.#progress(owner, grant, 'sent', 0)
    this.#scheduleProgress(owner, grant, trace)
    if (!engine.busy) this.#step(grant.runner)
  }

  #progress (owner: Dispatcher, { attempt, runner }: { readonly attempt: AttemptId, readonly runner: RunnerId }, kind: 'sent' | 'first_token' | 'streaming' | 'ended' | 'failed', generated: number): void {
    this.schedule(this.now + 1, () => this.deliver(owner, { type: 'progressed', attempt, runner, kind, generated, order: null }))
  }

  #scheduleProgress (owner: Dispatcher, grant: Grant, trace: Trace): void {
    this.schedule(this.now + 1_000, () => {
      if (trace.grantedFor !== grant.attempt || trace.endedAt !== undefined || trace.attempts.at(-1) !== grant.attempt) return
      this.#progress(owner, grant, 'streaming', trace.firstTokenAt === undefined ? 0 : 1)
      this.#scheduleProgress(owner, grant, trace)
    })
  }

  #recalled (id: AttemptId): void {
    const trace = this.#traceOf(id)
    if (trace.firstTokenAt !== undefined) return
    trace.recalls += 1
    if (trace.attempts.at(-1) !== id || trace.grantedFor !== id) return this.#redirect(trace, id)
    const { engine, owner } = this.#engines.get(trace.runner!)!
    engine.remove(id)
    this.#progress(owner, { attempt: id, runner: trace.runner! }, 'failed', 0)
    this.schedule(this.now + 1, () => this.#sendOrder(trace.order.request))
  }

  /** Withdraws a waiting order and sends a new one. */
  #redirect (trace: Trace, id: AttemptId): void {
    trace.redirects += 1
    this.schedule(this.now + 1, () => {
      if (trace.grantedFor === id) return
      for (const dispatcher of this.#dispatchers.values()) this.deliver(dispatcher, { type: 'withdrawn', attempt: id })
      this.#sendOrder(trace.order.request)
    })
  }

  #step (id: RunnerId): void {
    const { engine, owner } = this.#engines.get(id)!
    engine.busy = engine.sequences.length > 0
    if (!engine.busy) return
    const { duration, advanced } = engine.step()
    this.schedule(this.now + duration, () => {
      for (const sequence of advanced) this.#tokenGenerated(id, owner, engine, sequence)
      this.#step(id)
    })
  }

  #tokenGenerated (id: RunnerId, owner: Dispatcher, engine: FakeEngine, sequence: Sequence): void {
    const trace = this.#traceOf(sequence.id)
    const ended = sequence.generated >= sequence.wanted
    if (sequence.generated === 1) {
      trace.firstTokenAt = this.now
      this.#progress(owner, { attempt: sequence.id, runner: id }, 'first_token', 1)
    }
    if (!ended) return
    engine.remove(sequence.id)
    trace.endedAt = this.now
    this.#progress(owner, { attempt: sequence.id, runner: id }, 'ended', sequence.generated)
  }

  #report (id: RunnerId): void {
    const { engine, owner } = this.#engines.get(id)!
    const { shape } = engine
    const held = engine.sequences.map((sequence) => ({ attempt: sequence.id, heldTokens: sequence.prefill + sequence.generated, age: 0 }))
    const load = { running: engine.sequences.length, pendingPrefillTokens: engine.sequences.reduce((total, sequence) => total + sequence.prefill, 0) }
    const rate = shape.chunkTokens * 1_000 / (shape.stepMs + shape.newTokenMs * shape.chunkTokens)
    const figures = { slots: shape.slots, totalTokens: shape.totalTokens, chunkTokens: shape.chunkTokens, prefillRate: rate, decodeRate: 1_000 / (shape.stepMs + shape.newTokenMs), held, loadAge: shape.loadLag }
    this.schedule(this.now + shape.loadLag, () => this.deliver(owner, { type: 'runner_reported', runner: id, report: report({ ...figures, ...load }) }))
    if (this.now === 0) this.deliver(owner, { type: 'runner_reported', runner: id, report: report({ ...figures, held: [] }) })
    if (this.now < this.#lastDeadline || this.now === 0) this.schedule(this.now + 200, () => this.#report(id))
  }

  #gossip (dispatcher: Dispatcher): void {
    const state = { node: dispatcher.node, failureDomain: this.#domains.get(dispatcher.node)!, receivedAt: this.now, summaries: dispatcher.summaries(this.now) }
    this.#states.set(dispatcher.node, state)
    for (const other of this.#dispatchers.values()) {
      const peers = [...this.#states.values()].filter((entry) => entry.node !== other.node).flatMap((entry) => entry.summaries)
      this.deliver(other, { type: 'peers_summarised', summaries: peers })
    }
    if (this.now < this.#lastDeadline || this.now === 0) this.schedule(this.now + 500, () => this.#gossip(dispatcher))
  }
}
