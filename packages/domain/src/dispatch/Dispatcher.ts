/** Dispatches orders to the runners of one node: queues, grants, refuses, recalls and cancels attempts. */
import type { AttemptId, Millis, NodeId, RunnerId } from '../types.js'
import { assertNever, OutcomeKind } from '../types.js'
import { AttemptLedger } from './AttemptLedger.js'
import type { LedgerObserver } from './AttemptLedger.js'
import { checkDeadline, boundRetryAfter, estimateOrder, expectedWait, minServiceTime } from './admission.js'
import type { Refusal } from './admission.js'
import * as defaults from './constants.js'
import { DispatchQueue } from './DispatchQueue.js'
import type { QueuedOrder, QueueOptions } from './DispatchQueue.js'
import { FailureDomainView } from './FailureDomainView.js'
import { LengthAware } from './LengthAware.js'
import { GroupCoordinator, groupTokens } from './groups/GroupCoordinator.js'
import type { GroupCoordinatorHost } from './groups/GroupCoordinator.js'
import { reserveMembers } from './groups/reserveMembers.js'
import type { SequenceGroup } from './groups/SequenceGroup.js'
import type { GroupEffect, GroupEvent, GroupMember } from './groups/types.js'
import { isLongPrompt, lengthClassOf } from './lengthClasses.js'
import { LiveAttempt } from './LiveAttempt.js'
import type { OrphanGracePeriods } from './orphans.js'
import { EstimateCorrection } from './EstimateCorrection.js'
import type { RoutingContext, RoutingPolicy, RunnerChoice } from './RoutingPolicy.js'
import type { Runner } from './Runner.js'
import { RunnerPool } from './RunnerPool.js'
import { summarise } from './summaries.js'
import type { DispatchEffect, DispatchEvent, DispatchOrder, DispatchSummary, RunnerReport } from './types.js'

/** Settings of a dispatcher; omitted ones take their default. */
export interface DispatcherOptions extends Partial<OrphanGracePeriods> {
  readonly node: NodeId
  readonly policy?: RoutingPolicy
  readonly queue?: QueueOptions
  /** Time within which the entry node must send the attempt to the granted runner. */
  readonly grantValidity?: Millis
  /** Time without a progress report after which an attempt counts as abandoned by its entry node. */
  readonly progressTimeout?: Millis
  /** Time for which the attempts of a lost entry node are kept. */
  readonly lostEntryGrace?: Millis
}

type Settings = Required<Omit<DispatcherOptions, 'policy' | 'queue' | 'node'>>

/**
 * Turns events into grants, refusals, recalls and cancellations.
 *
 * Deterministic: the same events at the same times give the same effects.
 */
export class Dispatcher {
  readonly node: NodeId
  readonly #policy: RoutingPolicy
  readonly #settings: Settings
  readonly #pool = new RunnerPool()
  readonly #queue: DispatchQueue
  readonly #domainView = new FailureDomainView()
  readonly #estimateCorrection = new EstimateCorrection()
  readonly #ledger: AttemptLedger
  readonly #groups: GroupCoordinator
  #effects: DispatchEffect[] = []

