/** A node's dispatcher and the way to all others. */
import { randomInt } from 'node:crypto'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import { Dispatcher, Router } from '@bluebellhill/domain'

import { RoutedDispatchClient } from '../dispatch/RoutedDispatchClient.js'
import { DispatcherHost } from '../dispatch/DispatcherHost.js'
import { DispatcherViews } from '../dispatch/DispatcherViews.js'
import { RunnerOwnership } from '../dispatch/RunnerOwnership.js'
import { DRAIN_TOPIC_PREFIX, PlacedRunners, RunnerDrains } from '../placement/index.js'
import { BackendMonitors, MemberOwnership, PeerReach } from './adapters.js'
import type { OwnRequests } from './adapters.js'
import type { Fleet } from './fleet.js'
import type { Foundation } from './foundation.js'

const EXCHANGE_INTERVAL_MS = 250
const RECONCILE_INTERVAL_MS = 1_000
const MAX_SEED = 0x7fffffff

/** The parts that place work. */
export interface DispatchParts {
  readonly dispatcher: DispatcherHost
  readonly ownership: RunnerOwnership
  readonly views: DispatcherViews
  readonly desk: RoutedDispatchClient
}

/**
 * Builds the dispatcher and starts to exchange summaries.
 *
 * @param foundation - the node's foundation
 * @param fleet - its view of the fleet
 * @param requests - the node's own requests, which recalls may speak of
 * @param unserved - told of a request for a model that no dispatcher serves
 */
export const buildDispatch = (foundation: Foundation, fleet: Fleet, requests: () => OwnRequests, unserved: (model: string) => void): DispatchParts => {
  const { options, store, directory, timeLine, metrics, peers } = foundation
  const { membership } = fleet
  const reach = new PeerReach({ directory, clients: foundation.backends, peers, membership, timeLine, requests })
  const dispatcher = store.add(new DispatcherHost(new Dispatcher({ node: options.node, policy: options.policy }), reach, timeLine, metrics, foundation.actors))
  const monitors = new BackendMonitors(foundation.backends, options.serviceSlots)
  const rule = new MemberOwnership(membership, options.failureDomain)
  const ownership = store.add(new RunnerOwnership(options.failureDomain, directory, rule, monitors, dispatcher, timeLine, new PlacedRunners(membership)))
  const views = new DispatcherViews(membership, fleet.exchange, dispatcher)
  const generator = xoroshiro128plus(randomInt(MAX_SEED))
  const router = new Router({ random: () => uniformFloat64(generator) })
  const desk = new RoutedDispatchClient({ router, views, membership, directory, dispatcher, clients: peers, timeLine, onUnservedModel: unserved })
  followFleet(foundation, fleet, { dispatcher, ownership, views, desk })
  return { dispatcher, ownership, views, desk }
}

const followFleet = (foundation: Foundation, fleet: Fleet, parts: DispatchParts): void => {
  const { store, directory } = foundation
  const { membership, leaving, exchange } = fleet
  const { ownership, dispatcher, views } = parts
  const drains = new RunnerDrains(membership)
  const reconcile = (): void => {
    directory.replaceLeaving(leaving.all())
    ownership.reconcile(drains.all())
  }
  store.addStep(directory.onChange(reconcile))
  store.addStep(membership.onChange((change) => {
    if (change.type === 'member_changed') followMember(parts, change.member.node, change.member.state)
    if (change.type !== 'value_changed' || change.value.topic.startsWith('leaving/') || change.value.topic.startsWith(DRAIN_TOPIC_PREFIX)) reconcile()
  }))
  every(foundation, RECONCILE_INTERVAL_MS, reconcile)
  every(foundation, EXCHANGE_INTERVAL_MS, () => {
    exchange.publish(dispatcher.summaries())
    dispatcher.post({ type: 'peers_summarised', summaries: views.peerSummaries() })
  })
  reconcile()
}

const followMember = ({ dispatcher }: DispatchParts, entry: Parameters<DispatcherHost['entryLost']>[0], state: string): void => {
  if (state === 'unreachable' || state === 'left') dispatcher.entryLost(entry)
}

const every = ({ store }: Foundation, interval: number, step: () => void): void => {
  const timer = setInterval(step, interval)
  store.addStep(() => clearInterval(timer))
}
