/** What the demonstration starts and sends. */
import { DEFAULT_FLEET_PLAN, MODEL, SERVICE } from '../fleet/index.js'
import type { FleetPlan } from '../fleet/index.js'
import { DEFAULT_LOAD_OPTIONS } from '../load/index.js'
import type { LoadOptions } from '../load/index.js'

const ENGINE = { 'step-ms': 5, 'new-token-ms': 0.003, 'chunk-tokens': 4_096 }
const DEADLINE_MS = 20_000

/** Times of the steps after the start of the load, in milliseconds. */
export const STEPS = {
  orderTwice: 3_000,
  edit: 6_000,
  killNode: 10_000,
  killEngine: 13_000
} as const

/** Length of the load, in milliseconds. */
export const LOAD_MS = 18_000

/** Longest prompt of the mix, which one engine can hold. */
const CUT_TOKENS = 300_000

/** A prompt of 2.5 times one engine's memory. */
export const LONGEST_PROMPT = { atMs: 1_000, count: 1, minTokens: 1_000_000, maxTokens: 1_000_000 }

/** Three nodes, nine engines and three plain services in three failure domains. */
export const DEMO_FLEET: FleetPlan = {
  ...DEFAULT_FLEET_PLAN,
  engines: 9,
  engineArgs: ENGINE,
  deadline: `${DEADLINE_MS / 1_000}s`
}

/**
 * The load of the demonstration.
 *
 * @param targets - addresses of the nodes
 * @param seed - of arrivals and lengths
 * @returns the load tool's options
 */
export const demoLoad = (targets: readonly string[], seed: number): LoadOptions => ({
  ...DEFAULT_LOAD_OPTIONS,
  seed,
  targets,
  organisations: DEMO_FLEET.organisations,
  model: MODEL,
  perSecond: 12,
  cutTokens: CUT_TOKENS,
  durationMs: LOAD_MS,
  bursts: [LONGEST_PROMPT],
  orders: { service: SERVICE, perSecond: 3, twiceShare: 0.2 },
  deadlineMs: DEADLINE_MS,
  graceMs: 2_000,
  nominal: { stepMs: ENGINE['step-ms'], newTokenMs: ENGINE['new-token-ms'], chunkTokens: ENGINE['chunk-tokens'] }
})
