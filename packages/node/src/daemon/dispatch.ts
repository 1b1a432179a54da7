/** Builds a node's dispatcher and its client for the dispatchers of all nodes. */
import { randomInt } from 'node:crypto'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import { Dispatcher, Router } from '@bluebellhill/domain'

import { RoutedDispatchClient } from '../dispatch/RoutedDispatchClient.js'
import { DispatcherHost } from '../dispatch/DispatcherHost.js'
import { DispatcherViews } from '../dispatch/DispatcherViews.js'
import { RunnerOwnership } from '../dispatch/RunnerOwnership.js'
import { DRAIN_TOPIC_PREFIX, PlacedRunners, RunnerDrains } from '../placement/index.js'
import { BackendMonitorFactory, RendezvousOwnership, DispatchCommandSender } from './dispatchAdapters.js'
import type { RecallTarget } from './dispatchAdapters.js'
import type { FleetComponents } from './fleet.js'
import type { BaseComponents } from './baseComponents.js'

const EXCHANGE_INTERVAL_MS = 250
const RECONCILE_INTERVAL_MS = 1_000
const MAX_SEED = 0x7fffffff

/** Components that place requests on backend servers. */
export interface DispatchComponents {
  readonly dispatcher: DispatcherHost
  readonly ownership: RunnerOwnership
  readonly views: DispatcherViews
  readonly dispatchClient: RoutedDispatchClient
}

/**
 * Builds the dispatcher and starts the exchange of summaries with the other dispatchers.
 *
 * @param base - components that do not depend on the fleet
 * @param fleet - the node's view of the fleet
 * @param requests - returns the receiver of recalls for requests that entered at this node
 * @param onUnserved - called for a request whose model no dispatcher serves
 */
export const buildDispatch = (base: BaseComponents, fleet: FleetComponents, requests: () => RecallTarget, onUnserved: (model: string) => void): DispatchComponents => {
  const { options, store, directory, timeLine, metrics, peers } = base
  const { membership } = fleet
  const commandSender = new DispatchCommandSender({ directory, clients: base.backends, peers, membership, timeLine, requests })
  const dispatcher = store.add(new DispatcherHost(new Dispatcher({ node: options.node, policy: options.policy }), commandSender, timeLine, metrics, base.actors))
  const monitors = new BackendMonitorFactory(base.backends, options.serviceSlots)
  const ownershipRule = new RendezvousOwnership(membership, options.failureDomain)
  const ownership = store.add(new RunnerOwnership(options.failureDomain, directory, ownershipRule, monitors, dispatcher, timeLine, new PlacedRunners(membership)))
  const views = new DispatcherViews(membership, fleet.exchange, dispatcher)
  const generator = xoroshiro128plus(randomInt(MAX_SEED))
  const router = new Router({ random: () => uniformFloat64(generator) })
  const dispatchClient = new RoutedDispatchClient({ router, views, membership, directory, dispatcher, clients: peers, timeLine, onUnservedModel: onUnserved })
  subscribeToFleet(base, fleet, { dispatcher, ownership, views, dispatchClient })
  return { dispatcher, ownership, views, dispatchClient }
}

const subscribeToFleet = (base: BaseComponents, fleet: FleetComponents, components: DispatchComponents): void => {
  const { store, directory } = base
  const { membership, leavingRunners, exchange } = fleet
  const { ownership, dispatcher, views } = components
  const drains = new RunnerDrains(membership)
  const reconcile = (): void => {
    directory.replaceLeaving(leavingRunners.all())
    ownership.reconcile(drains.all())
  }
  store.addCleanup(directory.onChange(reconcile))
  store.addCleanup(membership.onChange((change) => {
    if (change.type === 'member_changed') reportLostEntry(components, change.member.node, change.member.state)
    if (change.type !== 'value_changed' || change.value.topic.startsWith('leaving/') || change.value.topic.startsWith(DRAIN_TOPIC_PREFIX)) reconcile()
  }))
  runPeriodically(base, RECONCILE_INTERVAL_MS, reconcile)
  runPeriodically(base, EXCHANGE_INTERVAL_MS, () => {
    exchange.publish(dispatcher.summaries())
    dispatcher.post({ type: 'peers_summarised', summaries: views.peerSummaries() })
  })
  reconcile()
}

const reportLostEntry = ({ dispatcher }: DispatchComponents, entry: Parameters<DispatcherHost['entryLost']>[0], state: string): void => {
  if (state === 'unreachable' || state === 'left') dispatcher.entryLost(entry)
}

const runPeriodically = ({ store }: BaseComponents, interval: number, callback: () => void): void => {
  const timer = setInterval(callback, interval)
  store.addCleanup(() => clearInterval(timer))
}
