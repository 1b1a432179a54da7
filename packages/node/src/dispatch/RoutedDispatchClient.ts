/** Sends dispatch orders to the dispatcher that the router chooses: this node's own or a peer's. */
import { Metadata, status } from '@grpc/grpc-js'
import type { ServiceError } from '@grpc/grpc-js'
import { hashText, isReachable, OutcomeKind, ownerOf } from '@bluebellhill/domain'
import type { DispatchOrder, FailureDomain, Member, NodeId, RoutingCriteria, Router, RoutingRefusal, RunnerId } from '@bluebellhill/domain'
import { EventKind } from '@bluebellhill/protocol'
import type { AcquireReply, Grant as GrantMessage } from '@bluebellhill/protocol'

import { monotonicNow } from '../clock/monotonic.js'
import type { MembershipService } from '../membership/index.js'
import type { PeerClients } from '../peers/PeerClients.js'
import { encodeOrder } from '../peers/orderMessage.js'
import { DispatchClient } from '../requests/DispatchClient.js'
import type { AttemptProgress, OrderResult } from '../requests/DispatchClient.js'
import type { TimeLine } from '../timeline/index.js'
import type { DispatcherHost } from './DispatcherHost.js'
import { failureDomainOf } from './DispatcherViews.js'
import type { DispatcherViews } from './DispatcherViews.js'
import type { RunnerDirectory } from './RunnerDirectory.js'

const REPORT_TIMEOUT_MS = 2_000
const EMPTY_REPLY_RETRY_AFTER_MS = 1_000

/** Dependencies of {@link RoutedDispatchClient}. */
export interface DispatchClientDependencies {
  readonly router: Router
  readonly views: DispatcherViews
  readonly membership: MembershipService
  readonly directory: RunnerDirectory
  readonly dispatcher: DispatcherHost
  readonly clients: PeerClients
  readonly timeLine: TimeLine
  /** Called when an order asks for a model that no dispatcher serves. */
  readonly onUnservedModel: (model: string) => void
}

/** Dispatch client of one entry node: routes each order and calls the chosen dispatcher locally or over gRPC. */
export class RoutedDispatchClient extends DispatchClient {
  readonly #dependencies: DispatchClientDependencies
  /** Orders that wait for the reply of a peer, by the peer; each is given up by calling its function. */
  readonly #pendingOrders = new Map<NodeId, Set<() => void>>()
  #workerCounter = 0

  constructor (dependencies: DispatchClientDependencies) {
    super()
    this.#dependencies = dependencies
    dependencies.membership.onChange((change) => {
      if (change.type === 'member_changed' && !isReachable(change.member)) this.#giveUpOrdersAt(change.member.node)
    })
  }

  async acquire (order: DispatchOrder, avoid: readonly NodeId[], signal: AbortSignal): Promise<OrderResult> {
    return await this.#acquireFromOneOf(order, avoid, signal, this.#dependencies.views.states(order.model))
  }

  /**
   * Acquires a grant for an order that spilled over from another failure domain. Asks dispatchers of this failure domain only.
   *
   * @param order - the dispatch order
   * @param signal - withdraws the order when aborted
   */
  async acquireInOwnDomain (order: DispatchOrder, signal: AbortSignal): Promise<OrderResult> {
    const own = this.#dependencies.membership.me().failureDomain
    const states = this.#dependencies.views.states(order.model).filter((state) => state.failureDomain === own)
    return await this.#acquireFromOneOf(order, [], signal, states)
  }

  async report (progress: AttemptProgress): Promise<boolean> {
    const owner = this.#findOwner(progress.runner)
    if (owner === null) return false
    if (owner.node === this.#dependencies.membership.me().node) {
      this.#dependencies.dispatcher.post({ type: 'progressed', ...progress })
      return false
    }
    return await this.#reportToPeer(owner, progress)
  }

