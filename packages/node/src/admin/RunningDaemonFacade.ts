/** Reads the state of the running daemon for the admin server. */
import type { FailureDomain, Millis, NodeId } from '@bluebellhill/domain'
import { organisationOfValue } from '@bluebellhill/services'
import { MemberState, NodeState, RunnerState } from '@bluebellhill/protocol'
import type { ConfigurationStatus, LeaseStatus, MemberStatus, PlatformStatus, RunnerStatus } from '@bluebellhill/protocol'

import { monotonicNow } from '../clock/monotonic.js'
import type { ConfigurationService, InstalledVersion } from '../configuration/index.js'
import type { DispatchComponents } from '../daemon/dispatch.js'
import type { Placement } from '../daemon/placement.js'
import type { FleetComponents } from '../daemon/fleet.js'
import type { BaseComponents } from '../daemon/baseComponents.js'
import type { OwnedRunnerStatus } from '../dispatch/RunnerOwnership.js'
import type { Metrics } from '../metrics/index.js'
import type { RequestHost } from '../requests/RequestHost.js'
import type { TimeLine } from '../timeline/index.js'
import { DaemonFacade } from './DaemonFacade.js'

/** Components of the daemon that the admin server uses. */
export interface AdminDependencies {
  readonly foundation: BaseComponents
  readonly fleet: FleetComponents
  readonly dispatch: DispatchComponents
  readonly requests: RequestHost
  readonly configuration: ConfigurationService
  /** Null if the node is set up without a key-value service. */
  readonly placement: Placement | null
  readonly isReady: () => boolean
  /** Starts a planned stop. */
  readonly drain: () => void
  readonly version: string
}

/** Implements {@link DaemonFacade} with the components of the running daemon. */
export class RunningDaemonFacade extends DaemonFacade {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  readonly version: string
  readonly timeLine: TimeLine
  readonly metrics: Metrics
  readonly #dependencies: AdminDependencies

  constructor (dependencies: AdminDependencies) {
    super()
    const { options, timeLine, metrics } = dependencies.foundation
    this.node = options.node
    this.failureDomain = options.failureDomain
    this.version = dependencies.version
    this.timeLine = timeLine
    this.metrics = metrics
    this.#dependencies = dependencies
  }

  uptime (): Millis {
    return monotonicNow()
  }

  state (): NodeState {
    return this.#dependencies.isReady() ? NodeState.Ready : NodeState.Draining
  }

  requestsInProgress (): number {
    return this.#dependencies.requests.size
  }

  ordersQueued (): number {
    return this.#dependencies.dispatch.dispatcher.queuedOrders
  }

  members (): readonly MemberStatus[] {
    return this.#dependencies.fleet.membership.members().map((member) => ({
      node: member.node,
      failureDomain: member.failureDomain,
      state: memberState(member.state, member.leaving),
      incarnation: member.incarnation
    }))
  }

  configurations (): readonly ConfigurationStatus[] {
    return this.#dependencies.configuration.installedVersions().map(configurationStatus)
  }

  revisions (): ReadonlyMap<string, number> {
    return new Map(this.#dependencies.configuration.installedVersions().map(({ name, revision }) => [name, revision]))
  }

  platform (): readonly PlatformStatus[] {
    return [...this.#dependencies.foundation.platform.values()]
  }

  leases (): readonly LeaseStatus[] {
    return this.#dependencies.placement?.leases() ?? []
  }

  runners (): readonly RunnerStatus[] {
    return this.#dependencies.dispatch.ownership.statuses().map(runnerStatus)
  }

  drain (): void {
    this.#dependencies.drain()
  }
}

const configurationStatus = ({ name, revision, installedAt }: InstalledVersion): ConfigurationStatus => ({
  organisation: organisationOfValue(name),
  revision: String(revision),
  installedAt
})

const memberState = (state: 'alive' | 'suspect' | 'unreachable' | 'left', leaving: boolean): MemberState => {
  if (state === 'left') return MemberState.Gone
  return leaving && state === MemberState.Alive ? MemberState.Leaving : state
}

const runnerState = ({ backend, report, unreachable }: OwnedRunnerStatus): RunnerState => {
  if (unreachable) return RunnerState.Unreachable
  if (backend.leaving) return RunnerState.Leaving
  return report?.loading === true ? RunnerState.Loading : RunnerState.Ready
}

const runnerStatus = (owned: OwnedRunnerStatus): RunnerStatus => {
  const { backend, report, reportedAt } = owned
  return {
    runner: backend.id,
    address: backend.address,
    failureDomain: backend.failureDomain,
    state: runnerState(owned),
    model: report?.model ?? null,
    version: report?.version ?? null,
    role: backend.kind,
    slots: report?.slots ?? 0,
    running: report?.running ?? 0,
    waiting: report?.waiting ?? 0,
    freeTokens: report?.freeTokens ?? 0,
    totalTokens: report?.totalTokens ?? 0,
    prefillRate: report?.prefillRate ?? 0,
    decodeRate: report?.decodeRate ?? 0,
    reportAge: reportedAt === null ? null : monotonicNow() - reportedAt
  }
}
