/** Estimates how long orders wait and run, from the learned rates and the orders ahead of them. */
import type { Millis, Tokens } from '../types.js'
import type { QueuedOrder } from './DispatchQueue.js'
import type { Runner } from './Runner.js'
import type { DispatchOrder } from './types.js'

/** Sum of the waiting orders that go before an order. */
export interface WorkAhead {
  readonly orders: number
  readonly promptTokens: Tokens
  readonly maxTokens: Tokens
}

/** @returns the sum of the given waiting orders */
export const totalWork = (orders: Iterable<QueuedOrder>): WorkAhead => {
  let count = 0
  let promptTokens = 0
  let maxTokens = 0
  for (const { order } of orders) {
    count += 1
    promptTokens += order.promptTokens
    maxTokens += order.maxTokens
  }
  return { orders: count, promptTokens, maxTokens }
}

/**
 * Estimates the time from the start on an idle runner to the last token.
 *
 * @returns milliseconds; without the parts whose rate is still unknown
 */
export const serviceTime = (runner: Runner, order: DispatchOrder): Millis =>
  prefillTime(runner, order.promptTokens - runner.cachedTokens(order)) + decodeTime(runner, order.maxTokens)

/** @returns milliseconds to prefill the tokens; 0 while the prefill rate is unknown */
export const prefillTime = (runner: Runner, tokens: Tokens): Millis =>
  runner.prefillRate > 0 ? tokens * 1_000 / runner.prefillRate : 0

/** @returns milliseconds to generate the tokens in one stream; 0 while the decode rate is unknown */
export const decodeTime = (runner: Runner, tokens: Tokens): Millis =>
  runner.decodeRate > 0 ? tokens * 1_000 / runner.decodeRate : 0

/**
 * Estimates how long a new order waits until a runner starts it.
 *
 * This is the longest of three waits: for the prefill ahead of it, for a free slot and for free memory.
 *
 * @param runners - runners that can serve the order; never empty
 * @param ahead - waiting orders that go first
 * @param order - tokens of the new order
 * @param startDelay - shortest time that a runner needs for the work that it was already granted
 */
export const waitTime = (runners: readonly Runner[], ahead: WorkAhead, order: { readonly promptTokens: Tokens, readonly maxTokens: Tokens }, startDelay: Millis): Millis =>
  Math.max(prefillWait(runners, ahead) + startDelay, slotWait(runners, ahead), memoryWait(runners, ahead, order))

const prefillWait = (runners: readonly Runner[], ahead: WorkAhead): Millis => {
  const rate = total(runners, (runner) => runner.prefillRate)
  return rate > 0 ? ahead.promptTokens * 1_000 / rate : 0
}

const slotWait = (runners: readonly Runner[], ahead: WorkAhead): Millis => {
  const missing = ahead.orders + 1 - total(runners, (runner) => runner.freeSlots)
  const slots = total(runners, (runner) => runner.slots)
  return missing <= 0 || slots === 0 ? 0 : meanServiceTime(runners, ahead) * missing / slots
}

const memoryWait = (runners: readonly Runner[], ahead: WorkAhead, order: { readonly promptTokens: Tokens, readonly maxTokens: Tokens }): Millis => {
  const needed = ahead.promptTokens + ahead.maxTokens + order.promptTokens + order.maxTokens
  const missing = needed - total(runners, (runner) => runner.freeTokens)
  const memory = total(runners, (runner) => runner.totalTokens)
  return missing <= 0 || memory === 0 ? 0 : meanServiceTime(runners, ahead) * missing / memory
}

/** Mean time for which a granted or waiting order occupies its slot. */
const meanServiceTime = (runners: readonly Runner[], ahead: WorkAhead): Millis => {
  let serviceSum = 0
  let count = ahead.orders
  const first = runners[0]
  if (first !== undefined) serviceSum += prefillTime(first, ahead.promptTokens) + decodeTime(first, ahead.maxTokens)
  for (const runner of runners) {
    for (const attempt of runner.attempts.values()) {
      serviceSum += prefillTime(runner, attempt.order.promptTokens) + decodeTime(runner, attempt.order.maxTokens)
      count += 1
    }
  }
  return count === 0 ? 0 : serviceSum / count
}

const total = (runners: readonly Runner[], value: (runner: Runner) => number): number =>
  runners.reduce((sum, runner) => sum + value(runner), 0)
