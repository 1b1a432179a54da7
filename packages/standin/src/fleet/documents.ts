/** Settings and configuration of a small fleet, as the values that YAML files hold. */
import { createHash } from 'node:crypto'

import { MODEL, MODEL_VERSION, SERVICE } from './constants.js'
import type { FleetPlan, PlannedOrganisation } from './types.js'

const PEER_SECRET = 'a secret that the nodes of this fleet share'
const ANY_PORT = '127.0.0.1:0'
const BODY_LIMIT = '32MiB'
const STANDARD_URGENCY = 5

/** Addresses of the platform's stand-ins. */
export interface PlatformAddresses {
  readonly keyValue: string
  readonly vmList: string
  readonly weightStore: string
}

/**
 * Writes a node's settings.
 *
 * @param plan - of the fleet
 * @param node - name and failure domain
 * @param platform - the platform's addresses
 * @param seeds - gossip addresses of the nodes that run already
 * @returns the settings
 */
export const nodeSettings = (plan: FleetPlan, node: { name: string, failureDomain: string }, platform: PlatformAddresses, seeds: readonly string[]): unknown => ({
  name: node.name,
  region: 'ulaanbaatar',
  failureDomain: node.failureDomain,
  listen: { caller: ANY_PORT, peer: ANY_PORT, gossip: ANY_PORT, admin: ANY_PORT },
  seeds,
  secrets: { peer: [PEER_SECRET] },
  platform: { keyValue: [platform.keyValue], vmList: [platform.vmList], weightStore: [platform.weightStore] },
  limits: { bodyBytes: BODY_LIMIT, drainGrace: '1s' },
  policy: { name: plan.policy, weights: plan.weights },
  engines: { checkFencing: true },
  log: { level: plan.logLevel }
})

/**
 * Writes the fleet's configuration.
 *
 * @param plan - of the fleet
 * @returns the value
 */
export const fleetDocument = (plan: FleetPlan): unknown => ({
  kind: 'fleet',
  models: [{ name: MODEL, versions: [{ name: MODEL_VERSION }], current: MODEL_VERSION, warmCopies: Math.floor(plan.engines / plan.failureDomains.length) }],
  services: [{ name: SERVICE }],
  defaults: { deadline: plan.deadline }
})

/**
 * Writes an organisation's configuration.
 *
 * @param plan - of the fleet
 * @param organisation - name and API key
 * @param urgency - of its completions
 * @returns the value
 */
export const organisationDocument = (plan: FleetPlan, { name, apiKey, requestsAtOnce }: PlannedOrganisation, urgency: number = STANDARD_URGENCY): unknown => ({
  kind: 'organisation',
  name,
  keys: [{ name: 'main', sha256: createHash('sha256').update(apiKey).digest('hex') }],
  limits: requestsAtOnce === undefined ? {} : { requestsAtOnce },
  templates: [
    { name: 'assist', request: { shape: 'completion' }, model: MODEL, urgency, deadline: plan.deadline, idempotent: true },
    { name: 'order', request: { shape: 'service' }, service: SERVICE, deadline: plan.deadline, idempotent: false }
  ]
})
