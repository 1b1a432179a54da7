/** Places orders with the dispatcher that the router chooses, here or on a peer. */
import { Metadata, status } from '@grpc/grpc-js'
import type { ServiceError } from '@grpc/grpc-js'
import { hashText, OutcomeKind, ownerOf } from '@bluebellhill/domain'
import type { DispatchOrder, FailureDomain, Member, NodeId, RoutingCriteria, Router, RoutingRefusal, RunnerId } from '@bluebellhill/domain'
import { EventKind } from '@bluebellhill/protocol'
import type { AcquireReply, Grant as GrantMessage } from '@bluebellhill/protocol'

import { monotonicNow } from '../clock/monotonic.js'
import type { MembershipService } from '../membership/index.js'
import type { PeerClients } from '../peers/PeerClients.js'
import { encodeOrder } from '../peers/orderMessage.js'
import { OrderDesk } from '../requests/OrderDesk.js'
import type { AttemptProgress, OrderResult } from '../requests/OrderDesk.js'
import type { TimeLine } from '../timeline/index.js'
import type { DispatcherHost } from './DispatcherHost.js'
import { failureDomainOf } from './DispatcherViews.js'
import type { DispatcherViews } from './DispatcherViews.js'
import type { RunnerDirectory } from './RunnerDirectory.js'

const REPORT_TIMEOUT_MS = 2_000
const LOST_RETRY_AFTER_MS = 1_000

/** What the desk works with. */
export interface DeskParts {
  readonly router: Router
  readonly views: DispatcherViews
  readonly membership: MembershipService
  readonly directory: RunnerDirectory
  readonly dispatcher: DispatcherHost
  readonly clients: PeerClients
  readonly timeLine: TimeLine
  /** Told of a request for a model that no dispatcher serves. */
  readonly unserved: (model: string) => void
}

/** The desk of one entry node. */
export class DispatcherDesk extends OrderDesk {
  readonly #parts: DeskParts
  #turn = 0

  constructor (parts: DeskParts) {
    super()
    this.#parts = parts
  }

  async seek (order: DispatchOrder, avoid: readonly NodeId[], signal: AbortSignal): Promise<OrderResult> {
    return await this.#place(order, avoid, signal, this.#parts.views.states(order.model))
  }

  /**
   * Places an order of another failure domain, with a dispatcher of this one only.
   *
   * @param order - an order that came from another failure domain
   * @param signal - aborted to withdraw it
   */
  async relay (order: DispatchOrder, signal: AbortSignal): Promise<OrderResult> {
    const own = this.#parts.membership.me().failureDomain
    const states = this.#parts.views.states(order.model).filter((state) => state.failureDomain === own)
    return await this.#place(order, [], signal, states)
  }

  async report (progress: AttemptProgress): Promise<boolean> {
    const owner = this.#ownerOf(progress.runner)
    if (owner === null) return false
    if (owner.node === this.#parts.membership.me().node) {
      this.#parts.dispatcher.tell({ type: 'progressed', ...progress })
      return false
    }
    return await this.#reportTo(owner, progress)
  }

