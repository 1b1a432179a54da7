/** Builds the components of a node and connects them. */
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
import type { PeerHandlerContext } from '../peers/types.js'
import { CompletionSourceFactory } from '../requests/CompletionSource.js'
import { KeyedRequestRunner } from '../requests/KeyedRequestRunner.js'
import { RequestHost } from '../requests/RequestHost.js'
import { callerRoutes } from './callerRoutes.js'
import { startConfiguration } from './configuration.js'
import { buildDispatch } from './dispatch.js'
import type { DispatchComponents } from './dispatch.js'
import { startIdempotency } from './idempotency.js'
import { startPlacement } from './placement.js'
import type { Placement } from './placement.js'
import { joinFleet } from './fleet.js'
import type { FleetComponents } from './fleet.js'
import type { BaseComponents } from './baseComponents.js'
import type { DaemonAddresses } from './types.js'
import { VERSION } from './version.js'

/** Tokens in one block of an engine's prefix cache. */
const BLOCK_TOKENS = 256

/** Time after the start from which the node reports itself ready even if a model has no known dispatcher. */
const MAX_JOIN_WAIT_MS = 5_000

/** Whether the load balancer may send calls to the node and whether the node accepts them. */
interface Availability {
  /** False once a planned stop has started: the readiness check fails, so that the load balancer sends no new calls. */
  isReady: boolean
  /** False once the drain grace has passed: new calls are refused. */
  acceptsRequests: boolean
}

/** Components of a running node. */
export interface NodeComponents {
  readonly base: BaseComponents
  readonly fleet: FleetComponents
  /** Null in a setup without a key-value service. */
  readonly idempotency: IdempotencyService | null
  readonly requests: RequestHost
  readonly callers: CallerServer
  readonly addresses: DaemonAddresses
  readonly availability: Availability
  /** Emits `drain` when an operator requests a planned stop. */
  readonly drain: EventTarget
}

/**
 * Builds a node and joins the fleet.
 *
 * @param base - components that do not depend on the fleet
 * @throws Error if an address cannot be bound
 */
export const buildNode = async (base: BaseComponents): Promise<NodeComponents> => {
  const { options, store, timeLine } = base
  let handlerContext: PeerHandlerContext | null = null
  const peerServer = store.add(new PeerServer(base.authenticator, () => handlerContext))
  const peerAddress = await peerServer.listen(options.listen.peer)
  const fleet = await joinFleet(base, peerAddress)
  const keyValue = options.keyValue.length === 0 ? null : new CountingKeyValueService(new HttpKeyValueService(base.pool, options.keyValue), base.metrics)
  const idempotency = keyValue === null ? null : startIdempotency(base, fleet, keyValue)
  const configuration = startConfiguration(base, fleet, keyValue)
  let requests: RequestHost | null = null
  let placement: Placement | null = null
  const dispatch = buildDispatch(base, fleet, () => requests ?? NO_REQUESTS, (model) => placement?.reportUnserved(model))
  requests = buildRequests(base, dispatch)
  handlerContext = { dispatcher: dispatch.dispatcher, dispatchClient: dispatch.dispatchClient, requests, configuration: configuration.service, timeLine }
  placement = keyValue === null ? null : startPlacement(base, fleet, dispatch, keyValue, configuration.current)
  const availability = { isReady: true, acceptsRequests: true }
  const callers = buildCallers(base, configuration.current, store.add(new OrganisationLimits(options.node, fleet.membership, configuration.current)), dispatch, requests, new KeyedRequestRunner(idempotency, timeLine), availability)
  const callerAddress = await callers.listen(options.listen.caller)
  const drain = new EventTarget()
  const adminAddress = await listenAdmin({ foundation: base, fleet, dispatch, requests, configuration: configuration.service, placement, isReady: () => availability.isReady, drain: () => drain.dispatchEvent(new Event('drain')), version: VERSION })
  const addresses = { caller: callerAddress, peer: peerAddress, gossip: fleet.gossipAddress, admin: adminAddress }
  addGauges(base, fleet, requests, dispatch)
  timeLine.record(EventKind.NodeStarted, {}, '', { failureDomain: options.failureDomain, version: VERSION })
  options.log.info('node_started', { ...addresses })
  return { base, fleet, idempotency, requests, callers, addresses, availability, drain }
}

const addGauges = ({ metrics, timeLine }: BaseComponents, { membership }: FleetComponents, requests: RequestHost, { dispatcher }: DispatchComponents): void => {
  metrics.addGauge('requests_in_progress', 'Requests in progress at this entry node', () => requests.size)
  metrics.addGauge('orders_queued', 'Orders that wait at this dispatcher', () => dispatcher.queuedOrders)
  metrics.addGauge('members_alive', 'Members that this node holds alive, itself included', () => membership.members().filter((member) => member.state === 'alive').length)
  metrics.addGauge('timeline_events', 'Events held by the time line', () => timeLine.size)
  metrics.addGauge('clock_distrusted_stamps', 'Stamps of peers that were too far ahead to be followed', () => timeLine.clock.rejected)
}

/** Used until the request host is built: no attempt is in progress. */
const NO_REQUESTS = { recall: () => false }

const buildRequests = ({ options, timeLine, metrics, actors }: BaseComponents, { dispatchClient }: DispatchComponents): RequestHost =>
  new RequestHost(options.node, { retryBudget: new RetryBudget() }, { dispatchClient, timeLine, metrics }, actors)

const buildCallers = (base: BaseComponents, current: () => Configuration | null, organisationLimits: OrganisationLimits, dispatch: DispatchComponents, requests: RequestHost, keyedRuns: KeyedRequestRunner, availability: Availability): CallerServer => {
  const startedAt = monotonicNow()
  const organisations = new OrganisationDirectory(current)
  const { options, timeLine, metrics, hasher, estimator, backends, store } = base
  const admission = new Admission({
    hasher,
    estimator,
    timeLine,
    limits: options.admission,
    organisationLimits,
    blockTokens: () => BLOCK_TOKENS,
    isAcceptingRequests: () => availability.acceptsRequests,
    requestsInProgress: () => requests.size
  })
  const routes = callerRoutes({
    organisations,
    admission,
    runner: new AdmittedRequestExecutor(requests, keyedRuns),
    sources: new CompletionSourceFactory(backends.engine, estimator),
    clients: backends,
    limits: options.bodyLimits,
    unreadyReason: () => unreadyReason(organisations, availability, () => canDispatch(organisations, dispatch, startedAt)),
    metrics
  })
  return store.add(new CallerServer(routes, timeLine, metrics))
}

const unreadyReason = (organisations: OrganisationDirectory, availability: Availability, hasDispatchers: () => boolean): string | null => {
  if (!availability.isReady) return 'the node is stopping'
  if (!organisations.hasConfiguration) return 'no configuration is in force yet'
  return hasDispatchers() ? null : 'the dispatchers of the models are not known yet'
}

/** Whether every model and plain service has a known dispatcher, or `MAX_JOIN_WAIT_MS` have passed since the start. */
const canDispatch = (organisations: OrganisationDirectory, { views }: DispatchComponents, startedAt: Millis): boolean =>
  monotonicNow() - startedAt > MAX_JOIN_WAIT_MS || organisations.dispatchNames().every((name) => views.states(name).length > 0)

const listenAdmin = async (parts: AdminDependencies): Promise<string> => {
  const { store, options } = parts.foundation
  const server = store.add(new AdminServer(new RunningDaemonFacade(parts), options.adminSecrets ?? []))
  return await server.listen(options.listen.admin)
}
