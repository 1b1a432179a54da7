/** Sizes of the fleets that are run: the small one of the soak, and large ones. */
import { HeaderName } from '@bluebellhill/platform'
import { LARGE_ENGINE } from '@bluebellhill/platform-standin'
import type { BackendStandin, CallLimits, NodeSettings, RouteDocument, ServiceDocument } from '@bluebellhill/platform-standin'

import { ENGINE_SERVICE, HOST, NODES, PLAIN_SERVICE, RETRY_RATIO, RETRY_SLACK, SERVERS_PER_SERVICE, STOP_GRACE_S } from './constants.js'

/** What a fleet consists of. */
export interface FleetProfile {
  readonly nodes: number
  readonly services: ReadonlyArray<ServiceDocument & { readonly servers: number }>
  readonly routes: readonly RouteDocument[]
  readonly settings: Pick<NodeSettings, 'stopGraceSeconds' | 'retryRatio' | 'retrySlack' | 'vm'>
  /** Flags of node.js for the program under test. */
  readonly flags: readonly string[]
  /** Null if the store accepts any number of calls. */
  readonly storeLimits: CallLimits | null
  /** Whether nodes reach servers through proxies, which can disrupt their connections. */
  readonly hasServerProxies: boolean
  /** How long servers work on a request; the pace of the stand-in if it is absent. */
  readonly paceOf?: BackendStandin['paceOf']
}

export const SOAK_FLEET: FleetProfile = {
  nodes: NODES,
  services: [{ name: PLAIN_SERVICE, isEngine: false, servers: SERVERS_PER_SERVICE }, { name: ENGINE_SERVICE, isEngine: true, servers: SERVERS_PER_SERVICE }],
  routes: [
    { name: 'safe', host: HOST, prefix: '/safe/', kind: 'safe', service: PLAIN_SERVICE, timeoutMs: 5_000, resumable: false },
    { name: 'unsafe', host: HOST, prefix: '/unsafe/', kind: 'unsafe', service: PLAIN_SERVICE, timeoutMs: 5_000, resumable: false },
    { name: 'stream', host: HOST, prefix: '/stream/', kind: 'streaming', service: ENGINE_SERVICE, timeoutMs: 5_000, resumable: true }
  ],
  settings: { stopGraceSeconds: STOP_GRACE_S, retryRatio: RETRY_RATIO, retrySlack: RETRY_SLACK },
  flags: [],
  storeLimits: null,
  hasServerProxies: true
}

/** Flags with which the program is deployed; V8 only uses a code cache that was made with the same flags. */
export const DEPLOYED_FLAGS: readonly string[] = ['--max-old-space-size=160']

/** Tokens that an engine of a large fleet reads in a millisecond. */
const PREFILL_TOKENS_PER_MS = 206

const TOKENS_PER_EVENT = 48

/** Time between two events of a stream. */
const EVENT_PERIOD_MS = 49

/** Time that a plain server of a large fleet works on a request. */
const PLAIN_EXECUTION_MS = 43

/** Requests per second that a cold server of a large fleet accepts, and for how long. */
const WARM_UP = { seconds: 3, perSecond: 26 }

const paceOf: BackendStandin['paceOf'] = (headers) => {
  const size = headers[HeaderName.PromptSize]
  if (size === undefined) return { executionMs: PLAIN_EXECUTION_MS, events: 0, eventPeriodMs: 0 }
  const [prompt = 0, answer = 0] = String(size).split(',').map(Number)
  return { executionMs: prompt / PREFILL_TOKENS_PER_MS, events: Math.ceil(answer / TOKENS_PER_EVENT), eventPeriodMs: EVENT_PERIOD_MS }
}

/**
 * @param nodes - number of nodes
 * @param isCold - whether servers are cold after their start
 * @returns a fleet with many engines and few plain servers, whose nodes have a third of a core each
 */
export const largeFleet = (nodes: number, isCold = false): FleetProfile => ({
  nodes,
  services: [
    { name: ENGINE_SERVICE, isEngine: true, engine: LARGE_ENGINE, servers: 54, ...(isCold ? { warmUp: WARM_UP } : {}) },
    { name: PLAIN_SERVICE, isEngine: false, servers: 3 }
  ],
  routes: [
    { name: 'short', host: HOST, prefix: '/stream/short/', kind: 'streaming', service: ENGINE_SERVICE, timeoutMs: 10_000, resumable: true, objectiveMs: 250 },
    { name: 'long', host: HOST, prefix: '/stream/long/', kind: 'streaming', service: ENGINE_SERVICE, timeoutMs: 10_000, resumable: true, objectiveMs: 1_500 },
    { name: 'longest', host: HOST, prefix: '/stream/longest/', kind: 'streaming', service: ENGINE_SERVICE, timeoutMs: 15_000, resumable: true, objectiveMs: 6_000 },
    { name: 'unsafe', host: HOST, prefix: '/unsafe/', kind: 'unsafe', service: PLAIN_SERVICE, timeoutMs: 800, resumable: false, objectiveMs: 200 },
    { name: 'safe', host: HOST, prefix: '/safe/', kind: 'safe', service: PLAIN_SERVICE, timeoutMs: 800, resumable: false, objectiveMs: 150 }
  ],
  settings: { stopGraceSeconds: 8, retryRatio: 0.2, retrySlack: 194, vm: { memoryMb: 250, processorShare: 0.324 } },
  flags: DEPLOYED_FLAGS,
  storeLimits: { reads: 6_000, writes: 1_200 },
  hasServerProxies: false,
  paceOf
})
