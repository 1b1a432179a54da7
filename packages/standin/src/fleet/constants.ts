/** Names and defaults of small fleets. */
import { Policy } from './types.js'
import type { FleetPlan, PlannedOrganisation } from './types.js'

/** The model that every engine serves at its start. */
export const MODEL = 'order-assistant'
export const MODEL_VERSION = '1'

/** The plain service. */
export const SERVICE = 'orders'

export const FAILURE_DOMAINS = ['bayangol', 'sukhbaatar', 'khan-uul'] as const

const ORGANISATIONS: readonly PlannedOrganisation[] = [
  { name: 'households', apiKey: 'key-of-households', weight: 5 },
  { name: 'schools', apiKey: 'key-of-schools', weight: 3 },
  { name: 'depots', apiKey: 'key-of-depots', weight: 2 }
]

/** Three nodes, six engines and three plain services. */
export const DEFAULT_FLEET_PLAN: FleetPlan = {
  failureDomains: FAILURE_DOMAINS,
  nodes: 3,
  engines: 6,
  plains: 3,
  engineArgs: {},
  plainArgs: {},
  vmListLagMs: 500,
  organisations: ORGANISATIONS,
  policy: Policy.LengthAware,
  weights: { shortSlowdown: 0.5, firstToken: 0.5 },
  logLevel: 'warn',
  deadline: '30s',
  configurationFromFiles: false
}
