/** The account of one node's runners and the queue before them: grants, refuses, recalls and frees. */
import type { AttemptId, Millis, NodeId, OutcomeKind, RunnerId, Tokens } from '../types.js'
import { assertNever, OutcomeKind as Kind } from '../types.js'
import * as defaults from './constants.js'
import { DispatchQueue } from './DispatchQueue.js'
import type { QueuedOrder, QueueOptions } from './DispatchQueue.js'
import { DomainView } from './DomainView.js'
import type { DomainModel } from './DomainView.js'
import { LengthAware } from './LengthAware.js'
import { LiveAttempt } from './LiveAttempt.js'
import type { RoutingContext, RoutingPolicy, RunnerChoice } from './RoutingPolicy.js'
import type { Runner } from './Runner.js'
import { RunnerPool } from './RunnerPool.js'
import { summarise } from './summaries.js'
import type { DispatchEffect, DispatchEvent, DispatchOrder, DispatchSummary, RunnerReport } from './types.js'
import { ProgressKind } from './types.js'
import { serviceTime, waitTime, workOf } from './WaitEstimate.js'

/** Settings of a dispatcher; what is left out takes the default. */
export interface DispatcherOptions {
  readonly node: NodeId
  readonly policy?: RoutingPolicy
  readonly queue?: QueueOptions
  readonly grantValidity?: Millis
  /** Time without progress after which an attempt counts as left by its entry node. */
  readonly silenceLimit?: Millis
  readonly lostEntryGrace?: Millis
  readonly inheritedGrace?: Millis
  readonly foreignGrace?: Millis
}

type Settings = Required<Omit<DispatcherOptions, 'policy' | 'queue' | 'node'>>

type Ordered = Extract<DispatchEvent, { type: 'ordered' }>
type Progressed = Extract<DispatchEvent, { type: 'progressed' }>

/** Deterministic: the same events at the same times give the same effects. */
export class Dispatcher {
  readonly node: NodeId
  readonly #policy: RoutingPolicy
  readonly #settings: Settings
  readonly #pool = new RunnerPool()
  readonly #queue: DispatchQueue
  readonly #domain = new DomainView()
  /** Attempts that have ended here, and when; a report that still lists one is late or shows a leak. */
  readonly #ended = new Map<AttemptId, Millis>()
  #effects: DispatchEffect[] = []

