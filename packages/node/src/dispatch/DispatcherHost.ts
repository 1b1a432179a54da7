/** Hosts the dispatcher aggregate in an actor: serialises its events and carries out its effects. */
import { assertNever, OutcomeKind, ProgressKind } from '@bluebellhill/domain'
import type { AttemptId, DispatchEffect, DispatchEvent, DispatchOrder, DispatchSummary, Dispatcher, Grant, GroupEffect, GroupEvent, Millis, NodeId, RequestId, RunnerId } from '@bluebellhill/domain'
import { EventKind } from '@bluebellhill/protocol'
import { dispatch, spawn, stop } from 'nact'
import type { Ref } from 'nact'

import { monotonicNow } from '../clock/monotonic.js'
import type { Metrics } from '../metrics/index.js'
import type { TimeLine } from '../timeline/index.js'

type Effect<Type extends DispatchEffect['type']> = Extract<DispatchEffect, { type: Type }>

/** When to come back after an unforeseen error, in milliseconds. */
const FAILED_RETRY_AFTER: Millis = 1_000

/** The dispatcher's answer to an order. */
export type OrderReply =
  | { readonly type: 'granted', readonly grant: Grant }
  | { readonly type: 'refused', readonly kind: OutcomeKind, readonly retryAfter: Millis, readonly reason: string }

interface PendingOrder {
  readonly order: DispatchOrder
  readonly receivedAt: Millis
  readonly settle: (reply: OrderReply) => void
}

interface GrantedOrder {
  readonly order: DispatchOrder
  readonly runner: RunnerId
}

/** Events of the dispatcher and of the groups that it puts together. */
type HostEvent = DispatchEvent | GroupEvent

/** What the dispatcher reaches outside the node. */
export abstract class DispatchReach {
  /** Stops an attempt on a runner. Never rejects. */
  abstract cancel (runner: RunnerId, attempt: AttemptId): Promise<void>

  /** Carries a message about a sequence group to another dispatcher. Never rejects. */
  abstract group (effect: GroupEffect): Promise<void>

  /** Tells an entry node that an attempt has to make way. Never rejects. */
  abstract recall (entry: NodeId, attempt: AttemptId, reason: string): Promise<void>
}

/** The node's dispatcher. */
export class DispatcherHost {
  readonly #dispatcher: Dispatcher
  readonly #reach: DispatchReach
  readonly #timeLine: TimeLine
  readonly #metrics: Metrics
  readonly #actor: Ref<HostEvent>
  readonly #pending = new Map<AttemptId, PendingOrder>()
  /** Orders that were granted here and are not over. */
  readonly #granted = new Map<AttemptId, GrantedOrder>()
  #timer: NodeJS.Timeout | null = null

  constructor (dispatcher: Dispatcher, reach: DispatchReach, timeLine: TimeLine, metrics: Metrics, parent: Ref<unknown>) {
    this.#dispatcher = dispatcher
    this.#reach = reach
    this.#timeLine = timeLine
    this.#metrics = metrics
    this.#actor = spawn(parent as never, (_state: unknown, event: HostEvent) => this.#handle(event), 'dispatcher') as Ref<HostEvent>
  }

  /** Hands an event to the dispatcher's actor. */
  tell (event: HostEvent): void {
    dispatch(this.#actor as never, event)
  }

  /**
   * Places an order.
   *
   * @param order - what is asked for
   * @param signal - aborted to withdraw the order, also after its grant
   * @returns the grant or the refusal; never settles once withdrawn
   */
  acquire (order: DispatchOrder, signal: AbortSignal): Promise<OrderReply> {
    return new Promise((resolve) => {
      this.#pending.set(order.attempt, { order, receivedAt: monotonicNow(), settle: resolve })
      signal.addEventListener('abort', () => this.#withdraw(order.attempt), { once: true })
      this.#timeLine.record(EventKind.OrderQueued, subjectOf(order), '', { entry: order.entry, ahead: this.#pending.size - 1, promptTokens: order.promptTokens })
      this.tell({ type: 'ordered', order })
    })
  }

  /** The state that is gossiped to the entry nodes. */
  summaries (): readonly DispatchSummary[] {
    return this.#dispatcher.summaries(monotonicNow())
  }

  /** Orders that wait. */
  get queued (): number {
    return this.#dispatcher.queueLength
  }

  /** The members no longer reach an entry node. */
  entryLost (entry: NodeId): void {
    this.tell({ type: 'entry_lost', entry })
  }

  dispose (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    stop(this.#actor as never)
  }

  #withdraw (attempt: AttemptId): void {
    this.#pending.delete(attempt)
    this.tell({ type: 'withdrawn', attempt })
  }

  #handle (event: HostEvent): void {
    try {
      this.#decide(event)
    } catch (error) {
      this.#failed(event, error)
    }
    this.#forget(event)
    this.#setTimer()
  }

  #decide (event: HostEvent): void {
    const withdrawn = event.type === 'withdrawn'
    for (const effect of this.#dispatcher.handle(event, monotonicNow())) this.#perform(effect, withdrawn)
    for (const effect of this.#dispatcher.drainGroupEffects()) void this.#reach.group(effect)
  }

  /** Goes on after an unforeseen error: an actor that threw would never answer again. */
  #failed (event: HostEvent, error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error)
    this.#timeLine.record(EventKind.PartFailed, {}, reason, { part: 'dispatcher', during: event.type })
    if (event.type !== 'ordered') return
    const { attempt, entry } = event.order
    this.#refuse({ type: 'refuse', attempt, entry, kind: OutcomeKind.Internal, retryAfter: FAILED_RETRY_AFTER, reason })
    this.tell({ type: 'withdrawn', attempt })
  }

  /** Drops the grants that the event ended. */
  #forget (event: HostEvent): void {
    if (event.type === 'withdrawn' || (event.type === 'progressed' && isOver(event.kind))) this.#granted.delete(event.attempt)
    if (event.type !== 'runner_removed') return
    for (const [attempt, { runner }] of this.#granted) {
      if (runner === event.runner) this.#granted.delete(attempt)
    }
  }

