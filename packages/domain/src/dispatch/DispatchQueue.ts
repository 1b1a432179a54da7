/** Queue of the dispatch orders that wait for a runner, with fair sharing among organisations. */
import type { AttemptId, Millis, OrganisationId } from '../types.js'
import type { DispatchOrder } from './types.js'

export interface QueuedOrder {
  readonly order: DispatchOrder
  readonly queuedAt: Millis
  /** Deadline on the clock of this node. */
  readonly deadline: Millis
  /** Time from arrival to completion, as estimated at arrival. */
  expected: Millis
  /** Whether the entry node was already asked to move the order to another dispatcher. */
  redirected: boolean
}

/** Weights of the rank of waiting orders; the order with the lowest rank is granted first. */
export interface QueueOptions {
  /** Added to the rank for each step of urgency, in served tokens; a larger urgency value is less urgent. */
  readonly urgencyTokens: number
  /** Subtracted from the rank as the order waits, in served tokens; grows linearly up to this value at the deadline. */
  readonly ageTokens: number
  /** Cost of a generated token relative to a prompt token. */
  readonly outputWeight: number
}

export const DEFAULT_QUEUE_OPTIONS: QueueOptions = { urgencyTokens: 100_000, ageTokens: 400_000, outputWeight: 2 }

/**
 * Ranks orders by the tokens that their organisation was served; urgent orders and orders near their deadline rank earlier.
 *
 * An organisation that was idle starts with the served tokens of the least served active one, so that it gains no
 * credit while idle.
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

  add (order: DispatchOrder, now: Millis): QueuedOrder {
    const queued = { order, queuedAt: now, deadline: now + order.remaining, expected: 0, redirected: false }
    this.#raiseIdle(order.organisation)
    this.#orders.set(order.attempt, queued)
    this.#waitingCounts.set(order.organisation, (this.#waitingCounts.get(order.organisation) ?? 0) + 1)
    return queued
  }

  /** @returns the removed order, or undefined if it was not in the queue */
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

  /** Adds served tokens to the account of an organisation. */
  charge (organisation: OrganisationId, promptTokens: number, generated: number): void {
    const served = this.#servedTokens.get(organisation) ?? this.#leastServed()
    this.#servedTokens.set(organisation, served + promptTokens + this.#options.outputWeight * generated)
  }

  /** @returns the waiting orders, sorted by rank; the first one is to be granted first */
  ranked (now: Millis): readonly QueuedOrder[] {
    return [...this.#orders.values()]
      .map((queued) => ({ queued, rank: this.#rank(queued, now) }))
      .sort((a, b) => a.rank - b.rank || a.queued.queuedAt - b.queued.queuedAt)
      .map(({ queued }) => queued)
  }

  /** @returns the waiting orders of the same model that rank before the given one */
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
