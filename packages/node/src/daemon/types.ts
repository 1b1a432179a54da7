/** Options and addresses of the daemon. */
import type { FailureDomain, Millis, NodeId, RoutingPolicy } from '@bluebellhill/domain'

import type { Configuration } from '@bluebellhill/services'

import type { AdmissionLimits } from '../edge/Admission.js'
import type { BodyLimits } from '../edge/readBody.js'
import type { Backend } from '../dispatch/RunnerDirectory.js'
import type { Log } from '../log/index.js'

/** Addresses as `ip:port`; the system chooses a free port for port 0. */
export interface DaemonAddresses {
  readonly caller: string
  readonly peer: string
  readonly gossip: string
  readonly admin: string
}

/** Options with which a daemon is started. */
export interface DaemonOptions {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  readonly listen: DaemonAddresses
  /** Gossip addresses of nodes through which this node joins the fleet. */
  readonly seeds: readonly string[]
  /** Secrets that all nodes share: the first signs outgoing calls, and calls signed with any of them are accepted. */
  readonly secrets: readonly string[]
  /** Secrets that the admin address accepts; without any, it accepts calls without authentication. */
  readonly adminSecrets?: readonly string[]
  /** Backend servers named in the settings. */
  readonly runners: readonly Backend[]
  /** Addresses of the VM list; if empty, only the backend servers of the settings are used. */
  readonly vmList: readonly string[]
  readonly policy: RoutingPolicy
  /** Whether the engines refuse an engine command with an old fencing number. */
  readonly enginesCheckFencing: boolean
  readonly bodyLimits: BodyLimits
  readonly admission: AdmissionLimits
  /** Number of concurrent calls that one plain service accepts. */
  readonly serviceSlots: number
  /** Time between the failure of the readiness check and the refusal of new calls in a planned stop. */
  readonly drainGrace: Millis
  /** Addresses of the key-value service; if empty, the configuration comes from peers or files. */
  readonly keyValue: readonly string[]
  /** Time for which the outcome of an idempotency key is stored. */
  readonly keyRetention: Millis
  /** Writes per second of idempotency keys that the whole fleet may send to the key-value service. */
  readonly storeWrites: number
  /** Configuration from files, for a setup without a key-value service; null otherwise. */
  readonly fixedConfiguration: Configuration | null
  readonly log: Log
}