  constructor (options: DispatcherOptions) {
    this.node = options.node
    this.#policy = options.policy ?? new LengthAware()
    this.#queue = new DispatchQueue(options.queue)
    this.#settings = {
      grantValidity: options.grantValidity ?? defaults.GRANT_VALIDITY,
      progressTimeout: options.progressTimeout ?? defaults.PROGRESS_TIMEOUT,
      lostEntryGrace: options.lostEntryGrace ?? defaults.LOST_ENTRY_GRACE,
      inheritedGrace: options.inheritedGrace ?? defaults.INHERITED_GRACE,
      foreignGrace: options.foreignGrace ?? defaults.FOREIGN_GRACE
    }
    this.#ledger = new AttemptLedger(this.#pool, this.#settings, this.#ledgerObserver())
    this.#groups = new GroupCoordinator(this.#groupCoordinatorHost())
  }

  /** Number of orders that wait for a runner. */
  get queueLength (): number {
    return this.#queue.size
  }

  get grantedAttempts (): readonly AttemptId[] {
    return [...this.#pool.attempts].map((attempt) => attempt.id)
  }

  /** @returns the runners of this dispatcher that have memory reserved for the attempt of a sequence group */
  reservingRunners (attempt: AttemptId): readonly RunnerId[] {
    return this.#pool.reserving(attempt).map((runner) => runner.id)
  }

  /**
   * Applies an event and decides the effects.
   *
   * @param event - event of a dispatcher or of a sequence group
   * @param now - time of the event, in milliseconds
   * @returns the effects, in the order in which the caller must execute them
   */
  handle (event: DispatchEvent | GroupEvent, now: Millis): readonly DispatchEffect[] {
    this.#effects = []
    if (isGroupEvent(event)) this.#groups.handle(event, now)
    else this.#apply(event, now)
    this.#expire(now)
    this.#dispatch(now)
    return this.#effects
  }

  /** @returns the queued messages to other dispatchers and clears them; to be called after each `handle` */
  drainGroupEffects (): readonly GroupEffect[] {
    return this.#groups.drain()
  }

  /** @returns the state that is gossiped to other nodes, one record for each model */
  summaries (now: Millis): readonly DispatchSummary[] {
    return this.#pool.models().map((model) => summarise({
      node: this.node,
      model,
      runners: this.#usableRunners(model),
      waiting: [...this.#queue.orders].filter(({ order }) => order.model === model),
      policy: this.#policy,
      context: this.#context(model, now),
      demand: this.#domainView.ownDemand(model, now)
    }))
  }

  /** @returns when the next `ticked` event is due, or null if no timer is set */
  nextTimer (): Millis | null {
    let next = Math.min(this.#ledger.nextTimer, this.#groups.nextTimer)
    for (const queued of this.#queue.orders) next = Math.min(next, this.#latestStartAt(queued))
    return Number.isFinite(next) ? next : null
  }

  #apply (event: DispatchEvent, now: Millis): void {
    switch (event.type) {
      case 'runner_assigned': return this.#pool.addRunner(event.runner, event.failureDomain, now)
      case 'runner_removed': return this.#pool.removeRunner(event.runner)
      case 'runner_leaving': return this.#updateRunner(event.runner, (runner) => { runner.isLeaving = true })
      case 'runner_draining': return this.#updateRunner(event.runner, (runner) => { runner.isDraining = event.draining })
      case 'runner_unreachable': return this.#updateRunner(event.runner, (runner) => { runner.isUnreachable = true })
      case 'runner_reported': return this.#reported(event.runner, event.report, now)
      case 'cache_changed': return this.#updateRunner(event.runner, (runner) => runner.prefixes.apply(event.events, event.gap))
      case 'peers_summarised': return this.#peersSummarised(event.summaries, now)
      case 'ordered': return this.#ordered(event.order, now)
      case 'withdrawn': return this.#withdrawn(event.attempt, now)
      case 'progressed': return this.#ledger.progressed(event, now)
      case 'entry_lost': return this.#entryLost(event.entry, now)
      case 'ticked': return
      default: assertNever(event)
    }
  }

  #updateRunner (id: RunnerId, update: (runner: Runner) => void): void {
    const runner = this.#pool.runner(id)
    if (runner !== undefined) update(runner)
  }

  #reported (id: RunnerId, report: RunnerReport, now: Millis): void {
    const runner = this.#pool.runner(id)
    if (runner === undefined) return
    this.#ledger.reported(runner, report, now)
  }

  #peersSummarised (summaries: readonly DispatchSummary[], now: Millis): void {
    this.#domainView.updatePeers(summaries)
    this.#redirect(now)
  }

  /** Recalls one waiting long order if another dispatcher would start it earlier, so that its entry node asks that one. */
  #redirect (now: Millis): void {
    for (const queued of this.#queue.ranked(now)) {
      const { order, redirected } = queued
      if (redirected || !isLongPrompt(order.promptTokens)) continue
      const ownWait = expectedWait(order, { policy: this.#policy, context: this.#context(order.model, now), serving: this.#pool.serving(order), ahead: this.#queue.rankedBefore(queued, now) })
      if (this.#domainView.minQueueDelay(order.model, lengthClassOf(order.promptTokens)) + defaults.REDIRECT_MIN_GAIN >= ownWait) continue
      queued.redirected = true
      this.#effects.push({ type: 'recall', attempt: order.attempt, entry: order.entry, reason: 'another dispatcher would start it earlier' })
      return
    }
  }

  #ordered (order: DispatchOrder, now: Millis): void {
    if (this.#queue.has(order.attempt) || this.#groups.has(order.attempt) || this.#pool.attempt(order.attempt) !== undefined) return
    if (this.#ledger.hasEnded(order.attempt)) return this.#refuse(order, { kind: OutcomeKind.NoRunner, retryAfter: 0, reason: 'the attempt has ended' })
    this.#domainView.recordOrder(order.model, order.promptTokens, now)
    if (this.#needsGroup(order)) return this.#groups.start(order, now)
    const queued = this.#queue.add(order, now)
    const refusal = this.#checkAdmission(queued, now)
    if (refusal === null) return
    this.#queue.remove(order.attempt)
    this.#refuse(order, refusal)
  }

  #checkAdmission (queued: QueuedOrder, now: Millis): Refusal | null {
    const { order } = queued
    const serving = this.#pool.serving(order)
    if (serving.length === 0) return { kind: OutcomeKind.NoRunner, retryAfter: defaults.MIN_RETRY_AFTER, reason: `no runner has ${order.model}` }
    const fitting = serving.filter((runner) => runner.fitsWhenEmpty(order))
    if (fitting.length === 0) return { kind: OutcomeKind.NoGroup, retryAfter: 0, reason: 'the prompt is above the memory of all runners of the failure domain' }
    const ahead = this.#queue.rankedBefore(queued, now)
    const expected = estimateOrder(order, { policy: this.#policy, context: this.#context(order.model, now), serving: fitting, ahead })
    queued.expected = expected.wait + expected.service
    return checkDeadline(order, expected, this.#estimateCorrection.factor(now))
  }

  #withdrawn (id: AttemptId, now: Millis): void {
    this.#queue.remove(id)
    this.#groups.abandon(id)
    this.#ledger.withdrawn(id, now)
  }

  #needsGroup (order: DispatchOrder): boolean {
    const serving = this.#pool.serving(order)
    if (serving.length === 0 || serving.some((runner) => runner.fitsWhenEmpty(order))) return false
    const peers = this.#domainView.peersWith(order.model).reduce((sum, peer) => sum + peer.runners * peer.largestPrompt, 0)
    return serving.reduce((sum, runner) => sum + runner.totalTokens, peers) >= groupTokens(order)
  }

  #ledgerObserver (): LedgerObserver {
    return {
      tokensGenerated: ({ order }, tokens) => this.#queue.charge(order.organisation, 0, tokens),
      finished: ({ load }, now) => this.#estimateCorrection.learn(load.expected, now - load.queuedAt, now),
      adopted: ({ id }) => { this.#queue.remove(id) },
      cancel: (runner, attempt, reason) => { this.#effects.push({ type: 'cancel_on_runner', runner, attempt, reason }) }
    }
  }

  #groupCoordinatorHost (): GroupCoordinatorHost {
    return {
      node: this.node,
      dispatchers: (order) => [this.node, ...this.#domainView.peersWith(order.model).flatMap((peer) => peer.node ?? [])],
      reserve: (request, now) => reserveMembers(request, this.#pool.serving(request), now),
      release: (attempt, round) => this.#ledger.releaseMembers(attempt, round),
      ready: (group, members, now) => this.#grantGroup(group, members, now),
      failed: ({ order }, now) => this.#refuse(order, { kind: OutcomeKind.NoGroup, retryAfter: this.#queueDrainTime(order, now), reason: 'no group of runners could be had in time' }),
      serviceTime: (order) => {
        const serving = this.#pool.serving(order)
        return serving.length === 0 ? 0 : minServiceTime(order, serving)
      }
    }
  }

  /** Grants the last member of a group: it generates the answer, and reads the KV cache of all members' segments. */
  #grantGroup ({ order, startedAt }: SequenceGroup, members: readonly GroupMember[], now: Millis): void {
    const runner = members.at(-1)?.runner
    if (runner === undefined) return
    this.#queue.charge(order.organisation, order.promptTokens, 0)
    const reason = `group of ${members.length} runners, reserved after ${Math.round(now - startedAt)} ms`
    const validFor = this.#settings.grantValidity
    this.#effects.push({ type: 'grant', grant: { attempt: order.attempt, entry: order.entry, runner, validFor, priority: this.#policy.priority(order), reason, group: members.map((member) => member.runner), groupTokens: members.map((member) => member.tokens) } })
  }

  #entryLost (entry: NodeId, now: Millis): void {
    for (const { order } of [...this.#queue.orders]) {
      if (order.entry !== entry) continue
      this.#queue.remove(order.attempt)
      // The entry node may only be paused; the refusal informs it after it resumes that its order left the queue.
      this.#refuse(order, { kind: OutcomeKind.NoRunner, retryAfter: 0, reason: 'the entry node could not be reached' })
    }
    for (const order of this.#groups.orders) if (order.entry === entry) this.#groups.abandon(order.attempt)
    this.#ledger.entryLost(entry, now)
  }

  #expire (now: Millis): void {
    this.#ledger.expire(now)
    this.#groups.resumeDue(now)
    this.#expireQueue(now)
  }

  #expireQueue (now: Millis): void {
    for (const queued of [...this.#queue.orders]) {
      if (now < this.#latestStartAt(queued)) continue
      this.#queue.remove(queued.order.attempt)
      this.#refuse(queued.order, this.#lateRefusal(queued.order, now))
    }
  }

  /** Latest start that meets the deadline of a waiting order; 0 if no runner can serve it, so that it is refused immediately. */
  #latestStartAt ({ order, deadline }: QueuedOrder): Millis {
    const serving = this.#pool.serving(order)
    return serving.length === 0 ? 0 : deadline - minServiceTime(order, serving)
  }

  #lateRefusal (order: DispatchOrder, now: Millis): Refusal {
    const serving = this.#pool.serving(order)
    if (serving.length === 0) return { kind: OutcomeKind.NoRunner, retryAfter: defaults.MIN_RETRY_AFTER, reason: `no runner has ${order.model} any more` }
    return { kind: OutcomeKind.Overloaded, retryAfter: this.#queueDrainTime(order, now), reason: 'the deadline cannot be met any more' }
  }

  /** Expected wait of a new order behind all waiting ones. */
  #queueDrainTime (order: DispatchOrder, now: Millis): Millis {
    const serving = this.#pool.serving(order)
    if (serving.length === 0) return defaults.MIN_RETRY_AFTER
    return expectedWait(order, { policy: this.#policy, context: this.#context(order.model, now), serving, ahead: [...this.#queue.orders] })
  }

  #dispatch (now: Millis): void {
    if (this.#queue.size === 0) return
    const contexts = new Map<string, RoutingContext>()
    for (const queued of this.#queue.ranked(now).slice(0, defaults.SCAN_LIMIT)) {
      const isLong = isLongPrompt(queued.order.promptTokens)
      const serving = this.#pool.serving(queued.order).filter((runner) => !runner.reservations.blocksStart(isLong, now))
      if (serving.length === 0) continue
      const context = contexts.get(queued.order.model) ?? this.#context(queued.order.model, now)
      contexts.set(queued.order.model, context)
      this.#recall(queued.order, serving, context)
      const choice = this.#policy.choose(queued, serving, context)
      if (choice !== null) this.#grant(queued, choice, now)
    }
  }

  #recall (order: DispatchOrder, serving: readonly Runner[], context: RoutingContext): void {
    for (const id of this.#policy.attemptsToRecall(order, serving, context)) {
      const attempt = this.#pool.attempt(id)
      if (attempt === undefined || attempt.isRecalled) continue
      attempt.isRecalled = true
      this.#effects.push({ type: 'recall', attempt: id, entry: attempt.entry, reason: 'makes way for short prompts' })
    }
  }

  #context (model: string, now: Millis): RoutingContext {
    const runners = this.#usableRunners(model)
    const prefillRate = runners.reduce((total, runner) => total + runner.prefillRate, 0)
    const own = { node: this.node, runnerIds: runners.map((runner) => runner.id), prefillRate }
    return { now, bands: this.#domainView.bands(model, own, this.#policy, now) }
  }

  #usableRunners (model: string): readonly Runner[] {
    return [...this.#pool.runners].filter((runner) => runner.isUsable && runner.report?.model === model)
  }

  #grant (queued: QueuedOrder, { runner, reason }: RunnerChoice, now: Millis): void {
    const { order } = queued
    const validFor = this.#settings.grantValidity
    const load = { cachedTokens: runner.cachedTokens(order), ...runner.pendingAheadAndBehind(lengthClassOf(order.promptTokens), now), queuedAt: queued.queuedAt, expected: queued.expected }
    this.#queue.remove(order.attempt)
    this.#queue.charge(order.organisation, order.promptTokens, 0)
    this.#pool.addAttempt(new LiveAttempt(order, runner.id, now, now + validFor + defaults.GRANT_MARGIN, load))
    runner.prefixes.addBlocks(order.prefix)
    const priority = this.#policy.priority(order)
    this.#effects.push({ type: 'grant', grant: { attempt: order.attempt, entry: order.entry, runner: runner.id, validFor, priority, reason, group: [] } })
  }

  #refuse (order: DispatchOrder, { kind, retryAfter, reason }: Refusal): void {
    this.#effects.push({ type: 'refuse', attempt: order.attempt, entry: order.entry, kind, retryAfter: boundRetryAfter(retryAfter), reason })
  }
}

const isGroupEvent = (event: DispatchEvent | GroupEvent): event is GroupEvent =>
  event.type === 'reservation_requested' || event.type === 'reservation_answered' || event.type === 'reservation_released'
