/** A node's view of the fleet: members, summaries and leaving backend servers. */
import type { MemberState } from '@bluebellhill/domain'
import { HttpVmList } from '@bluebellhill/services'
import { EventKind } from '@bluebellhill/protocol'
import type { MemberState as RecordedState } from '@bluebellhill/protocol'

import { monotonicNow } from '../clock/monotonic.js'
import { parseEndpoint } from '../edge/listen.js'
import { LeavingRunners, MembershipService, SummaryExchange } from '../membership/index.js'
import type { Foundation } from './foundation.js'
import { VmListPoller } from './VmListPoller.js'

/** The parts that know the fleet. */
export interface Fleet {
  readonly membership: MembershipService
  readonly exchange: SummaryExchange
  readonly leaving: LeavingRunners
  readonly gossipAddress: string
}

/**
 * Joins the fleet.
 *
 * @param foundation - the node's foundation
 * @param peerAddress - where the node's gRPC server listens
 */
export const joinFleet = async (foundation: Foundation, peerAddress: string): Promise<Fleet> => {
  const { options, store } = foundation
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
  store.addStep(() => membership.dispose())
  recordMembers(foundation, membership)
  const exchange = store.add(new SummaryExchange(membership))
  exchange.start()
  const leaving = new LeavingRunners(membership)
  startVmList(foundation, membership, leaving)
  return { membership, exchange, leaving, gossipAddress }
}

const recordMembers = ({ timeLine }: Foundation, membership: MembershipService): void => {
  membership.onChange((change) => {
    if (change.type === 'self_distrusted') timeLine.record(EventKind.ProcessPaused, {}, 'the process did not run and trusts its timers again only after answers', { gap: change.gap })
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

const startVmList = (foundation: Foundation, membership: MembershipService, leaving: LeavingRunners): void => {
  const { options, pool, directory, store } = foundation
  if (options.vmList.length === 0) return
  const poller = new VmListPoller(new HttpVmList(pool, options.vmList), directory, membership, leaving)
  store.add(poller)
  poller.start()
}
