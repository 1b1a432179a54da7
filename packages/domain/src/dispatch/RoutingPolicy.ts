/** How a dispatcher picks the runner of an order. */
import type { AttemptId, Millis, RunnerId } from '../types.js'
import type { QueuedOrder } from './DispatchQueue.js'
import type { Runner } from './Runner.js'
import type { DispatchOrder } from './types.js'

/** What a policy sees beside the runners. */
export interface RoutingContext {
  readonly now: Millis
  /** Runners of the whole failure domain that take long work first. */
  readonly longRunners: ReadonlySet<RunnerId>
  /** Share of the other runners' prefill capacity that short work takes, over the whole failure domain. */
  readonly shortUtilisation: number
}

/** A runner picked for an order. */
export interface RunnerChoice {
  readonly runner: Runner
  /** Why, for the time line. */
  readonly reason: string
}

/** Chooses among runners; keeps no account of its own of slots and memory. */
export abstract class RoutingPolicy {
  /** Name in settings and figures. */
  abstract readonly name: string

  /**
   * Picks a runner.
   *
   * @param queued - the order to place
   * @param serving - runners with the right model, with or without room; never empty
   * @param context - the state of the failure domain
   * @returns the choice, or null when the order has to wait
   */
  abstract choose (queued: QueuedOrder, serving: readonly Runner[], context: RoutingContext): RunnerChoice | null

  /** @returns the priority towards the engine; a smaller number goes first */
  priority (order: DispatchOrder): number {
    return order.urgency
  }

  /**
   * Attempts that should make way for a waiting order.
   *
   * @returns attempts to recall; none unless a policy says otherwise
   */
  recalls (_queued: QueuedOrder, _serving: readonly Runner[], _context: RoutingContext): readonly AttemptId[] {
    return []
  }
}
