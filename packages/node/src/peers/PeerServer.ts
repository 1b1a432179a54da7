/** Serves the node's peers over gRPC. */
import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import { assertNever } from '@bluebellhill/domain'
import type { AttemptId, DispatchOrder, ProgressKind, RunnerId } from '@bluebellhill/domain'
import { DispatcherService, EntryService } from '@bluebellhill/protocol'
import type { AcquireReply, AcquireRequest, DispatcherServer, EntryServer, Grant as GrantMessage, ProgressReply, ProgressRequest, RecallReply, RecallRequest } from '@bluebellhill/protocol'

import type { DispatcherDesk } from '../dispatch/DispatcherDesk.js'
import type { DispatcherHost } from '../dispatch/DispatcherHost.js'
import type { RunnerDirectory } from '../dispatch/RunnerDirectory.js'
import type { OrderResult } from '../requests/OrderDesk.js'
import type { TimeLine } from '../timeline/index.js'
import { decodeOrder } from './orderMessage.js'

/** The requests of this node that peers may speak of. */
export interface RecallTarget {
  /**
   * Makes an attempt give its runner up.
   *
   * @returns false where no such attempt is in progress
   */
  recall (attempt: AttemptId, reason: string): boolean
}

/** What the peer server stands before. */
export interface PeerServerParts {
  readonly dispatcher: DispatcherHost
  readonly desk: DispatcherDesk
  readonly directory: RunnerDirectory
  readonly requests: RecallTarget
  readonly timeLine: TimeLine
}

/** The gRPC server of one node. */
export class PeerServer {
  readonly #server = new Server()
  readonly #parts: PeerServerParts

  constructor (parts: PeerServerParts) {
    this.#parts = parts
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
      acquire: (call, done) => { void this.#acquire(call, done) },
      progress: (call, done) => this.#progress(call, done)
    }
  }

  #entryServer (): EntryServer {
    return { recall: (call, done) => this.#recall(call, done) }
  }

  async #acquire (call: ServerUnaryCall<AcquireRequest, AcquireReply>, done: sendUnaryData<AcquireReply>): Promise<void> {
    const { order, clock, direct } = call.request
    if (order === undefined) return done({ code: status.INVALID_ARGUMENT, details: 'the order is missing' })
    this.#parts.timeLine.receive(clock)
    const controller = new AbortController()
    call.on('cancelled', () => controller.abort())
    const result = await this.#place(decodeOrder(order), direct, controller.signal)
    if (result.type === 'lost') return done({ code: status.UNAVAILABLE, details: result.reason })
    done(null, { result: resultMessage(result), clock: this.#parts.timeLine.send() })
  }

  async #place (order: DispatchOrder, direct: boolean, signal: AbortSignal): Promise<OrderResult> {
    const { desk, dispatcher, timeLine } = this.#parts
    if (!direct) return await desk.relay(order, signal)
    const reply = await dispatcher.acquire(order, signal)
    if (reply.type === 'refused') return { ...reply, dispatcher: timeLine.node }
    const { grant } = reply
    const groupAddresses = grant.group.map((member) => this.#addressOf(member))
    return { type: 'granted', dispatcher: timeLine.node, grant, address: this.#addressOf(grant.runner), groupAddresses }
  }

  #addressOf (runner: RunnerId): string {
    return this.#parts.directory.find(runner)?.address ?? ''
  }

  #progress (call: ServerUnaryCall<ProgressRequest, ProgressReply>, done: sendUnaryData<ProgressReply>): void {
    const message = call.request
    this.#parts.timeLine.receive(message.clock)
    this.#parts.dispatcher.tell({
      type: 'progressed',
      attempt: message.attempt as AttemptId,
      runner: message.runner as RunnerId,
      kind: message.kind as ProgressKind,
      generated: message.generated,
      order: message.order === undefined ? null : decodeOrder(message.order)
    })
    done(null, { recalled: false, clock: this.#parts.timeLine.send() })
  }

  #recall (call: ServerUnaryCall<RecallRequest, RecallReply>, done: sendUnaryData<RecallReply>): void {
    this.#parts.timeLine.receive(call.request.clock)
    const known = this.#parts.requests.recall(call.request.attempt as AttemptId, call.request.reason)
    done(null, { known, clock: this.#parts.timeLine.send() })
  }
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
