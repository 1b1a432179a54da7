/** Interface through which the admin server reads the state of the daemon and drains it. */
import type { FailureDomain, Millis, NodeId } from '@bluebellhill/domain'
import type { ConfigurationStatus, LeaseStatus, MemberStatus, NodeState, PlatformStatus, RunnerStatus } from '@bluebellhill/protocol'

import type { Metrics } from '../metrics/index.js'
import type { TimeLine } from '../timeline/index.js'

/** State and control of a daemon for the admin server. */
export abstract class DaemonFacade {
  abstract readonly node: NodeId
  abstract readonly failureDomain: FailureDomain
  abstract readonly version: string
  abstract readonly timeLine: TimeLine
  abstract readonly metrics: Metrics

  /** Returns the time since the node started. */
  abstract uptime (): Millis
  abstract state (): NodeState
  abstract requestsInProgress (): number
  abstract ordersQueued (): number
  abstract members (): readonly MemberStatus[]
  abstract configurations (): readonly ConfigurationStatus[]
  /** Returns the revision in force of each configuration value, by the name of the value. */
  abstract revisions (): ReadonlyMap<string, number>
  abstract platform (): readonly PlatformStatus[]
  abstract leases (): readonly LeaseStatus[]
  /** Returns the runners for which this node is the dispatcher. */
  abstract runners (): readonly RunnerStatus[]

  /** Starts the planned stop and returns at once; may be called repeatedly. */
  abstract drain (): void
}
