/** Computes the state that a dispatcher gossips, one summary for each model. */
import { LENGTH_CLASSES } from '../constants.js'
import type { Millis, NodeId, Tokens } from '../types.js'
import { expectedWait } from './admission.js'
import { NO_ELIGIBLE_RUNNER_DELAY } from './constants.js'
import type { QueuedOrder } from './DispatchQueue.js'
import type { RoutingContext, RoutingPolicy } from './RoutingPolicy.js'
import type { Runner } from './Runner.js'
import type { DispatchSummary } from './types.js'

/** Input of the summary of one model. */
export interface SummarySource {
  readonly node: NodeId
  readonly model: string
  /** Usable runners of the model. */
  readonly runners: readonly Runner[]
  /** Waiting orders for the model. */
  readonly waiting: readonly QueuedOrder[]
  readonly policy: RoutingPolicy
  readonly context: RoutingContext
  readonly demand: readonly number[]
}

export const summarise = (source: SummarySource): DispatchSummary => ({
  model: source.model,
  node: source.node,
  runners: source.runners.length,
  freeTokens: sumOver(source.runners, (runner) => runner.freeTokens),
  freeSlots: sumOver(source.runners, (runner) => runner.freeSlots),
  largestPrompt: Math.max(0, ...source.runners.map((runner) => runner.totalTokens)),
  queueDelay: LENGTH_CLASSES.map((_, index) => classDelay(source, index)),
  prefillRate: sumOver(source.runners, (runner) => runner.prefillRate),
  demand: source.demand
})

/** Expected wait of a typical prompt of a length class. */
const classDelay = ({ runners, waiting, policy, context }: SummarySource, index: number): Millis => {
  if (runners.length === 0) return NO_ELIGIBLE_RUNNER_DELAY
  const size = { promptTokens: promptTokensOf(index), maxTokens: TYPICAL_ANSWER_TOKENS, prefix: [] }
  return Math.round(expectedWait(size, { policy, context, serving: runners, ahead: waiting }))
}

/** Answer length for which the waits in a summary are computed. */
const TYPICAL_ANSWER_TOKENS: Tokens = 16

/** @returns the prompt length that represents a length class: its lower bound, or 1000 tokens for the shortest class */
const promptTokensOf = (index: number): Tokens => index === 0 ? 1_000 : LENGTH_CLASSES[index - 1] ?? 0

const sumOver = (runners: readonly Runner[], value: (runner: Runner) => number): number =>
  runners.reduce((sum, runner) => sum + value(runner), 0)
