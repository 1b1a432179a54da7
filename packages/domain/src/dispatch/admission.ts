/** Admission check: estimates whether an order can finish before its deadline, and refuses it if not. */
import type { Millis } from '../types.js'
import { OutcomeKind } from '../types.js'
import { MIN_RETRY_AFTER, MAX_RETRY_AFTER } from './constants.js'
import type { QueuedOrder } from './DispatchQueue.js'
import { isLongPrompt } from './lengthClasses.js'
import type { OrderSize, RoutingContext, RoutingPolicy } from './RoutingPolicy.js'
import type { Runner } from './Runner.js'
import type { DispatchOrder } from './types.js'
import { serviceTime, waitTime, totalWork } from './waitTimes.js'

/** Refusal of an order, as its entry node receives it. */
export interface Refusal {
  readonly kind: OutcomeKind
  readonly retryAfter: Millis
  readonly reason: string
}

/** Runners and state that an estimate is computed from. */
export interface EstimateInput {
  readonly policy: RoutingPolicy
  readonly context: RoutingContext
  /** Runners that serve the order; never empty. */
  readonly serving: readonly Runner[]
  /** Waiting orders that go first. */
  readonly ahead: readonly QueuedOrder[]
}

/** @returns the expected milliseconds until a runner starts the order */
export const expectedWait = (order: OrderSize, { policy, context, serving, ahead }: EstimateInput): Millis => {
  const eligible = policy.eligibleRunners(order, serving, context)
  const isLong = isLongPrompt(order.promptTokens)
  const sameKind = ahead.filter((queued) => isLongPrompt(queued.order.promptTokens) === isLong)
  const startDelay = Math.min(...eligible.map((runner) => policy.startDelay(order, runner, context)))
  return waitTime(eligible, totalWork(sameKind), order, startDelay)
}

/** @returns the milliseconds that the order takes on the fastest runner if that is idle */
export const minServiceTime = (order: DispatchOrder, serving: readonly Runner[]): Millis =>
  Math.min(...serving.map((runner) => serviceTime(runner, order)))

/** Expected wait of an order in the queue, and expected service time on a runner. */
export interface Estimate {
  readonly wait: Millis
  readonly service: Millis
}

/** @returns the expected wait and service time of an order */
export const estimateOrder = (order: DispatchOrder, input: EstimateInput): Estimate =>
  ({ wait: expectedWait(order, input), service: minServiceTime(order, input.serving) })

/**
 * Checks whether an order can meet its deadline.
 *
 * @param order - the order
 * @param expected - expected wait and service time
 * @param correction - factor by which recent orders took longer than expected
 * @returns a refusal, or null if the deadline can be met
 */
export const checkDeadline = (order: DispatchOrder, { wait, service }: Estimate, correction: number): Refusal | null => {
  const needed = (wait + service) * correction
  if (needed <= order.remaining) return null
  const reason = `needs ${Math.round(wait)} ms to wait and ${Math.round(service)} ms to run, times ${correction.toFixed(2)}; ${Math.round(order.remaining)} ms are left`
  if (service > order.remaining) return { kind: OutcomeKind.DeadlineInfeasible, retryAfter: boundRetryAfter(wait), reason }
  return { kind: OutcomeKind.Overloaded, retryAfter: boundRetryAfter(needed - order.remaining), reason }
}

/** @returns the wait, limited to the allowed range of retry delays */
export const boundRetryAfter = (wait: Millis): Millis =>
  Math.round(Math.min(MAX_RETRY_AFTER, Math.max(MIN_RETRY_AFTER, wait)))
