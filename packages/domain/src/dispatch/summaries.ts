/** The gossiped state of a dispatcher, one record for each model. */
import { LENGTH_CLASSES } from '../constants.js'
import type { Millis, Tokens } from '../types.js'
import type { DispatchQueue } from './DispatchQueue.js'
import type { DomainModel } from './DomainView.js'
import { LONG_CLASS } from './constants.js'
import { lengthClassOf } from './lengths.js'
import type { Runner } from './Runner.js'
import type { DispatchSummary } from './types.js'
import { waitTime, workOf } from './WaitEstimate.js'

/** What one summary is made from. */
export interface SummarySource {
  readonly model: string
  /** Usable runners of the model. */
  readonly runners: readonly Runner[]
  readonly queue: DispatchQueue
  readonly domain: DomainModel
  readonly demand: readonly number[]
}

/** @returns the summary of one model */
export const summarise = (source: SummarySource): DispatchSummary => ({
  model: source.model,
  runners: source.runners.length,
  freeTokens: add(source.runners, (runner) => runner.freeTokens),
  freeSlots: add(source.runners, (runner) => runner.freeSlots),
  largestPrompt: Math.max(0, ...source.runners.map((runner) => runner.totalTokens)),
  queueDelay: LENGTH_CLASSES.map((bound, index) => classDelay(source, index, bound)),
  prefillRate: add(source.runners, (runner) => runner.prefillRate),
  runnerIds: source.runners.map((runner) => runner.id),
  demand: source.demand
})

/** Wait of a prompt of one class on the runners meant for it, or on all where there are none. */
const classDelay = (source: SummarySource, index: number, bound: Tokens): Millis => {
  const long = index >= LONG_CLASS
  const own = source.runners.filter((runner) => source.domain.longRunners.has(runner.id) === long)
  const runners = own.length > 0 ? own : source.runners
  const ahead = [...source.queue.orders].filter(({ order }) => order.model === source.model && (lengthClassOf(order.promptTokens) >= LONG_CLASS) === long)
  const typical = { promptTokens: Math.min(bound, ...runners.map((runner) => runner.totalTokens)), maxTokens: 0 }
  const wait = waitTime(runners, workOf(ahead), typical)
  return Number.isFinite(wait) ? Math.round(wait) : 0
}

const add = (runners: readonly Runner[], value: (runner: Runner) => number): number =>
  runners.reduce((sum, runner) => sum + value(runner), 0)
