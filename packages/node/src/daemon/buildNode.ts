/** Builds the parts of a node and joins them. */
import { RetryBudget } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'
import { HttpKeyValueService } from '@bluebellhill/services'
import type { Configuration } from '@bluebellhill/services'
import { EventKind } from '@bluebellhill/protocol'

import { AdminServer } from '../admin/AdminServer.js'
import { RunningDaemonFacade } from '../admin/RunningDaemonFacade.js'
import type { AdminDependencies } from '../admin/RunningDaemonFacade.js'
import { monotonicNow } from '../clock/monotonic.js'
import { Admission } from '../edge/Admission.js'
import { AdmittedRequestExecutor } from '../edge/AdmittedRequestExecutor.js'
import { CallerServer } from '../edge/CallerServer.js'
import { OrganisationDirectory } from '../edge/OrganisationDirectory.js'
import type { IdempotencyService } from '../idempotency/index.js'
import { CountingKeyValueService } from '../metrics/index.js'
import { OrganisationLimits } from '../limits/index.js'
import { PeerServer } from '../peers/PeerServer.js'
import type { PeerServerParts } from '../peers/types.js'
import { CompletionSources } from '../requests/CompletionSource.js'
import { KeyedRuns } from '../requests/KeyedRuns.js'
import { RequestHost } from '../requests/RequestHost.js'
import { callerRoutes } from './callerRoutes.js'
import { keepConfiguration } from './configuration.js'
import { buildDispatch } from './dispatch.js'
import type { DispatchParts } from './dispatch.js'
import { keepKeys } from './keys.js'
import { keepPlacement } from './placement.js'
import type { Placement } from './placement.js'
import { joinFleet } from './fleet.js'
import type { Fleet } from './fleet.js'
import type { Foundation } from './foundation.js'
import type { DaemonAddresses } from './types.js'
import { VERSION } from './version.js'

const BLOCK_TOKENS = 256

const LONGEST_JOIN_MS = 5_000

/** Whether the node takes new work, and whether the balancer should send some. */
interface Doors {
  ready: boolean
  open: boolean
}

/** What a running node is made of. */
export interface NodeParts {
  readonly foundation: Foundation
  readonly fleet: Fleet
  /** Null in a setup without a key-value service. */
  readonly keys: IdempotencyService | null
  readonly requests: RequestHost
  readonly callers: CallerServer
  readonly addresses: DaemonAddresses
  readonly doors: Doors
  /** Emits `drain` when an operator asks for a planned stop. */
  readonly drain: EventTarget
}

/**
 * Builds a node on its foundation and joins the fleet.
 *
 * @param foundation - the node's foundation
 * @throws Error where an address cannot be bound
 */
export const buildNode = async (foundation: Foundation): Promise<NodeParts> => {
  const { options, store, timeLine } = foundation
  let serving: PeerServerParts | null = null
  const peerServer = store.add(new PeerServer(foundation.authenticator, () => serving))
  const peer = await peerServer.listen(options.listen.peer)
  const fleet = await joinFleet(foundation, peer)
  const keyValue = options.keyValue.length === 0 ? null : new CountingKeyValueService(new HttpKeyValueService(foundation.pool, options.keyValue), foundation.metrics)
  const keys = keyValue === null ? null : keepKeys(foundation, fleet, keyValue)
  const configuration = keepConfiguration(foundation, fleet, keyValue)
  let requests: RequestHost | null = null
  let placement: Placement | null = null
  const dispatch = buildDispatch(foundation, fleet, () => requests ?? NO_REQUESTS, (model) => placement?.unserved(model))
  requests = buildRequests(foundation, dispatch)
  serving = { dispatcher: dispatch.dispatcher, desk: dispatch.desk, requests, configuration: configuration.service, timeLine }
  placement = keyValue === null ? null : keepPlacement(foundation, fleet, dispatch, keyValue, configuration.current)
  const doors = { ready: true, open: true }
  const callers = buildCallers(foundation, configuration.current, store.add(new OrganisationLimits(options.node, fleet.membership, configuration.current)), dispatch, requests, new KeyedRuns(keys, timeLine), doors)
  const caller = await callers.listen(options.listen.caller)
  const drain = new EventTarget()
  const admin = await listenAdmin({ foundation, fleet, dispatch, requests, configuration: configuration.service, placement, isReady: () => doors.ready, drain: () => drain.dispatchEvent(new Event('drain')), version: VERSION })
  const addresses = { caller, peer, gossip: fleet.gossipAddress, admin }
  addGauges(foundation, fleet, requests, dispatch)
  timeLine.record(EventKind.NodeStarted, {}, '', { failureDomain: options.failureDomain, version: VERSION })
  options.log.info('node_started', { ...addresses })
  return { foundation, fleet, keys, requests, callers, addresses, doors, drain }
}

