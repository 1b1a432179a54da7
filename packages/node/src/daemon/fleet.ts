/** Joins the fleet and keeps the node's view of it: members, dispatcher summaries and leaving backend servers. */
import type { MemberState } from '@bluebellhill/domain'
import { HttpVmList } from '@bluebellhill/services'
import { EventKind } from '@bluebellhill/protocol'
import type { MemberState as RecordedState } from '@bluebellhill/protocol'

import { monotonicNow } from '../clock/monotonic.js'
import { parseEndpoint } from '../edge/listen.js'
import { LeavingRunners, MembershipService, SummaryExchange } from '../membership/index.js'
import type { BaseComponents } from './baseComponents.js'
import { VmListPoller } from './VmListPoller.js'

/** Components that provide the node's view of the fleet. */
export interface FleetComponents {
  readonly membership: MembershipService
  readonly exchange: SummaryExchange
  readonly leavingRunners: LeavingRunners
  readonly gossipAddress: string
}

/**
 * Joins the fleet over gossip and starts to poll the VM list if one is configured.
 *
 * @param base - components that do not depend on the fleet
 * @param peerAddress - `ip:port` on which the node's gRPC server listens
 */
export const joinFleet = async (base: BaseComponents, peerAddress: string): Promise<FleetComponents> => {
  const { options, store } = base
  const { host, port } = parseEndpoint(options.listen.gossip)
  const membership = new MembershipService({
    node: options.node,
    failureDomain: options.failureDomain,
    peerAddress,
    host,
    port,
    seeds: options.seeds,
    secrets: options.secrets,
    clock: monotonicNow,
    startedAt: Date.now()
  })
  const gossipAddress = await membership.start()
  store.addCleanup(() => membership.dispose())
  recordMemberChanges(base, membership)
  const exchange = store.add(new SummaryExchange(membership))
  exchange.start()
  const leavingRunners = new LeavingRunners(membership)
  startVmListPoller(base, membership, leavingRunners)
  return { membership, exchange, leavingRunners, gossipAddress }
}

const recordMemberChanges = ({ timeLine }: BaseComponents, membership: MembershipService): void => {
  membership.onChange((change) => {
    if (change.type === 'self_distrusted') timeLine.record(EventKind.ProcessPaused, {}, 'the process did not run; its timeouts are extended until other members answer its probes', { gap: change.gap })
    if (change.type !== 'member_changed') return
    const { member, previous, reason } = change
    timeLine.record(EventKind.MemberChanged, {}, reason, {
      member: member.node,
      from: previous === null ? null : recordedState(previous),
      to: member.leaving && member.state === 'alive' ? 'leaving' : recordedState(member.state),
      incarnation: member.incarnation
    })
  })
}

const recordedState = (state: MemberState): RecordedState => state === 'left' ? 'gone' : state

const startVmListPoller = (base: BaseComponents, membership: MembershipService, leavingRunners: LeavingRunners): void => {
  const { options, pool, directory, store } = base
  if (options.vmList.length === 0) return
  const poller = new VmListPoller(new HttpVmList(pool, options.vmList), directory, membership, leavingRunners)
  store.add(poller)
  poller.start()
}