  constructor (options: DispatcherOptions) {
    this.node = options.node
    this.#policy = options.policy ?? new LengthAware()
    this.#queue = new DispatchQueue(options.queue)
    this.#settings = {
      grantValidity: options.grantValidity ?? defaults.GRANT_VALIDITY,
      silenceLimit: options.silenceLimit ?? defaults.SILENCE_LIMIT,
      lostEntryGrace: options.lostEntryGrace ?? defaults.LOST_ENTRY_GRACE,
      inheritedGrace: options.inheritedGrace ?? defaults.INHERITED_GRACE,
      foreignGrace: options.foreignGrace ?? defaults.FOREIGN_GRACE
    }
  }

  /** Orders that wait. */
  get queued (): number {
    return this.#queue.size
  }

  /** Attempts that hold a grant. */
  get granted (): readonly AttemptId[] {
    return [...this.#pool.attempts].map((attempt) => attempt.id)
  }

  /**
   * Decides what follows from an event.
   *
   * @param event - what happened
   * @param now - time of the event, in milliseconds
   * @returns effects in the order in which they are to be carried out
   */
  handle (event: DispatchEvent, now: Millis): readonly DispatchEffect[] {
    this.#effects = []
    this.#apply(event, now)
    this.#expire(now)
    this.#dispatch(now)
    return this.#effects
  }

  /** @returns the state to gossip, one record for each model */
  summaries (now: Millis): readonly DispatchSummary[] {
    return this.#pool.models().map((model) => {
      const runners = this.#usable(model)
      return summarise({ model, runners, queue: this.#queue, domain: this.#split(model, now), demand: this.#domain.ownDemand(model, now) })
    })
  }

  /** @returns when `ticked` is due next, or null when nothing is under way */
  nextTimer (): Millis | null {
    let next = Infinity
    for (const attempt of this.#pool.attempts) next = Math.min(next, attempt.lapsesAt)
    for (const queued of this.#queue.orders) next = Math.min(next, queued.deadline)
    for (const runner of this.#pool.runners) {
      for (const unknown of runner.unknown.values()) next = Math.min(next, this.#freeAt(runner, unknown))
    }
    return Number.isFinite(next) ? next : null
  }

  #apply (event: DispatchEvent, now: Millis): void {
    switch (event.type) {
      case 'runner_assigned': return this.#pool.assign(event.runner, event.failureDomain, now)
      case 'runner_removed': return this.#pool.remove(event.runner)
      case 'runner_leaving': return this.#mark(event.runner, (runner) => { runner.leaving = true })
      case 'runner_unreachable': return this.#mark(event.runner, (runner) => { runner.unreachable = true })
      case 'runner_reported': return this.#reported(event.runner, event.report, now)
      case 'cache_changed': return this.#mark(event.runner, (runner) => runner.prefixes.apply(event.events, event.gap))
      case 'peers_summarised': return this.#domain.update(event.summaries)
      case 'ordered': return this.#ordered(event, now)
      case 'withdrawn': return this.#withdrawn(event.attempt, now)
      case 'progressed': return this.#progressed(event, now)
      case 'entry_lost': return this.#entryLost(event.entry, now)
      case 'ticked': return
      default: assertNever(event)
    }
  }

  #mark (id: RunnerId, change: (runner: Runner) => void): void {
    const runner = this.#pool.runner(id)
    if (runner !== undefined) change(runner)
  }

  #reported (id: RunnerId, report: RunnerReport, now: Millis): void {
    const runner = this.#pool.runner(id)
    if (runner === undefined) return
    runner.take(report, now)
    for (const unknown of runner.unknown.values()) {
      if (this.#ended.has(unknown.attempt)) this.#cancel(id, unknown.attempt, 'the attempt has ended')
    }
  }

  #ordered ({ order }: Ordered, now: Millis): void {
    if (this.#queue.has(order.attempt) || this.#pool.attempt(order.attempt) !== undefined) return
    if (this.#ended.delete(order.attempt)) return this.#refuse(order, Kind.NoRunner, 0, 'the attempt was withdrawn')
    this.#domain.count(order.model, order.promptTokens, now)
    const serving = this.#pool.serving(order)
    if (serving.length === 0) return this.#refuse(order, Kind.NoRunner, defaults.LEAST_RETRY_AFTER, `no runner has ${order.model}`)
    const holding = serving.filter((runner) => runner.couldHold(order))
    if (holding.length === 0) return this.#refuse(order, Kind.NoGroup, 0, 'the prompt is above the memory of one runner')
    const wait = waitTime(holding, workOf(this.#queue.orders), order)
    const service = Math.min(...holding.map((runner) => serviceTime(runner, order)))
    if (service > order.remaining) return this.#refuse(order, Kind.DeadlineInfeasible, 0, `takes ${Math.round(service)} ms, ${Math.round(order.remaining)} ms are left`)
    if (wait + service > order.remaining) return this.#refuse(order, Kind.Overloaded, wait + service - order.remaining, `the wait is ${Math.round(wait)} ms`)
    this.#queue.add(order, now)
  }

  #withdrawn (id: AttemptId, now: Millis): void {
    const queued = this.#queue.remove(id)
    const attempt = this.#pool.leave(id)
    if (queued !== undefined) return
    this.#ended.set(id, now)
    if (attempt !== undefined) this.#cancel(attempt.runner, id, 'withdrawn by the entry node')
  }

  #progressed (event: Progressed, now: Millis): void {
    const attempt = this.#pool.attempt(event.attempt) ?? this.#takeUp(event, now)
    if (attempt === undefined) return
    const ended = event.kind === ProgressKind.Ended || event.kind === ProgressKind.Failed
    const before = attempt.generated
    attempt.progress(event.kind, event.generated, now)
    attempt.lapsesAt = now + this.#settings.silenceLimit
    this.#queue.charge(attempt.order.organisation, 0, attempt.generated - before)
    if (!ended) return
    this.#pool.runner(attempt.runner)?.learn(attempt, event.kind, now)
    this.#pool.leave(attempt.id)
    this.#ended.set(attempt.id, now)
  }

  /** Takes up an attempt that another dispatcher granted. */
  #takeUp (event: Progressed, now: Millis): LiveAttempt | undefined {
    const runner = this.#pool.runner(event.runner)
    if (event.order === null || runner === undefined || this.#ended.has(event.attempt)) return undefined
    const attempt = new LiveAttempt(event.order, event.runner, now, now + this.#settings.silenceLimit, { cachedTokens: 0, aheadTokens: 0 })
    this.#queue.remove(event.attempt)
    this.#pool.enter(attempt)
    return attempt
  }

  #entryLost (entry: NodeId, now: Millis): void {
    for (const { order } of [...this.#queue.orders]) {
      if (order.entry === entry) this.#queue.remove(order.attempt)
    }
    for (const attempt of this.#pool.attempts) {
      if (attempt.entry === entry) attempt.lapsesAt = Math.min(attempt.lapsesAt, now + this.#settings.lostEntryGrace)
    }
  }

  #expire (now: Millis): void {
    for (const [id, at] of this.#ended) {
      if (now - at < defaults.ENDED_MEMORY) break
      this.#ended.delete(id)
    }
    this.#expireAttempts(now)
    this.#expireQueue(now)
    this.#freeUnknown(now)
  }

  #expireAttempts (now: Millis): void {
    for (const attempt of [...this.#pool.attempts]) {
      if (now < attempt.lapsesAt) continue
      this.#pool.leave(attempt.id)
      this.#ended.set(attempt.id, now)
      this.#cancel(attempt.runner, attempt.id, 'no progress was reported in time')
    }
  }

  #expireQueue (now: Millis): void {
    for (const queued of [...this.#queue.orders]) {
      const service = this.#leastService(queued.order)
      if (service !== null && now + service <= queued.deadline && now < queued.deadline) continue
      this.#queue.remove(queued.order.attempt)
      if (service === null) this.#refuse(queued.order, Kind.NoRunner, defaults.LEAST_RETRY_AFTER, `no runner has ${queued.order.model}`)
      else this.#refuse(queued.order, Kind.Overloaded, this.#drainTime(queued.order), 'the deadline cannot be met any more')
    }
  }

  #leastService (order: DispatchOrder): Millis | null {
    const serving = this.#pool.serving(order)
    return serving.length === 0 ? null : Math.min(...serving.map((runner) => serviceTime(runner, order)))
  }

  #drainTime (order: DispatchOrder): Millis {
    return waitTime(this.#pool.serving(order), workOf(this.#queue.orders), order)
  }

  #freeAt (runner: Runner, unknown: { readonly seenAt: Millis, readonly startedAt: Millis }): Millis {
    const inherited = unknown.startedAt <= runner.assignedAt
    if (!inherited) return unknown.seenAt + this.#settings.foreignGrace
    return Math.max(runner.assignedAt, unknown.seenAt) + this.#settings.inheritedGrace
  }

  #freeUnknown (now: Millis): void {
    for (const runner of this.#pool.runners) {
      for (const unknown of [...runner.unknown.values()]) {
        if (this.#ended.has(unknown.attempt) || now < this.#freeAt(runner, unknown)) continue
        this.#ended.set(unknown.attempt, now)
        this.#cancel(runner.id, unknown.attempt, 'no entry node reported the attempt')
      }
    }
  }

  #dispatch (now: Millis): void {
    if (this.#queue.size === 0) return
    const contexts = new Map<string, RoutingContext>()
    let scanned = 0
    for (const queued of this.#queue.ranked(now)) {
      if (++scanned > defaults.SCAN_LIMIT) return
      const serving = this.#pool.serving(queued.order)
      if (serving.length === 0) continue
      const context = contexts.get(queued.order.model) ?? this.#context(queued.order.model, now)
      contexts.set(queued.order.model, context)
      const choice = this.#policy.choose(queued, serving, context)
      if (choice !== null) this.#grant(queued, choice, now)
      else this.#recall(queued, serving, context)
    }
  }

  #recall (queued: QueuedOrder, serving: readonly Runner[], context: RoutingContext): void {
    for (const id of this.#policy.recalls(queued, serving, context)) {
      const attempt = this.#pool.attempt(id)
      if (attempt === undefined || attempt.recalled) continue
      attempt.recalled = true
      this.#effects.push({ type: 'recall', attempt: id, entry: attempt.entry, reason: 'makes way for short prompts' })
    }
  }

  #context (model: string, now: Millis): RoutingContext {
    return { now, ...this.#split(model, now) }
  }

  #split (model: string, now: Millis): DomainModel {
    const runners = this.#usable(model)
    const prefillRate = runners.reduce((total, runner) => total + runner.prefillRate, 0)
    return this.#domain.split(model, { runnerIds: runners.map((runner) => runner.id), prefillRate }, 0, now)
  }

  #usable (model: string): readonly Runner[] {
    return [...this.#pool.runners].filter((runner) => runner.isUsable && runner.report?.model === model)
  }

  #grant (queued: QueuedOrder, choice: RunnerChoice, now: Millis): void {
    const { order } = queued
    const { runner } = choice
    this.#queue.remove(order.attempt)
    this.#queue.charge(order.organisation, order.promptTokens, 0)
    const load = { cachedTokens: runner.cachedTokens(order), aheadTokens: runner.pendingPrefill }
    const validFor = this.#settings.grantValidity
    this.#pool.enter(new LiveAttempt(order, runner.id, now, now + validFor + defaults.GRANT_MARGIN, load))
    runner.prefixes.expect(order.prefix)
    this.#effects.push({
      type: 'grant',
      grant: { attempt: order.attempt, entry: order.entry, runner: runner.id, validFor, priority: this.#policy.priority(order), reason: choice.reason, group: [] }
    })
  }

  #refuse (order: DispatchOrder, kind: OutcomeKind, wait: Millis, reason: string): void {
    const retryAfter: Tokens = Math.round(Math.min(defaults.MAX_RETRY_AFTER, Math.max(defaults.LEAST_RETRY_AFTER, wait)))
    this.#effects.push({ type: 'refuse', attempt: order.attempt, entry: order.entry, kind, retryAfter, reason })
  }

  #cancel (runner: RunnerId, attempt: AttemptId, reason: string): void {
    this.#effects.push({ type: 'cancel_on_runner', runner, attempt, reason })
  }
}
