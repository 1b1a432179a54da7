/** Base class of the policies by which a dispatcher chooses the runner of an order. */
import type { AttemptId, Millis } from '../types.js'
import type { QueuedOrder } from './DispatchQueue.js'
import type { BandMap } from './FailureDomainView.js'
import type { Runner } from './Runner.js'
import type { DispatchOrder } from './types.js'
import { prefillTime } from './waitTimes.js'

/** Input of a policy in addition to the runners. */
export interface RoutingContext {
  readonly now: Millis
  /** Prompt lengths that the runners prefer. */
  readonly bands: BandMap
}

/** The runner that a policy chose for an order. */
export interface RunnerChoice {
  readonly runner: Runner
  /** Reason of the choice, for the time line. */
  readonly reason: string
}

/** The fields of an order that an estimate needs. */
export type OrderSize = Pick<DispatchOrder, 'promptTokens' | 'maxTokens' | 'prefix'>

/** Chooses among runners; the runners themselves account for slots and memory. */
export abstract class RoutingPolicy {
  /** Name of the policy in settings and metrics. */
  abstract readonly name: string

  /** Between 0, which favours the slowdown of short prompts, and 1, which favours the time to first event of long ones. */
  get longWeight (): number {
    return 0.5
  }

  /**
   * Chooses the runner of a waiting order.
   *
   * @param queued - the waiting order
   * @param serving - runners that serve the order's model, with or without room; never empty
   * @param context - current time and bands
   * @returns the choice, or null if the order has to wait
   */
  abstract choose (queued: QueuedOrder, serving: readonly Runner[], context: RoutingContext): RunnerChoice | null

  /** @returns the priority that the engine schedules the order by; a smaller number goes first */
  priority (order: DispatchOrder): number {
    return order.urgency
  }

  /** @returns the runners that the policy normally uses for an order of this size */
  eligibleRunners (_order: OrderSize, serving: readonly Runner[], _context: RoutingContext): readonly Runner[] {
    return serving
  }

  /** @returns the expected time between the grant of a runner and the start of the order's own prefill */
  startDelay (_order: OrderSize, runner: Runner, context: RoutingContext): Millis {
    return prefillTime(runner, runner.pendingPrefill(context.now))
  }

  /**
   * Selects running attempts that are to be stopped and dispatched again, so that a waiting order can start.
   *
   * @returns attempts to recall; none by default
   */
  attemptsToRecall (_order: DispatchOrder, _serving: readonly Runner[], _context: RoutingContext): readonly AttemptId[] {
    return []
  }
}
