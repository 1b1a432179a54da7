/** Whether an order can be finished before its deadline, by the learned rates and the work ahead. */
import type { Millis } from '../types.js'
import { OutcomeKind } from '../types.js'
import { LEAST_RETRY_AFTER, MAX_RETRY_AFTER } from './constants.js'
import type { QueuedOrder } from './DispatchQueue.js'
import { isLongPrompt } from './lengths.js'
import type { OrderSize, RoutingContext, RoutingPolicy } from './RoutingPolicy.js'
import type { Runner } from './Runner.js'
import type { DispatchOrder } from './types.js'
import { serviceTime, waitTime, workOf } from './WaitEstimate.js'

/** Why an order is not taken. */
export interface Refusal {
  readonly kind: OutcomeKind
  readonly retryAfter: Millis
  readonly reason: string
}

/** Runners and state that an estimate is made from. */
export interface Prospect {
  readonly policy: RoutingPolicy
  readonly context: RoutingContext
  /** Runners that have the model; never empty. */
  readonly serving: readonly Runner[]
  /** Waiting orders that may go first. */
  readonly ahead: readonly QueuedOrder[]
}

/** @returns milliseconds until a runner starts an order */
export const expectedWait = (order: OrderSize, { policy, context, serving, ahead }: Prospect): Millis => {
  const eligible = policy.eligible(order, serving, context)
  const long = isLongPrompt(order.promptTokens)
  const alike = ahead.filter((queued) => isLongPrompt(queued.order.promptTokens) === long)
  const startDelay = Math.min(...eligible.map((runner) => policy.startDelay(order, runner, context)))
  return waitTime(eligible, workOf(alike), order, startDelay)
}

/** @returns milliseconds that the order takes on the best runner when nothing is before it */
export const leastService = (order: DispatchOrder, serving: readonly Runner[]): Millis =>
  Math.min(...serving.map((runner) => serviceTime(runner, order)))

/** Expected course of an order. */
export interface Estimate {
  readonly wait: Millis
  readonly service: Millis
}

/** @returns what an order may expect from the runners that can hold it */
export const estimate = (order: DispatchOrder, prospect: Prospect): Estimate =>
  ({ wait: expectedWait(order, prospect), service: leastService(order, prospect.serving) })

/**
 * Judges an order.
 *
 * @param order - what is asked for
 * @param expected - its expected course
 * @param slip - factor by which recent orders took longer than expected
 * @returns the refusal, or null where the deadline can be met
 */
export const assess = (order: DispatchOrder, { wait, service }: Estimate, slip: number): Refusal | null => {
  const needed = (wait + service) * slip
  if (needed <= order.remaining) return null
  const reason = `needs ${Math.round(wait)} ms to wait and ${Math.round(service)} ms to run, times ${slip.toFixed(2)}; ${Math.round(order.remaining)} ms are left`
  if (service > order.remaining) return { kind: OutcomeKind.DeadlineInfeasible, retryAfter: boundedRetry(wait), reason }
  return { kind: OutcomeKind.Overloaded, retryAfter: boundedRetry(needed - order.remaining), reason }
}

/** @returns a retry time that is neither at once nor beyond what can be foreseen */
export const boundedRetry = (wait: Millis): Millis =>
  Math.round(Math.min(MAX_RETRY_AFTER, Math.max(LEAST_RETRY_AFTER, wait)))
