/** Serves the node's peers over gRPC. */
import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import { assertNever } from '@bluebellhill/domain'
import type { AttemptId, DispatchOrder, ProgressKind, RunnerId } from '@bluebellhill/domain'
import { DispatcherService, EntryService } from '@bluebellhill/protocol'
import type { AcquireReply, AcquireRequest, DispatcherServer, EntryServer, Grant as GrantMessage, ProgressReply, ProgressRequest, RecallReply, RecallRequest } from '@bluebellhill/protocol'

import type { DispatcherDesk } from '../dispatch/DispatcherDesk.js'
import type { DispatcherHost } from '../dispatch/DispatcherHost.js'
import type { OrderResult } from '../requests/OrderDesk.js'
import type { TimeLine } from '../timeline/index.js'
import { decodeOrder } from './orderMessage.js'
import { PeerAuthenticator } from './PeerAuthenticator.js'

/** The requests of this node that peers may speak of. */
export interface RecallTarget {
  /**
   * Makes an attempt give its runner up.
   *
   * @returns false where no such attempt is in progress
   */
  recall (attempt: AttemptId): boolean
}

/** What the peer server stands before. */
export interface PeerServerParts {
  readonly dispatcher: DispatcherHost
  readonly desk: DispatcherDesk
  readonly requests: RecallTarget
  readonly timeLine: TimeLine
}

/** The gRPC server of one node. */
export class PeerServer {
  readonly #server = new Server()
  readonly #authenticator: PeerAuthenticator
  readonly #lookUp: () => PeerServerParts | null

  /**
   * @param authenticator - checks each call
   * @param lookUp - gives the node's parts, or null while the node is being built
   */
  constructor (authenticator: PeerAuthenticator, lookUp: () => PeerServerParts | null) {
    this.#authenticator = authenticator
    this.#lookUp = lookUp
    this.#server.addService(DispatcherService, this.#dispatcherServer())
    this.#server.addService(EntryService, this.#entryServer())
  }

  /**
   * Starts to listen.
   *
   * @param address - `ip:port`; port 0 takes a free one
   * @returns the address in use
   */
  async listen (address: string): Promise<string> {
    const port = await new Promise<number>((resolve, reject) => {
      this.#server.bindAsync(address, ServerCredentials.createInsecure(), (error, bound) => error ? reject(error) : resolve(bound))
    })
    return `${address.slice(0, address.lastIndexOf(':'))}:${port}`
  }

  dispose (): void {
    this.#server.forceShutdown()
  }

  #dispatcherServer (): DispatcherServer {
    return {
      acquire: (call, done) => this.#withParts(call, done, (parts) => { void acquire(parts, call, done) }),
      progress: (call, done) => this.#withParts(call, done, (parts) => progress(parts, call, done))
    }
  }

  #entryServer (): EntryServer {
    return { recall: (call, done) => this.#withParts(call, done, (parts) => recall(parts, call, done)) }
  }

  #withParts <Request, Reply>(call: ServerUnaryCall<Request, Reply>, done: sendUnaryData<Reply>, serve: (parts: PeerServerParts) => void): void {
    if (!this.#authenticator.accepts(call.getPath(), PeerAuthenticator.tokenOf(call.metadata))) {
      return done({ code: status.UNAUTHENTICATED, details: 'the peer is not known' })
    }
    const parts = this.#lookUp()
    if (parts === null) done({ code: status.UNAVAILABLE, details: 'the node is starting' })
    else serve(parts)
  }
}

const UNNAMED_PEER = 'an unnamed peer'

const acquire = async (parts: PeerServerParts, call: ServerUnaryCall<AcquireRequest, AcquireReply>, done: sendUnaryData<AcquireReply>): Promise<void> => {
  const { order, clock, direct } = call.request
  if (order === undefined) return done({ code: status.INVALID_ARGUMENT, details: 'the order is missing' })
  parts.timeLine.receive(clock, order.entry)
  const controller = new AbortController()
  const withdraw = (): void => controller.abort()
  call.on('cancelled', withdraw)
  const result = await place(parts, decodeOrder(order), direct, controller.signal)
  // The event also comes when an answered call is closed; from here on the grant's expiry covers a lost answer.
  call.off('cancelled', withdraw)
  if (result.type === 'lost') return done({ code: status.UNAVAILABLE, details: result.reason })
  done(null, { result: resultMessage(result), clock: parts.timeLine.send() })
}

const place = async (parts: PeerServerParts, order: DispatchOrder, direct: boolean, signal: AbortSignal): Promise<OrderResult> => {
  if (!direct) return await parts.desk.relay(order, signal)
  return await parts.desk.placeHere(order, signal)
}

const progress = (parts: PeerServerParts, call: ServerUnaryCall<ProgressRequest, ProgressReply>, done: sendUnaryData<ProgressReply>): void => {
  const message = call.request
  parts.timeLine.receive(message.clock, message.order?.entry ?? UNNAMED_PEER)
  parts.dispatcher.tell({
    type: 'progressed',
    attempt: message.attempt as AttemptId,
    runner: message.runner as RunnerId,
    kind: message.kind as ProgressKind,
    generated: message.generated,
    order: message.order === undefined ? null : decodeOrder(message.order)
  })
  done(null, { recalled: false, clock: parts.timeLine.send() })
}

const recall = (parts: PeerServerParts, call: ServerUnaryCall<RecallRequest, RecallReply>, done: sendUnaryData<RecallReply>): void => {
  parts.timeLine.receive(call.request.clock, UNNAMED_PEER)
  const known = parts.requests.recall(call.request.attempt as AttemptId)
  done(null, { known, clock: parts.timeLine.send() })
}

type SettledResult = Exclude<OrderResult, { type: 'lost' }>

const resultMessage = (result: SettledResult): AcquireReply['result'] => {
  switch (result.type) {
    case 'granted': return { $case: 'grant', value: grantMessage(result) }
    case 'refused': return { $case: 'refusal', value: { kind: result.kind, retryAfterMs: Math.ceil(result.retryAfter), reason: result.reason } }
    default: return assertNever(result)
  }
}

const grantMessage = ({ grant, address, groupAddresses }: Extract<OrderResult, { type: 'granted' }>): GrantMessage => ({
  runner: grant.runner,
  runnerAddress: address,
  validForMs: Math.floor(grant.validFor),
  priority: grant.priority,
  reason: grant.reason,
  group: [...grant.group],
  groupAddresses: [...groupAddresses]
})