  #perform (effect: DispatchEffect, withdrawn: boolean): void {
    switch (effect.type) {
      case 'grant': return this.#grant(effect.grant)
      case 'refuse': return this.#refuse(effect)
      case 'cancel_on_runner': return this.#cancel(effect, withdrawn)
      case 'recall': return this.#recall(effect)
      default: return assertNever(effect)
    }
  }

  #grant (grant: Grant): void {
    const pending = this.#pending.get(grant.attempt)
    if (pending === undefined) return this.tell({ type: 'withdrawn', attempt: grant.attempt })
    this.#pending.delete(grant.attempt)
    const queueDelay = monotonicNow() - pending.receivedAt
    this.#metrics.countOrder('granted')
    this.#metrics.recordQueueDelay(pending.order.promptTokens, queueDelay)
    this.#timeLine.record(EventKind.OrderGranted, { ...subjectOf(pending.order), runner: grant.runner }, grant.reason, {
      entry: grant.entry,
      queueDelay,
      validFor: grant.validFor,
      priority: grant.priority,
      group: grant.group
    })
    this.#granted.set(grant.attempt, { order: pending.order, runner: grant.runner })
    pending.settle({ type: 'granted', grant })
  }

  #refuse (effect: Effect<'refuse'>): void {
    const pending = this.#pending.get(effect.attempt)
    if (pending === undefined) return
    this.#pending.delete(effect.attempt)
    this.#metrics.countOrder(effect.kind)
    this.#timeLine.record(EventKind.OrderRefused, subjectOf(pending.order), effect.reason, { entry: effect.entry, code: effect.kind, retryAfter: effect.retryAfter })
    pending.settle({ type: 'refused', kind: effect.kind, retryAfter: effect.retryAfter, reason: effect.reason })
  }

  #cancel (effect: Effect<'cancel_on_runner'>, withdrawn: boolean): void {
    this.#recordCancel(effect, withdrawn)
    this.#granted.delete(effect.attempt)
    void this.#reach.cancel(effect.runner, effect.attempt)
  }

  /** Tells apart what the entry node withdrew, grants that lapsed, and attempts that nobody here granted. */
  #recordCancel ({ attempt, runner, reason }: Effect<'cancel_on_runner'>, withdrawn: boolean): void {
    const order = this.#granted.get(attempt)?.order
    const subject = { request: requestOf(attempt), attempt, organisation: order?.organisation, runner }
    if (withdrawn) {
      this.#timeLine.record(EventKind.AttemptCancelled, subject, reason, { generated: 0 })
    } else if (order !== undefined) {
      this.#metrics.countExpiredGrant()
      this.#timeLine.record(EventKind.GrantLapsed, subject, reason, { entry: order.entry })
    } else {
      this.#metrics.countFreedOrphan()
      this.#timeLine.record(EventKind.OrphanFreed, subject, reason, { heldTokens: null })
    }
  }

  #recall (effect: Effect<'recall'>): void {
    const granted = this.#granted.get(effect.attempt)
    const subject = { request: requestOf(effect.attempt), attempt: effect.attempt, organisation: granted?.order.organisation, runner: granted?.runner }
    this.#timeLine.record(EventKind.AttemptRecalled, subject, effect.reason, { dispatcher: this.#timeLine.node })
    void this.#reach.recall(effect.entry, effect.attempt, effect.reason)
  }

  #setTimer (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    const at = this.#dispatcher.nextTimer()
    if (at === null) return
    this.#timer = setTimeout(() => this.tell({ type: 'ticked' }), Math.max(1, Math.ceil(at - monotonicNow())))
  }
}

const isOver = (kind: ProgressKind): boolean => kind === ProgressKind.Ended || kind === ProgressKind.Failed

/** An attempt's id begins with that of its request. */
const requestOf = (attempt: AttemptId): RequestId => attempt.slice(0, Math.max(0, attempt.lastIndexOf('.'))) as RequestId

const subjectOf = (order: DispatchOrder): Pick<DispatchOrder, 'request' | 'attempt' | 'organisation'> =>
  ({ request: order.request, attempt: order.attempt, organisation: order.organisation })
