/** Connects the dispatcher to the membership, the backend servers and the other nodes by implementing its abstract classes. */
import { Metadata } from '@grpc/grpc-js'
import { assertNever, hashText, ownerOf } from '@bluebellhill/domain'
import type { AttemptId, FailureDomain, GroupEffect, NodeId, RunnerId } from '@bluebellhill/domain'
import type { ModelEngine, PlainService } from '@bluebellhill/services'

import { DispatchTransport } from '../dispatch/DispatcherHost.js'
import { EngineMonitor } from '../dispatch/EngineMonitor.js'
import type { Monitor, MonitorListener } from '../dispatch/Monitor.js'
import { PlainServiceMonitor } from '../dispatch/PlainServiceMonitor.js'
import type { Backend, RunnerDirectory } from '../dispatch/RunnerDirectory.js'
import { MonitorFactory, OwnershipRule } from '../dispatch/RunnerOwnership.js'
import type { MembershipService } from '../membership/index.js'
import { encodeGroupMessage } from '../peers/groupMessage.js'
import type { PeerClients } from '../peers/PeerClients.js'
import type { TimeLine } from '../timeline/index.js'

const RECALL_TIMEOUT_MS = 2_000
const GROUP_TIMEOUT_MS = 2_000

/** Creates clients of backend servers by address. */
export interface BackendClients {
  readonly engine: (address: string) => ModelEngine
  readonly service: (address: string) => PlainService
}

/** Assigns each runner to one dispatcher by rendezvous hashing among the live members of the failure domain. */
export class RendezvousOwnership extends OwnershipRule {
  readonly #membership: MembershipService
  readonly #failureDomain: FailureDomain

  constructor (membership: MembershipService, failureDomain: FailureDomain) {
    super()
    this.#membership = membership
    this.#failureDomain = failureDomain
  }

  isOwn (runner: RunnerId): boolean {
    const members = this.#membership.members().filter((member) => member.failureDomain === this.#failureDomain)
    return ownerOf(runner, members, hashText) === this.#membership.me().node
  }
}

/** Creates monitors for engines and plain services. */
export class BackendMonitorFactory extends MonitorFactory {
  readonly #clients: BackendClients
  readonly #serviceSlots: number

  /**
   * @param clients - creates clients of backend servers
   * @param serviceSlots - number of concurrent calls that one plain service accepts
   */
  constructor (clients: BackendClients, serviceSlots: number) {
    super()
    this.#clients = clients
    this.#serviceSlots = serviceSlots
  }

  create (backend: Backend, listener: MonitorListener): Monitor {
    switch (backend.kind) {
      case 'engine': return new EngineMonitor(this.#clients.engine(backend.address), listener)
      case 'plain': return new PlainServiceMonitor(this.#clients.service(backend.address), backend.service ?? backend.id, this.#serviceSlots, listener)
      default: return assertNever(backend.kind)
    }
  }
}

/** Receiver of recalls for the requests that entered at this node. */
export interface RecallTarget {
  /** Makes an attempt release its runner; returns false if its request is not in progress here. */
  recall (attempt: AttemptId): boolean
}

/** Dependencies of `DispatchCommandSender`. */
export interface CommandSenderDependencies {
  readonly directory: RunnerDirectory
  readonly clients: BackendClients
  readonly peers: PeerClients
  readonly membership: MembershipService
  readonly timeLine: TimeLine
  readonly requests: () => RecallTarget
}

/** Sends the dispatcher's commands: to runners over HTTP, to entry nodes and other dispatchers over gRPC. */
export class DispatchCommandSender extends DispatchTransport {
  readonly #dependencies: CommandSenderDependencies

  constructor (dependencies: CommandSenderDependencies) {
    super()
    this.#dependencies = dependencies
  }

  async cancelAttempt (runner: RunnerId, attempt: AttemptId): Promise<void> {
    const backend = this.#dependencies.directory.find(runner)
    if (backend?.kind !== 'engine') return
    const engine = this.#dependencies.clients.engine(backend.address)
    await engine.cancel(attempt)
    await engine.releaseSegments(attempt)
  }

  async sendGroupMessage (effect: GroupEffect): Promise<void> {
    const { membership, peers, timeLine } = this.#dependencies
    const member = membership.members().find((each) => each.node === effect.to)
    if (member === undefined) return
    await new Promise<void>((resolve) => {
      const message = encodeGroupMessage(effect, timeLine.node, timeLine.stampOutgoing())
      peers.dispatcher(member.peerAddress).group(message, new Metadata(), { deadline: Date.now() + GROUP_TIMEOUT_MS }, () => resolve())
    })
  }

  async recallAttempt (entry: NodeId, attempt: AttemptId, reason: string): Promise<void> {
    const { membership, requests } = this.#dependencies
    if (entry === membership.me().node) {
      requests().recall(attempt)
      return
    }
    const member = membership.members().find((each) => each.node === entry)
    if (member !== undefined) await this.#sendRecall(member.peerAddress, attempt, reason)
  }

  #sendRecall (address: string, attempt: AttemptId, reason: string): Promise<void> {
    const { peers, timeLine } = this.#dependencies
    return new Promise((resolve) => {
      const message = { attempt, reason, clock: timeLine.stampOutgoing() }
      peers.entry(address).recall(message, new Metadata(), { deadline: Date.now() + RECALL_TIMEOUT_MS }, () => resolve())
    })
  }
}