const addGauges = ({ metrics, timeLine }: Foundation, { membership }: Fleet, requests: RequestHost, { dispatcher }: DispatchParts): void => {
  metrics.addGauge('requests_in_progress', 'Requests in progress at this entry node', () => requests.size)
  metrics.addGauge('orders_queued', 'Orders that wait at this dispatcher', () => dispatcher.queued)
  metrics.addGauge('members_alive', 'Members that this node holds alive, itself included', () => membership.members().filter((member) => member.state === 'alive').length)
  metrics.addGauge('timeline_events', 'Events held by the time line', () => timeLine.size)
  metrics.addGauge('clock_distrusted_stamps', 'Stamps of peers that were too far ahead to be followed', () => timeLine.clock.rejected)
}

const NO_REQUESTS = { recall: () => false }

const buildRequests = ({ options, timeLine, metrics, actors }: Foundation, { desk }: DispatchParts): RequestHost =>
  new RequestHost(options.node, { retryBudget: new RetryBudget() }, { desk, timeLine, metrics }, actors)

const buildCallers = (foundation: Foundation, current: () => Configuration | null, organisationLimits: OrganisationLimits, dispatch: DispatchParts, requests: RequestHost, keyed: KeyedRuns, doors: Doors): CallerServer => {
  const startedAt = monotonicNow()
  const organisations = new OrganisationDirectory(current)
  const { options, timeLine, metrics, hasher, estimator, backends, store } = foundation
  const admission = new Admission({
    hasher,
    estimator,
    timeLine,
    limits: options.admission,
    organisationLimits,
    blockTokens: () => BLOCK_TOKENS,
    isAcceptingRequests: () => doors.open,
    requestsInProgress: () => requests.size
  })
  const routes = callerRoutes({
    organisations,
    admission,
    runner: new AdmittedRequestExecutor(requests, keyed),
    sources: new CompletionSources(backends.engine, estimator),
    clients: backends,
    limits: options.bodyLimits,
    unready: () => unreadyReason(organisations, doors, () => knowsFleet(organisations, dispatch, startedAt)),
    metrics
  })
  return store.add(new CallerServer(routes, timeLine, metrics))
}

const unreadyReason = (organisations: OrganisationDirectory, doors: Doors, fleetKnown: () => boolean): string | null => {
  if (!doors.ready) return 'the node is stopping'
  if (!organisations.hasConfiguration) return 'no configuration is in force yet'
  return fleetKnown() ? null : 'the dispatchers of the models are not known yet'
}

/** Whether each model has a dispatcher, or there was time enough to hear of one. */
const knowsFleet = (organisations: OrganisationDirectory, { views }: DispatchParts, startedAt: Millis): boolean =>
  monotonicNow() - startedAt > LONGEST_JOIN_MS || organisations.dispatchNames().every((name) => views.states(name).length > 0)

const listenAdmin = async (parts: AdminDependencies): Promise<string> => {
  const { store, options } = parts.foundation
  const server = store.add(new AdminServer(new RunningDaemonFacade(parts), options.adminSecrets ?? []))
  return await server.listen(options.listen.admin)
}