  async #place (order: DispatchOrder, avoid: readonly NodeId[], signal: AbortSignal, states: Parameters<Router['choose']>[1]): Promise<OrderResult> {
    const { router, membership, timeLine } = this.#parts
    const me = membership.me()
    const chosen = router.choose(factsOf(order), states, me.failureDomain, avoid, monotonicNow())
    const subject = { request: order.request, attempt: order.attempt, organisation: order.organisation }
    if (typeof chosen !== 'string') {
      timeLine.record(EventKind.OrderRefused, subject, chosen.reason, { entry: order.entry, code: chosen.kind, retryAfter: chosen.retryAfter })
      if (chosen.kind === OutcomeKind.NoRunner) this.#parts.unserved(order.model)
      return refusedByRouter(chosen)
    }
    timeLine.record(EventKind.OrderSought, subject, seekReason(chosen, me), {
      dispatcher: chosen,
      excluded: order.excluded,
      remaining: order.remaining
    })
    if (chosen === me.node) return await this.placeHere(order, signal)
    const peer = this.#peerOf(chosen)
    if (peer === undefined) return { type: 'lost', dispatcher: chosen, reason: 'no member is left there' }
    return await this.#placeAt(peer, chosen, order, signal)
  }

  /**
   * Places an order with this node's own dispatcher.
   *
   * @param order - what is to be placed
   * @param signal - aborted to withdraw it
   */
  async placeHere (order: DispatchOrder, signal: AbortSignal): Promise<OrderResult> {
    const dispatcher = this.#parts.membership.me().node
    const reply = await this.#parts.dispatcher.acquire(order, signal)
    if (reply.type === 'refused') return { ...reply, dispatcher }
    const { grant } = reply
    return { type: 'granted', dispatcher, grant, address: this.#addressOf(grant.runner), groupAddresses: grant.group.map((member) => this.#addressOf(member)) }
  }

  #addressOf (runner: RunnerId): string {
    return this.#parts.directory.find(runner)?.address ?? ''
  }

  #peerOf (chosen: NodeId): Member | undefined {
    const failureDomain = failureDomainOf(chosen)
    const { membership } = this.#parts
    if (failureDomain === null) return membership.members().find((member) => member.node === chosen)
    return this.#nextWorker(failureDomain)
  }

  #nextWorker (failureDomain: FailureDomain): Member | undefined {
    const workers = this.#parts.membership.workers(failureDomain)
    this.#turn += 1
    return workers[this.#turn % Math.max(1, workers.length)]
  }

  #placeAt (peer: Member, chosen: NodeId, order: DispatchOrder, signal: AbortSignal): Promise<OrderResult> {
    const { clients, membership, timeLine } = this.#parts
    return new Promise((resolve) => {
      const deadline = Date.now() + order.remaining
      const message = { order: encodeOrder(order), clock: timeLine.stampOutgoing(), direct: failureDomainOf(chosen) === null }
      const call = clients.dispatcher(peer.peerAddress).acquire(message, new Metadata(), { deadline }, (error, reply) => {
        if (error !== null) {
          if (isConnectionError(error)) membership.callFailed(peer.node)
          return resolve({ type: 'lost', dispatcher: chosen, reason: error.details })
        }
        timeLine.stampReceived(reply.clock, peer.node)
        resolve(resultOf(order, chosen, reply))
      })
      signal.addEventListener('abort', () => call.cancel(), { once: true })
    })
  }

  #ownerOf (runner: RunnerId): Member | null {
    const { membership, directory } = this.#parts
    const backend = directory.find(runner)
    if (backend === undefined) return null
    const members = membership.members().filter((member) => member.failureDomain === backend.failureDomain)
    const owner = ownerOf(runner, members, hashText)
    return members.find((member) => member.node === owner) ?? null
  }

  #reportTo (owner: Member, progress: AttemptProgress): Promise<boolean> {
    const { clients, timeLine } = this.#parts
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

const seekReason = (chosen: NodeId, me: Member): string => {
  const failureDomain = failureDomainOf(chosen)
  if (failureDomain !== null) return `spills over to failure domain ${failureDomain}`
  return chosen === me.node ? 'this node, by prefix and expected wait' : 'own failure domain, by prefix and expected wait'
}

const factsOf = (order: DispatchOrder): RoutingCriteria => ({
  model: order.model,
  promptTokens: order.promptTokens,
  maxTokens: order.maxTokens,
  prefix: order.prefix,
  remaining: order.remaining
})

const refusedByRouter = (refusal: RoutingRefusal): OrderResult => ({ type: 'refused', ...refusal, dispatcher: null })

const isConnectionError = (error: ServiceError): boolean => error.code === status.UNAVAILABLE

const resultOf = (order: DispatchOrder, dispatcher: NodeId, reply: AcquireReply): OrderResult => {
  switch (reply.result?.$case) {
    case 'grant': return grantedResult(order, dispatcher, reply.result.value)
    case 'refusal': {
      const { kind, retryAfterMs, reason } = reply.result.value
      return { type: 'refused', dispatcher, kind: kind as OutcomeKind, retryAfter: retryAfterMs, reason }
    }
    case undefined: return { type: 'refused', dispatcher, kind: 'internal', retryAfter: LOST_RETRY_AFTER_MS, reason: 'empty reply' }
  }
}

const grantedResult = (order: DispatchOrder, dispatcher: NodeId, message: GrantMessage): OrderResult => ({
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
