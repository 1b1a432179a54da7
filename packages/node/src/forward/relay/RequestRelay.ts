/** Passes one request on to other nodes. */
import { Readiness } from '@bluebellhill/domain'
import type { AttemptHistory, BackendServer, Millis, RunnerId } from '@bluebellhill/domain'
import { parseRetryAfter } from '@bluebellhill/services'

import type { AdmittedCall } from '../AdmittedCall.js'
import type { AnswerHead, ServerCallRequest } from '../backend/ServerCall.js'
import { RefusalCause } from '../entry/refusals.js'
import type { RequestLog } from '../RequestLog.js'
import { findRestriction } from '../scheduling/findRestriction.js'
import { relayCallRequest } from '../serverCallRequest.js'
import type { ForwardingContext, OpenAttempt } from '../types.js'
import { decodeRelayAnswer, SERVER_ANSWER } from './relayHeaders.js'
import type { RelayPeer } from './RelayPeers.js'

/** Refusals that hold for the other node only: a third one may serve the request, or this one itself. */
const REFUSALS_OF_ONE_NODE: ReadonlySet<RefusalCause> = new Set([
  RefusalCause.Unreachable, RefusalCause.Starting, RefusalCause.Stopping, RefusalCause.NodeMemory, RefusalCause.BodyStalled, RefusalCause.UnknownKey, RefusalCause.UnknownRoute,
  RefusalCause.BadRequest, RefusalCause.HeadTooLarge, RefusalCause.BodyTooLarge
])

export interface RequestRelayOptions {
  readonly context: ForwardingContext
  readonly call: AdmittedCall
  /** Earlier attempts of the request. */
  readonly history: AttemptHistory
  readonly requestLog: RequestLog
}

/** An attempt by way of another node, and the request to that node. */
export interface RelayedAttempt {
  readonly attempt: OpenAttempt
  readonly request: ServerCallRequest
}

/** Refusal of another node's own. */
export interface PeerRefusal {
  /** Cause in the answer to the caller; null if the request has not run and can be tried elsewhere. */
  readonly cause: RefusalCause | null
  readonly retryAfter: Millis | null
  /** What the log says of it. */
  readonly reason: string
}

/** Ways of one request by other nodes. */
export class RequestRelay {
  readonly #options: RequestRelayOptions

  /** @param options - the request, and its earlier attempts */
  constructor (options: RequestRelayOptions) {
    this.#options = options
  }

  /** Whether a failed connection to a server of the request's service says nothing of the server. */
  get isInDoubt (): boolean {
    const { context, call } = this.#options
    return context.relay.checks.isInDoubt(call.service.name)
  }

  /** Waits until it is known whether this node reaches the request's service, if that is being checked. */
  async checkSettled (): Promise<void> {
    const { context, call } = this.#options
    await context.relay.checks.settled(call.service.name)
  }

  /**
   * @returns the node to pass the request on to; null if this node sends it itself, as it does with what others have passed on, or if
   *   no server may get it
   */
  choosePeer (): RelayPeer | null {
    const { context, call } = this.#options
    if (call.isRelayed || findRestriction(context.fleetState, call.service.name, call.regions) !== null) return null
    return context.relay.peerFor(call.service.name, call.regions)
  }

  /**
   * Begins an attempt by way of another node, which handles the request as if the caller had sent it there.
   *
   * @param peer - the other node
   * @param attemptNumber - number of the attempt, from 1
   * @param lastEventId - id of the last event that the caller has received; null if there is none
   * @returns the attempt, and what has to be sent
   */
  open (peer: RelayPeer, attemptNumber: number, lastEventId: string | null): RelayedAttempt {
    const { context: { relay, clock }, call, history, requestLog } = this.#options
    const server = serverOfPeer(peer, call.service.name)
    const tried = history.sentServers()
    history.start(server.id)
    relay.peers.started(peer)
    requestLog.requestRelayed(peer, attemptNumber)
    return {
      attempt: { server, placed: null, peer, sentAt: clock(), reservations: null, serverCall: null, watch: null, hasFirstEvent: false, head: null, answer: null, isHedge: false, isHedgeTried: false, isRaced: false, isSilenceReported: false },
      request: relayCallRequest({ call, from: relay.node, timeLeft: call.deadlineAt - clock(), lastEventId, tried }, peer.address)
    }
  }

  /**
   * @param peer - node that the request was passed on to
   * @param head - head of its answer
   * @returns why the node has refused the request; null if it passes on the answer of a server
   */
  refusalOf (peer: RelayPeer, head: AnswerHead): PeerRefusal | null {
    const { context, call } = this.#options
    const relayed = decodeRelayAnswer(head.headers)
    if (relayed === SERVER_ANSWER) return null
    const cause = finalCauseOf(relayed)
    if (cause === null) context.relay.peers.refused(peer, call.service.name)
    return { cause, retryAfter: parseRetryAfter(head.headers['retry-after']), reason: `refused by node ${peer.node}: ${relayed ?? 'an earlier build'}` }
  }

  /** Records that the connection of an attempt was not established. */
  notConnected ({ peer, server }: OpenAttempt): void {
    const { relay } = this.#options.context
    if (peer === null) relay.checks.connectionFailed(server)
    else relay.peers.failed(peer)
  }
}

/** The node in the place of a server, for the history and the log of the request. */
const serverOfPeer = ({ node, address, failureDomain }: RelayPeer, service: string): BackendServer =>
  ({ id: `node:${node}` as RunnerId, service, address, failureDomain, slots: 0, readiness: Readiness.Ready, startedAt: null })

/** A node of an earlier build passes nothing on, and names no cause. */
const finalCauseOf = (relayed: string | null): RefusalCause | null => {
  const cause = Object.values(RefusalCause).find((known) => known === relayed) ?? null
  return cause === null || REFUSALS_OF_ONE_NODE.has(cause) ? null : cause
}
