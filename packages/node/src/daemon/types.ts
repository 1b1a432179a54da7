/** What a daemon is started with. */
import type { FailureDomain, Millis, NodeId, RoutingPolicy } from '@bluebellhill/domain'

import type { Configuration } from '@bluebellhill/services'

import type { AdmissionLimits } from '../edge/Admission.js'
import type { BodyLimits } from '../edge/readBody.js'
import type { Backend } from '../dispatch/RunnerDirectory.js'
import type { Log } from '../log/index.js'

/** Addresses as `ip:port`; port 0 takes a free one. */
export interface DaemonAddresses {
  readonly caller: string
  readonly peer: string
  readonly gossip: string
  readonly admin: string
}

/** The parts of the settings that the daemon itself reads. */
export interface DaemonOptions {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  readonly listen: DaemonAddresses
  /** Gossip addresses to join through. */
  readonly seeds: readonly string[]
  /** Secrets that peers share: the first signs, every one is accepted. */
  readonly secrets: readonly string[]
  /** Secrets that the admin address accepts; it is open where there are none. */
  readonly adminSecrets?: readonly string[]
  readonly runners: readonly Backend[]
  /** Addresses of the VM list; none leaves only the runners of the settings. */
  readonly vmList: readonly string[]
  readonly policy: RoutingPolicy
  /** Whether the engines refuse an order with an old fencing number. */
  readonly enginesCheckFencing: boolean
  readonly bodyLimits: BodyLimits
  readonly admission: AdmissionLimits
  /** Calls that one plain service takes at once. */
  readonly serviceSlots: number
  /** Time between the failing readiness and the refusal of new work. */
  readonly drainGrace: Millis
  /** Addresses of the key-value service; none leaves the configuration to peers or files. */
  readonly keyValue: readonly string[]
  /** Time that the outcome of an idempotency key is kept. */
  readonly keyRetention: Millis
  /** Writes a second that the whole fleet may send to the key-value service. */
  readonly storeWrites: number
  /** Configuration in a setup without a key-value service. */
  readonly fixedConfiguration: Configuration | null
  readonly log: Log
}
