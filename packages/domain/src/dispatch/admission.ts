/** Whether an order can be finished before its deadline, by the learned rates and the work ahead. */
import type { Millis } from '../types.js'
import { OutcomeKind } from '../types.js'
import { MIN_RETRY_AFTER, MAX_RETRY_AFTER } from './constants.js'
import type { QueuedOrder } from './DispatchQueue.js'
import { isLongPrompt } from './lengthClasses.js'
import type { OrderSize, RoutingContext, RoutingPolicy } from './RoutingPolicy.js'
import type { Runner } from './Runner.js'
import type { DispatchOrder } from './types.js'
import { serviceTime, waitTime, totalWork } from './waitTimes.js'

/** Why an order is not taken. */
export interface Refusal {
  readonly kind: OutcomeKind
  readonly retryAfter: Millis
  readonly reason: string
}

/** Runners and state that an estimate is made from. */
export interface EstimateInput {
  readonly policy: RoutingPolicy
  readonly context: RoutingContext
  /** Runners that have the model; never empty. */
  readonly serving: readonly Runner[]
  /** Waiting orders that may go first. */
  readonly ahead: readonly QueuedOrder[]
}

/** @returns milliseconds until a runner starts an order */
export const expectedWait = (order: OrderSize, { policy, context, serving, ahead }: EstimateInput): Millis => {
  const eligible = policy.eligibleRunners(order, serving, context)
  const isLong = isLongPrompt(order.promptTokens)
  const sameKind = ahead.filter((queued) => isLongPrompt(queued.order.promptTokens) === isLong)
  const startDelay = Math.min(...eligible.map((runner) => policy.startDelay(order, runner, context)))
  return waitTime(eligible, totalWork(sameKind), order, startDelay)
}

/** @returns milliseconds that the order takes on the best runner when nothing is before it */
export const minServiceTime = (order: DispatchOrder, serving: readonly Runner[]): Millis =>
  Math.min(...serving.map((runner) => serviceTime(runner, order)))

/** Expected course of an order. */
export interface Estimate {
  readonly wait: Millis
  readonly service: Millis
}

/** @returns what an order may expect from the runners that can hold it */
export const estimateOrder = (order: DispatchOrder, input: EstimateInput): Estimate =>
  ({ wait: expectedWait(order, input), service: minServiceTime(order, input.serving) })

/**
 * Judges an order.
 *
 * @param order - what is asked for
 * @param expected - its expected course
 * @param correction - factor by which recent orders took longer than expected
 * @returns the refusal, or null where the deadline can be met
 */
export const checkDeadline = (order: DispatchOrder, { wait, service }: Estimate, correction: number): Refusal | null => {
  const needed = (wait + service) * correction
  if (needed <= order.remaining) return null
  const reason = `needs ${Math.round(wait)} ms to wait and ${Math.round(service)} ms to run, times ${correction.toFixed(2)}; ${Math.round(order.remaining)} ms are left`
  if (service > order.remaining) return { kind: OutcomeKind.DeadlineInfeasible, retryAfter: boundRetryAfter(wait), reason }
  return { kind: OutcomeKind.Overloaded, retryAfter: boundRetryAfter(needed - order.remaining), reason }
}

/** @returns a retry time that is neither at once nor beyond what can be foreseen */
export const boundRetryAfter = (wait: Millis): Millis =>
  Math.round(Math.min(MAX_RETRY_AFTER, Math.max(MIN_RETRY_AFTER, wait)))
