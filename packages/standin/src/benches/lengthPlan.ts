/** What the length bench starts and sends. */
import { DEFAULT_FLEET_PLAN, MODEL, Policy } from '../fleet/index.js'
import type { FleetPlan } from '../fleet/index.js'
import { DEFAULT_LOAD_OPTIONS, LENGTH_CLASSES, meanLength } from '../load/index.js'
import type { Burst, LoadOptions, NominalRates } from '../load/index.js'

const NODES = 9
const ENGINES = 23

/** Every prompt fits one engine here, so that the policies differ by length alone; groups have a bench of their own. */
const MEMORY_TOKENS = 1_100_032

/** Rates of the engines. */
export const RATES: NominalRates = { stepMs: 5, newTokenMs: 0.01, chunkTokens: 2_048 }

/** Time of the arrivals of one run, in milliseconds. */
export const RUN_MS = 15_000

/** Shares of the capacity. */
export const LOADS = [0.5, 0.8, 0.95] as const

/** Share at which the bounds hold and the weights are compared. */
export const BOUNDED_LOAD = 0.8

/** Ledgers that arrive at once, one for each engine. */
export const LEDGERS: Burst = { atMs: 5_000, count: ENGINES, minTokens: 200_000, maxTokens: 400_000 }
export const BURST_LOAD = 0.5

/** Prompts up to this are the short ones. */
export const SHORT_TOKENS = LENGTH_CLASSES[0].upTo

const EVEN = { shortSlowdown: 0.5, firstToken: 0.5 }

/** A policy with its weights. */
export interface Variant {
  readonly name: string
  readonly policy: Policy
  readonly weights: FleetPlan['weights']
  /** Whether it runs at the bounded load only. */
  readonly boundedLoadOnly: boolean
}

export const VARIANTS: readonly Variant[] = [
  { name: 'length_aware', policy: Policy.LengthAware, weights: EVEN, boundedLoadOnly: false },
  { name: 'round_robin', policy: Policy.RoundRobin, weights: EVEN, boundedLoadOnly: false },
  { name: 'least_reported_load', policy: Policy.LeastReportedLoad, weights: EVEN, boundedLoadOnly: false },
  { name: 'length_aware for short', policy: Policy.LengthAware, weights: { shortSlowdown: 0.95, firstToken: 0.05 }, boundedLoadOnly: true },
  { name: 'length_aware for long', policy: Policy.LengthAware, weights: { shortSlowdown: 0.05, firstToken: 0.95 }, boundedLoadOnly: true }
]

/** Prompt tokens that one engine prefills in a second with full chunks. */
export const PREFILL_PER_SECOND = RATES.chunkTokens * 1_000 / (RATES.stepMs + RATES.newTokenMs * RATES.chunkTokens)

/**
 * Plans the fleet of a variant.
 *
 * @param variant - policy and weights
 * @returns nine nodes before 23 engines in three failure domains
 */
export const lengthFleet = ({ policy, weights }: Variant): FleetPlan => ({
  ...DEFAULT_FLEET_PLAN,
  nodes: NODES,
  engines: ENGINES,
  plains: 0,
  policy,
  weights,
  logLevel: 'error',
  deadline: '60s',
  engineArgs: { 'memory-tokens': MEMORY_TOKENS, 'step-ms': RATES.stepMs, 'new-token-ms': RATES.newTokenMs, 'chunk-tokens': RATES.chunkTokens }
})

/**
 * Plans the load of a run.
 *
 * @param plan - of the fleet
 * @param targets - addresses of the nodes
 * @param seed - of arrivals and lengths
 * @param load - share of the engines' prefill capacity
 * @param longestTokens - longer prompts are left out
 * @param bursts - requests on top
 * @returns the load tool's options
 */
export const lengthLoad = (plan: FleetPlan, targets: readonly string[], seed: number, load: number, longestTokens: number, bursts: readonly Burst[]): LoadOptions => ({
  ...DEFAULT_LOAD_OPTIONS,
  seed,
  targets,
  organisations: plan.organisations,
  model: MODEL,
  perSecond: load * ENGINES * PREFILL_PER_SECOND / meanLength(),
  durationMs: RUN_MS,
  longestTokens,
  bursts,
  deadlineMs: 60_000,
  nominal: RATES
})