  async #acquireFromOneOf (order: DispatchOrder, avoid: readonly NodeId[], signal: AbortSignal, states: Parameters<Router['choose']>[1]): Promise<OrderResult> {
    const { router, membership, timeLine } = this.#dependencies
    const me = membership.me()
    const chosen = router.choose(routingCriteriaOf(order), states, me.failureDomain, avoid, monotonicNow())
    const subject = { request: order.request, attempt: order.attempt, organisation: order.organisation }
    if (typeof chosen !== 'string') {
      timeLine.record(EventKind.OrderRefused, subject, chosen.reason, { entry: order.entry, code: chosen.kind, retryAfter: chosen.retryAfter })
      if (chosen.kind === OutcomeKind.NoRunner) this.#dependencies.onUnservedModel(order.model)
      return routerRefusal(chosen)
    }
    timeLine.record(EventKind.OrderSought, subject, describeRoute(chosen, me), {
      dispatcher: chosen,
      excluded: order.excluded,
      remaining: order.remaining
    })
    if (chosen === me.node) return await this.acquireLocally(order, signal)
    const peer = this.#findPeer(chosen)
    if (peer === undefined) return { type: 'lost', dispatcher: chosen, reason: 'no live member to send the order to' }
    return await this.#acquireFromPeer(peer, chosen, order, signal)
  }

  /**
   * Acquires a grant from this node's own dispatcher, without routing.
   *
   * @param order - the dispatch order
   * @param signal - withdraws the order when aborted
   */
  async acquireLocally (order: DispatchOrder, signal: AbortSignal): Promise<OrderResult> {
    const dispatcher = this.#dependencies.membership.me().node
    const reply = await this.#dependencies.dispatcher.acquire(order, signal)
    if (reply.type === 'refused') return { ...reply, dispatcher }
    const { grant } = reply
    return { type: 'granted', dispatcher, grant, address: this.#addressOf(grant.runner), groupAddresses: grant.group.map((member) => this.#addressOf(member)) }
  }

  #addressOf (runner: RunnerId): string {
    return this.#dependencies.directory.find(runner)?.address ?? ''
  }

  #findPeer (chosen: NodeId): Member | undefined {
    const failureDomain = failureDomainOf(chosen)
    const { membership } = this.#dependencies
    if (failureDomain === null) return membership.members().find((member) => member.node === chosen && isReachable(member))
    return this.#nextWorker(failureDomain)
  }

  #nextWorker (failureDomain: FailureDomain): Member | undefined {
    const workers = this.#dependencies.membership.membersAcceptingWork(failureDomain)
    this.#workerCounter += 1
    return workers[this.#workerCounter % Math.max(1, workers.length)]
  }

  #acquireFromPeer (peer: Member, chosen: NodeId, order: DispatchOrder, signal: AbortSignal): Promise<OrderResult> {
    const { clients, membership, timeLine } = this.#dependencies
    return new Promise((resolve) => {
      const deadline = Date.now() + order.remaining
      const message = { order: encodeOrder(order), clock: timeLine.stampOutgoing(), direct: failureDomainOf(chosen) === null }
      const settle = (result: OrderResult): void => {
        this.#pendingOrders.get(peer.node)?.delete(giveUp)
        resolve(result)
      }
      const call = clients.dispatcher(peer.peerAddress).acquire(message, new Metadata(), { deadline }, (error, reply) => {
        if (error !== null) {
          if (isConnectionError(error)) membership.callFailed(peer.node)
          return settle({ type: 'lost', dispatcher: chosen, reason: error.details })
        }
        timeLine.stampReceived(reply.clock, peer.node)
        settle(decodeReply(order, chosen, reply))
      })
      const giveUp = (): void => {
        settle({ type: 'lost', dispatcher: chosen, reason: 'the dispatcher became unreachable' })
        call.cancel()
      }
      this.#addPendingOrder(peer.node, giveUp)
      signal.addEventListener('abort', () => call.cancel(), { once: true })
    })
  }

  #addPendingOrder (peer: NodeId, giveUp: () => void): void {
    const pending = this.#pendingOrders.get(peer) ?? new Set()
    pending.add(giveUp)
    this.#pendingOrders.set(peer, pending)
  }

  /** Connecting to a paused process succeeds, and the call then waits for its settings until the deadline of the order. */
  #giveUpOrdersAt (peer: NodeId): void {
    const pending = this.#pendingOrders.get(peer) ?? []
    this.#pendingOrders.delete(peer)
    for (const giveUp of pending) giveUp()
  }

  #findOwner (runner: RunnerId): Member | null {
    const { membership, directory } = this.#dependencies
    const backend = directory.find(runner)
    if (backend === undefined) return null
    const members = membership.members().filter((member) => member.failureDomain === backend.failureDomain)
    const owner = ownerOf(runner, members, hashText)
    return members.find((member) => member.node === owner) ?? null
  }

  #reportToPeer (owner: Member, progress: AttemptProgress): Promise<boolean> {
    const { clients, timeLine } = this.#dependencies
    const { attempt, runner, kind, generated, order } = progress
    return new Promise((resolve) => {
      const message = { attempt, runner, kind, generated, order: encodeOrder(order), clock: timeLine.stampOutgoing() }
      clients.dispatcher(owner.peerAddress).progress(message, new Metadata(), { deadline: Date.now() + REPORT_TIMEOUT_MS }, (error, reply) => {
        if (error !== null) return resolve(false)
        timeLine.stampReceived(reply.clock, owner.node)
        resolve(reply.recalled)
      })
    })
  }
}

const describeRoute = (chosen: NodeId, me: Member): string => {
  const failureDomain = failureDomainOf(chosen)
  if (failureDomain !== null) return `spills over to failure domain ${failureDomain}`
  return chosen === me.node ? 'this node, by prefix and expected wait' : 'own failure domain, by prefix and expected wait'
}

const routingCriteriaOf = (order: DispatchOrder): RoutingCriteria => ({
  model: order.model,
  promptTokens: order.promptTokens,
  maxTokens: order.maxTokens,
  prefix: order.prefix,
  remaining: order.remaining
})

const routerRefusal = (refusal: RoutingRefusal): OrderResult => ({ type: 'refused', ...refusal, dispatcher: null })

const isConnectionError = (error: ServiceError): boolean => error.code === status.UNAVAILABLE

const decodeReply = (order: DispatchOrder, dispatcher: NodeId, reply: AcquireReply): OrderResult => {
  switch (reply.result?.$case) {
    case 'grant': return decodeGrant(order, dispatcher, reply.result.value)
    case 'refusal': {
      const { kind, retryAfterMs, reason } = reply.result.value
      return { type: 'refused', dispatcher, kind: kind as OutcomeKind, retryAfter: retryAfterMs, reason }
    }
    case undefined: return { type: 'refused', dispatcher, kind: 'internal', retryAfter: EMPTY_REPLY_RETRY_AFTER_MS, reason: 'empty reply' }
  }
}

const decodeGrant = (order: DispatchOrder, dispatcher: NodeId, message: GrantMessage): OrderResult => ({
  type: 'granted',
  dispatcher,
  address: message.runnerAddress,
  groupAddresses: message.groupAddresses,
  grant: {
    attempt: order.attempt,
    entry: order.entry,
    runner: message.runner as RunnerId,
    validFor: message.validForMs,
    priority: message.priority,
    reason: message.reason,
    group: message.group as RunnerId[],
    groupTokens: message.groupTokens
  }
})
