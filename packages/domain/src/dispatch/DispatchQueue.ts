/** Orders that wait for a runner. */
import type { AttemptId, Millis, OrganisationId } from '../types.js'
import type { DispatchOrder } from './types.js'

/** An order in the queue. */
export interface QueuedOrder {
  readonly order: DispatchOrder
  readonly queuedAt: Millis
  /** Deadline on this node's clock. */
  readonly deadline: Millis
  /** Time from arrival to end, as estimated at arrival. */
  expected: Millis
  /** Whether its entry node was told to ask another dispatcher. */
  redirected: boolean
}

/** Weights of the order in which waiting work is taken up. */
export interface QueueOptions {
  /** Served tokens of lead that one step of urgency is worth. */
  readonly urgencyTokens: number
  /** Served tokens of lead that an order gains as its time runs out. */
  readonly ageTokens: number
  /** Weight of a generated token against a prompt token. */
  readonly outputWeight: number
}

export const DEFAULT_QUEUE_OPTIONS: QueueOptions = { urgencyTokens: 100_000, ageTokens: 400_000, outputWeight: 2 }

/**
 * Ranks orders by the served tokens of their organisation, with a lead for urgent and for ageing ones.
 *
 * An organisation that was idle starts level with the least served active one, so that idleness saves nothing up.
 */
export class DispatchQueue {
  readonly #options: QueueOptions
  readonly #orders = new Map<AttemptId, QueuedOrder>()
  readonly #servedTokens = new Map<OrganisationId, number>()
  readonly #waitingCounts = new Map<OrganisationId, number>()

  constructor (options: QueueOptions = DEFAULT_QUEUE_OPTIONS) {
    this.#options = options
  }

  get size (): number {
    return this.#orders.size
  }

  get orders (): IterableIterator<QueuedOrder> {
    return this.#orders.values()
  }

  has (attempt: AttemptId): boolean {
    return this.#orders.has(attempt)
  }

  /** Puts an order into the queue. */
  add (order: DispatchOrder, now: Millis): QueuedOrder {
    const queued = { order, queuedAt: now, deadline: now + order.remaining, expected: 0, redirected: false }
    this.#raiseIdle(order.organisation)
    this.#orders.set(order.attempt, queued)
    this.#waitingCounts.set(order.organisation, (this.#waitingCounts.get(order.organisation) ?? 0) + 1)
    return queued
  }

  /** Takes an order out of the queue. */
  remove (attempt: AttemptId): QueuedOrder | undefined {
    const queued = this.#orders.get(attempt)
    if (queued === undefined) return undefined
    this.#orders.delete(attempt)
    const organisation = queued.order.organisation
    const remaining = (this.#waitingCounts.get(organisation) ?? 1) - 1
    if (remaining > 0) this.#waitingCounts.set(organisation, remaining)
    else this.#waitingCounts.delete(organisation)
    return queued
  }

  /** Counts tokens as served to an organisation. */
  charge (organisation: OrganisationId, promptTokens: number, generated: number): void {
    const served = this.#servedTokens.get(organisation) ?? this.#leastServed()
    this.#servedTokens.set(organisation, served + promptTokens + this.#options.outputWeight * generated)
  }

  /** Waiting orders, the one to be taken up first at the front. */
  ranked (now: Millis): readonly QueuedOrder[] {
    return [...this.#orders.values()]
      .map((queued) => ({ queued, rank: this.#rank(queued, now) }))
      .sort((a, b) => a.rank - b.rank || a.queued.queuedAt - b.queued.queuedAt)
      .map(({ queued }) => queued)
  }

  /** @returns the waiting orders of the same model that are taken up before one of them */
  rankedBefore (queued: QueuedOrder, now: Millis): readonly QueuedOrder[] {
    const rank = this.#rank(queued, now)
    return [...this.#orders.values()].filter((other) =>
      other !== queued && other.order.model === queued.order.model && this.#rank(other, now) <= rank)
  }

  #rank (queued: QueuedOrder, now: Millis): number {
    const { order, queuedAt, deadline } = queued
    const aged = Math.min(1, (now - queuedAt) / Math.max(1, deadline - queuedAt))
    const served = this.#servedTokens.get(order.organisation) ?? 0
    return served + order.urgency * this.#options.urgencyTokens - aged * this.#options.ageTokens
  }

  #raiseIdle (organisation: OrganisationId): void {
    if (this.#waitingCounts.has(organisation)) return
    const served = this.#servedTokens.get(organisation) ?? 0
    this.#servedTokens.set(organisation, Math.max(served, this.#leastServed()))
  }

  #leastServed (): number {
    let least = Infinity
    for (const organisation of this.#waitingCounts.keys()) least = Math.min(least, this.#servedTokens.get(organisation) ?? 0)
    return Number.isFinite(least) ? least : 0
  }
}
