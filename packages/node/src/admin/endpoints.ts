/** Every endpoint of the admin interface. */
import { AdminPath, encodeStamp, NodeState } from '@bluebellhill/protocol'
import type { DrainReply, MemberState, MemberStatus, RunnersReply, RunnerStatus, StatusReply } from '@bluebellhill/protocol'

import { monotonicNow } from '../clock/monotonic.js'
import type { DispatchParts } from '../daemon/dispatch.js'
import type { Fleet } from '../daemon/fleet.js'
import type { Foundation } from '../daemon/foundation.js'
import type { OwnedStatus } from '../dispatch/RunnerOwnership.js'
import type { RequestHost } from '../requests/RequestHost.js'
import { histogramsReply, timeLineReply } from '../timeline/index.js'
import type { AdminEndpoint } from './AdminServer.js'

/** What the endpoints read. */
export interface AdminParts {
  readonly foundation: Foundation
  readonly fleet: Fleet
  readonly dispatch: DispatchParts
  readonly requests: RequestHost
  readonly isReady: () => boolean
  /** Begins a planned stop. */
  readonly drain: () => void
  readonly version: string
}

/**
 * Lists the endpoints.
 *
 * @param parts - what they read
 */
export const adminEndpoints = (parts: AdminParts): readonly AdminEndpoint[] => {
  const { foundation } = parts
  const { options, timeLine, metrics } = foundation
  return [
    { method: 'GET', path: AdminPath.TimeLine, answer: ({ query }) => timeLineReply(timeLine, options.failureDomain, query) },
    { method: 'GET', path: AdminPath.Histograms, answer: () => histogramsReply(metrics, options.node, options.failureDomain, monotonicNow()) },
    { method: 'GET', path: AdminPath.Status, answer: () => statusReply(parts) },
    { method: 'GET', path: AdminPath.Runners, answer: () => runnersReply(parts) },
    { method: 'POST', path: AdminPath.Drain, answer: () => drainReply(parts) }
  ]
}

const statusReply = (parts: AdminParts): StatusReply => {
  const { foundation, fleet, requests, dispatch } = parts
  const { options, timeLine } = foundation
  return {
    node: options.node,
    failureDomain: options.failureDomain,
    version: parts.version,
    state: stateOf(parts),
    uptime: monotonicNow(),
    requestsInProgress: requests.size,
    ordersQueued: dispatch.dispatcher.queued,
    members: memberStatuses(fleet),
    configurations: [],
    platform: [],
    leases: [],
    clock: encodeStamp(timeLine.clock.now()),
    distrustedStamps: 0,
    memoryBytes: process.memoryUsage.rss()
  }
}

const stateOf = ({ isReady }: AdminParts): NodeState => isReady() ? NodeState.Ready : NodeState.Draining

const memberStatuses = ({ membership }: Fleet): MemberStatus[] => membership.members().map((member) => ({
  node: member.node,
  failureDomain: member.failureDomain,
  state: memberState(member.state, member.leaving),
  incarnation: member.incarnation
}))

const memberState = (state: 'alive' | 'suspect' | 'unreachable' | 'left', leaving: boolean): MemberState => {
  if (state === 'left') return 'gone'
  return leaving && state === 'alive' ? 'leaving' : state
}

const runnersReply = ({ foundation, dispatch }: AdminParts): RunnersReply => ({
  node: foundation.options.node,
  failureDomain: foundation.options.failureDomain,
  runners: dispatch.ownership.statuses().map(runnerStatus)
})

const runnerStatus = ({ backend, report, reportedAt, unreachable }: OwnedStatus): RunnerStatus => ({
  runner: backend.id,
  address: backend.address,
  failureDomain: backend.failureDomain,
  state: unreachable ? 'unreachable' : backend.leaving ? 'leaving' : report?.loading === true ? 'loading' : 'ready',
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
})

const drainReply = (parts: AdminParts): DrainReply => {
  parts.drain()
  return { node: parts.foundation.options.node, state: NodeState.Draining, requestsInProgress: parts.requests.size }
}
