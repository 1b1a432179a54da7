/** How a dispatcher picks the runner of an order. */
import type { AttemptId, Millis } from '../types.js'
import type { QueuedOrder } from './DispatchQueue.js'
import type { BandMap } from './FailureDomainView.js'
import type { Runner } from './Runner.js'
import type { DispatchOrder } from './types.js'
import { prefillTime } from './waitTimes.js'

/** What a policy sees beside the runners. */
export interface RoutingContext {
  readonly now: Millis
  /** Which work the runners take first. */
  readonly bands: BandMap
}

/** A runner picked for an order. */
export interface RunnerChoice {
  readonly runner: Runner
  /** Why, for the time line. */
  readonly reason: string
}

/** The parts of an order that an estimate needs. */
export type OrderSize = Pick<DispatchOrder, 'promptTokens' | 'maxTokens' | 'prefix'>

/** Chooses among runners; keeps no account of its own of slots and memory. */
export abstract class RoutingPolicy {
  /** Name in settings and figures. */
  abstract readonly name: string

  /** 0 favours the slowdown of short prompts, 1 the first token of long ones. */
  get longWeight (): number {
    return 0.5
  }

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

  /** @returns the runners that an order of this size normally goes to */
  eligibleRunners (_order: OrderSize, serving: readonly Runner[], _context: RoutingContext): readonly Runner[] {
    return serving
  }

  /** @returns time from the start on a runner to the beginning of the order's own prefill */
  startDelay (_order: OrderSize, runner: Runner, context: RoutingContext): Millis {
    return prefillTime(runner, runner.pendingPrefill(context.now))
  }

  /**
   * Attempts that should make way for a waiting order.
   *
   * @returns attempts to recall; none unless a policy says otherwise
   */
  attemptsToRecall (_order: DispatchOrder, _serving: readonly Runner[], _context: RoutingContext): readonly AttemptId[] {
    return []
  }
}
