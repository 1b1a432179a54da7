/** One running node. */
import { RetryBudget } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'
import { EventKind } from '@bluebellhill/protocol'
import { setTimeout as delay } from 'node:timers/promises'

import { AdminServer } from '../admin/AdminServer.js'
import { DaemonSources } from '../admin/DaemonSources.js'
import type { AdminParts } from '../admin/DaemonSources.js'
import { monotonicNow } from '../clock/monotonic.js'
import { Admission } from '../edge/Admission.js'
import { CallerServer } from '../edge/CallerServer.js'
import { PeerServer } from '../peers/PeerServer.js'
import type { PeerServerParts } from '../peers/PeerServer.js'
import { CompletionSources } from '../requests/CompletionSource.js'
import { RequestHost } from '../requests/RequestHost.js'
import { callerRoutes } from './callerRoutes.js'
import { buildDispatch } from './dispatch.js'
import type { DispatchParts } from './dispatch.js'
import { joinFleet } from './fleet.js'
import type { Fleet } from './fleet.js'
import { buildFoundation } from './foundation.js'
import type { Foundation } from './foundation.js'
import type { DaemonAddresses, DaemonOptions } from './types.js'

/** Version that the daemon reports. */
export const VERSION = '0.1.0'

const BLOCK_TOKENS = 256

const LONGEST_JOIN_MS = 5_000

/** Whether the node takes new work, and whether the balancer should send some. */
interface Doors {
  ready: boolean
  open: boolean
}

interface NodeParts {
  readonly foundation: Foundation
  readonly fleet: Fleet
  readonly requests: RequestHost
  readonly callers: CallerServer
  readonly addresses: DaemonAddresses
  readonly doors: Doors
  /** Emits `drain` when an operator asks for a planned stop. */
  readonly drain: EventTarget
}

/** A node that is in service until it is stopped. */
export class Daemon {
  readonly #parts: NodeParts
  #stopping: Promise<void> | null = null

  private constructor (parts: NodeParts) {
    this.#parts = parts
    parts.drain.addEventListener('drain', () => { void this.stop() }, { once: true })
  }

  /**
   * Builds a node and joins the fleet.
   *
   * @param options - what it is started with
   * @throws Error where an address cannot be bound
   */
  static async start (options: DaemonOptions): Promise<Daemon> {
    const foundation = await buildFoundation(options)
    try {
      return new Daemon(await buildNode(foundation))
    } catch (error) {
      await foundation.store.dispose()
      throw error
    }
  }

  /** Addresses in use. */
  get addresses (): DaemonAddresses {
    return this.#parts.addresses
  }

  /**
   * Stops in order: readiness fails, new work is refused, requests in progress finish, then everything closes.
   *
   * @returns resolves when all is closed; further calls wait for the first
   */
  stop (): Promise<void> {
    this.#stopping ??= this.#stop()
    return this.#stopping
  }

  async #stop (): Promise<void> {
    const { foundation, fleet, requests, callers, doors } = this.#parts
    const { timeLine, options, store } = foundation
    timeLine.record(EventKind.NodeStopping, {}, 'planned stop', { inProgress: requests.size })
    options.log.info('node_stopping', { in_progress: requests.size })
    doors.ready = false
    fleet.membership.leave()
    await delay(options.drainGrace)
    doors.open = false
    callers.stopListening()
    await requests.idle()
    timeLine.record(EventKind.NodeStopped, {}, '', {})
    options.log.info('node_stopped', {})
    await store.dispose()
  }
}

const buildNode = async (foundation: Foundation): Promise<NodeParts> => {
  const { options, store, timeLine } = foundation
  let serving: PeerServerParts | null = null
  const peerServer = store.add(new PeerServer(foundation.authenticator, () => serving))
  const peer = await peerServer.listen(options.listen.peer)
  const fleet = await joinFleet(foundation, peer)
  let requests: RequestHost | null = null
  const dispatch = buildDispatch(foundation, fleet, () => requests ?? NO_REQUESTS)
  requests = buildRequests(foundation, dispatch)
  serving = { dispatcher: dispatch.dispatcher, desk: dispatch.desk, requests, timeLine }
  const doors = { ready: true, open: true }
  const callers = buildCallers(foundation, dispatch, requests, doors)
  const caller = await callers.listen(options.listen.caller)
  const drain = new EventTarget()
  const admin = await listenAdmin({ foundation, fleet, dispatch, requests, isReady: () => doors.ready, drain: () => drain.dispatchEvent(new Event('drain')), version: VERSION })
  const addresses = { caller, peer, gossip: fleet.gossipAddress, admin }
  addGauges(foundation, fleet, requests, dispatch)
  timeLine.record(EventKind.NodeStarted, {}, '', { failureDomain: options.failureDomain, version: VERSION })
  options.log.info('node_started', { ...addresses })
  return { foundation, fleet, requests, callers, addresses, doors, drain }
}

const addGauges = ({ metrics, timeLine }: Foundation, { membership }: Fleet, requests: RequestHost, { dispatcher }: DispatchParts): void => {
  metrics.gauge('requests_in_progress', 'Requests in progress at this entry node', () => requests.size)
  metrics.gauge('orders_queued', 'Orders that wait at this dispatcher', () => dispatcher.queued)
  metrics.gauge('members_alive', 'Members that this node holds alive, itself included', () => membership.members().filter((member) => member.state === 'alive').length)
  metrics.gauge('timeline_events', 'Events held by the time line', () => timeLine.size)
  metrics.gauge('clock_distrusted_stamps', 'Stamps of peers that were too far ahead to be followed', () => timeLine.clock.rejected)
}

const NO_REQUESTS = { recall: () => false }

const buildRequests = ({ options, timeLine, metrics, actors }: Foundation, { desk }: DispatchParts): RequestHost =>
  new RequestHost(options.node, { retryBudget: new RetryBudget() }, { desk, timeLine, metrics }, actors)

const buildCallers = (foundation: Foundation, dispatch: DispatchParts, requests: RequestHost, doors: Doors): CallerServer => {
  const startedAt = monotonicNow()
  const { options, timeLine, metrics, hasher, estimator, backends, store } = foundation
  const admission = new Admission({
    hasher,
    estimator,
    timeLine,
    limits: options.admission,
    blockTokens: () => BLOCK_TOKENS,
    isOpen: () => doors.open,
    inProgress: () => requests.size
  })
  const routes = callerRoutes({
    organisations: options.organisations,
    admission,
    requests,
    sources: new CompletionSources(backends.engine, estimator),
    clients: backends,
    limits: options.bodyLimits,
    unready: () => unreadyReason(options, doors, () => knowsFleet(foundation, dispatch, startedAt)),
    metrics
  })
  return store.add(new CallerServer(routes, timeLine, metrics))
}

const unreadyReason = (options: DaemonOptions, doors: Doors, fleetKnown: () => boolean): string | null => {
  if (!doors.ready) return 'the node is stopping'
  if (!options.organisations.ready) return 'no configuration is in force yet'
  return fleetKnown() ? null : 'the dispatchers of the models are not known yet'
}

/** Whether each model has a dispatcher, or there was time enough to hear of one. */
const knowsFleet = ({ options }: Foundation, { views }: DispatchParts, startedAt: Millis): boolean =>
  monotonicNow() - startedAt > LONGEST_JOIN_MS || options.organisations.dispatchNames().every((name) => views.states(name).length > 0)

const listenAdmin = async (parts: AdminParts): Promise<string> => {
  const { store, options } = parts.foundation
  const server = store.add(new AdminServer(new DaemonSources(parts), options.adminSecrets ?? []))
  return await server.listen(options.listen.admin)
}
