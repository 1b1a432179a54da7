/** Serves the node's peers over gRPC. */
import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import { assertNever } from '@bluebellhill/domain'
import type { AttemptId, ProgressKind, RunnerId } from '@bluebellhill/domain'
import { DispatcherService, EntryService } from '@bluebellhill/protocol'
import type { AcquireReply, AcquireRequest, DispatcherServer, EntryServer, Grant as GrantMessage, ProgressReply, ProgressRequest, RecallReply, RecallRequest } from '@bluebellhill/protocol'

import type { DispatcherHost, OrderReply } from '../dispatch/DispatcherHost.js'
import type { RunnerDirectory } from '../dispatch/RunnerDirectory.js'
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
    const { order, clock } = call.request
    if (order === undefined) return done({ code: status.INVALID_ARGUMENT, details: 'the order is missing' })
    this.#parts.timeLine.receive(clock)
    const controller = new AbortController()
    call.on('cancelled', () => controller.abort())
    const reply = await this.#parts.dispatcher.acquire(decodeOrder(order), controller.signal)
    done(null, { result: this.#resultOf(reply), clock: this.#parts.timeLine.send() })
  }

  #resultOf (reply: OrderReply): AcquireReply['result'] {
    switch (reply.type) {
      case 'granted': return { $case: 'grant', value: this.#grantOf(reply) }
      case 'refused': return { $case: 'refusal', value: { kind: reply.kind, retryAfterMs: Math.ceil(reply.retryAfter), reason: reply.reason } }
      default: return assertNever(reply)
    }
  }

  #grantOf ({ grant }: Extract<OrderReply, { type: 'granted' }>): GrantMessage {
    return {
      runner: grant.runner,
      runnerAddress: this.#addressOf(grant.runner),
      validForMs: Math.floor(grant.validFor),
      priority: grant.priority,
      reason: grant.reason,
      group: [...grant.group],
      groupAddresses: grant.group.map((member) => this.#addressOf(member))
    }
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
