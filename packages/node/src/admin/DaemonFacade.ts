/** What the admin address reads from the daemon. */
import type { FailureDomain, Millis, NodeId } from '@bluebellhill/domain'
import type { ConfigurationStatus, LeaseStatus, MemberStatus, NodeState, PlatformStatus, RunnerStatus } from '@bluebellhill/protocol'

import type { Metrics } from '../metrics/index.js'
import type { TimeLine } from '../timeline/index.js'

/** The daemon as its admin address sees it. */
export abstract class DaemonFacade {
  abstract readonly node: NodeId
  abstract readonly failureDomain: FailureDomain
  abstract readonly version: string
  abstract readonly timeLine: TimeLine
  abstract readonly metrics: Metrics

  /** Time since the node started. */
  abstract uptime (): Millis
  abstract state (): NodeState
  abstract requestsInProgress (): number
  abstract ordersQueued (): number
  abstract members (): readonly MemberStatus[]
  abstract configurations (): readonly ConfigurationStatus[]
  /** The revision in force of each configuration value. */
  abstract revisions (): ReadonlyMap<string, number>
  abstract platform (): readonly PlatformStatus[]
  abstract leases (): readonly LeaseStatus[]
  /** The runners that this node dispatches. */
  abstract runners (): readonly RunnerStatus[]

  /** Begins the planned stop; returns at once and may be called again. */
  abstract drain (): void
}
