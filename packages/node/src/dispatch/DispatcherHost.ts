/** Runs the dispatcher state machine in an actor: serialises its events and performs its effects. */
import { assertNever, OutcomeKind, ProgressKind } from '@bluebellhill/domain'
import type { AttemptId, DispatchEffect, DispatchEvent, DispatchOrder, DispatchSummary, Dispatcher, Grant, GroupEffect, GroupEvent, Millis, NodeId, RequestId, RunnerId } from '@bluebellhill/domain'
import { EventKind } from '@bluebellhill/protocol'
import { dispatch, spawn, stop } from 'nact'
import type { Ref } from 'nact'

import { monotonicNow } from '../clock/monotonic.js'
import type { Metrics } from '../metrics/index.js'
import type { TimeLine } from '../timeline/index.js'

type Effect<Type extends DispatchEffect['type']> = Extract<DispatchEffect, { type: Type }>

/** Retry delay sent with the refusal after an unexpected error, in milliseconds. */
const INTERNAL_ERROR_RETRY_AFTER: Millis = 1_000

/** The dispatcher's reply to an order. */
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

/** Events that the actor processes: those of the dispatcher and of the sequence groups that it coordinates. */
type HostEvent = DispatchEvent | GroupEvent

/** Outgoing calls of the dispatcher to runners, other dispatchers and entry nodes. */
export abstract class DispatchTransport {
  /** Stops an attempt on a runner. The promise never rejects. */
  abstract cancelAttempt (runner: RunnerId, attempt: AttemptId): Promise<void>

  /** Sends a message about a sequence group to another dispatcher. The promise never rejects. */
  abstract sendGroupMessage (effect: GroupEffect): Promise<void>

  /** Notifies an entry node that an attempt must give up its runner. The promise never rejects. */
  abstract recallAttempt (entry: NodeId, attempt: AttemptId, reason: string): Promise<void>
}

/** Actor of the node's dispatcher: accepts orders, records them in the time line and metrics, and performs the dispatcher's effects. */
export class DispatcherHost {
  readonly #dispatcher: Dispatcher
  readonly #transport: DispatchTransport
  readonly #timeLine: TimeLine
  readonly #metrics: Metrics
  readonly #actor: Ref<HostEvent>
  readonly #pending = new Map<AttemptId, PendingOrder>()
  /** Orders that this dispatcher granted and whose attempts have not ended. */
  readonly #granted = new Map<AttemptId, GrantedOrder>()
  #timer: NodeJS.Timeout | null = null

  constructor (dispatcher: Dispatcher, transport: DispatchTransport, timeLine: TimeLine, metrics: Metrics, parent: Ref<unknown>) {
    this.#dispatcher = dispatcher
    this.#transport = transport
    this.#timeLine = timeLine
    this.#metrics = metrics
    this.#actor = spawn(parent as never, (_state: unknown, event: HostEvent) => this.#handle(event), 'dispatcher') as Ref<HostEvent>
  }

  /** Posts an event to the mailbox of the dispatcher's actor. */
  post (event: HostEvent): void {
    dispatch(this.#actor as never, event)
  }

  /**
   * Queues an order and waits for the dispatcher's decision.
   *
   * @param order - the dispatch order
   * @param signal - withdraws the order when aborted, also after the grant
   * @returns the grant or the refusal; the promise stays pending if the order is withdrawn first
   */
  acquire (order: DispatchOrder, signal: AbortSignal): Promise<OrderReply> {
    return new Promise((resolve) => {
      this.#pending.set(order.attempt, { order, receivedAt: monotonicNow(), settle: resolve })
      signal.addEventListener('abort', () => this.#withdraw(order.attempt), { once: true })
      this.#timeLine.record(EventKind.OrderQueued, subjectOf(order), '', { entry: order.entry, ahead: this.#pending.size - 1, promptTokens: order.promptTokens })
      this.post({ type: 'ordered', order })
    })
  }

  /** Returns one summary of the dispatcher's state for each model; the summaries are gossiped to the entry nodes. */
  summaries (): readonly DispatchSummary[] {
    return this.#dispatcher.summaries(monotonicNow())
  }

  /** Number of orders that wait for a runner. */
  get queuedOrders (): number {
    return this.#dispatcher.queueLength
  }

  /** Reports to the dispatcher that an entry node left or became unreachable. */
  entryLost (entry: NodeId): void {
    this.post({ type: 'entry_lost', entry })
  }

  dispose (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    stop(this.#actor as never)
  }

  #withdraw (attempt: AttemptId): void {
    this.#pending.delete(attempt)
    this.post({ type: 'withdrawn', attempt })
  }

  #handle (event: HostEvent): void {
    try {
      this.#applyEvent(event)
    } catch (error) {
      this.#handleError(event, error)
    }
    this.#removeEndedGrants(event)
    this.#setTimer()
  }

  #applyEvent (event: HostEvent): void {
    const withdrawn = event.type === 'withdrawn'
    for (const effect of this.#dispatcher.handle(event, monotonicNow())) this.#perform(effect, withdrawn)
    for (const effect of this.#dispatcher.drainGroupEffects()) void this.#transport.sendGroupMessage(effect)
  }

  /** Records an unexpected error and refuses the order that caused it. An actor that throws would never process another event. */
  #handleError (event: HostEvent, error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error)
    this.#timeLine.record(EventKind.PartFailed, {}, reason, { part: 'dispatcher', during: event.type })
    if (event.type !== 'ordered') return
    const { attempt, entry } = event.order
    this.#refuse({ type: 'refuse', attempt, entry, kind: OutcomeKind.Internal, retryAfter: INTERNAL_ERROR_RETRY_AFTER, reason })
    this.post({ type: 'withdrawn', attempt })
  }

  /** Removes the granted orders whose attempts or runners the event ended. */
  #removeEndedGrants (event: HostEvent): void {
    if (event.type === 'withdrawn' || (event.type === 'progressed' && isFinalProgress(event.kind))) this.#granted.delete(event.attempt)
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
    if (pending === undefined) return this.post({ type: 'withdrawn', attempt: grant.attempt })
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
    void this.#transport.cancelAttempt(effect.runner, effect.attempt)
  }

  /** Records why an attempt is cancelled: the entry node withdrew it, its grant expired, or this dispatcher never granted it (orphan). */
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
    void this.#transport.recallAttempt(effect.entry, effect.attempt, effect.reason)
  }

  #setTimer (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    const at = this.#dispatcher.nextTimer()
    if (at === null) return
    this.#timer = setTimeout(() => this.post({ type: 'ticked' }), Math.max(1, Math.ceil(at - monotonicNow())))
  }
}

const isFinalProgress = (kind: ProgressKind): boolean => kind === ProgressKind.Ended || kind === ProgressKind.Failed

/** Extracts the request id, which is the attempt id up to its last dot. */
const requestOf = (attempt: AttemptId): RequestId => attempt.slice(0, Math.max(0, attempt.lastIndexOf('.'))) as RequestId

const subjectOf = (order: DispatchOrder): Pick<DispatchOrder, 'request' | 'attempt' | 'organisation'> =>
  ({ request: order.request, attempt: order.attempt, organisation: order.organisation })
