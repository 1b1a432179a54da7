/** Joins the dispatcher's ports to the membership, the backend servers and the peers. */
import { Metadata } from '@grpc/grpc-js'
import { assertNever, hashText, ownerOf } from '@bluebellhill/domain'
import type { AttemptId, FailureDomain, GroupEffect, NodeId, RunnerId } from '@bluebellhill/domain'
import type { ModelEngine, PlainService } from '@bluebellhill/services'

import { DispatchReach } from '../dispatch/DispatcherHost.js'
import { EngineMonitor } from '../dispatch/EngineMonitor.js'
import type { Monitor, MonitorListener } from '../dispatch/Monitor.js'
import { PlainMonitor } from '../dispatch/PlainMonitor.js'
import type { Backend, RunnerDirectory } from '../dispatch/RunnerDirectory.js'
import { MonitorSource, OwnershipRule } from '../dispatch/RunnerOwnership.js'
import type { MembershipService } from '../membership/index.js'
import { encodeGroup } from '../peers/groupMessage.js'
import type { PeerClients } from '../peers/PeerClients.js'
import type { TimeLine } from '../timeline/index.js'

const RECALL_TIMEOUT_MS = 2_000
const GROUP_TIMEOUT_MS = 2_000

/** Clients of backend servers by address. */
export interface BackendClients {
  readonly engine: (address: string) => ModelEngine
  readonly service: (address: string) => PlainService
}

/** Ownership by rendezvous hashing among the live members of the failure domain. */
export class MemberOwnership extends OwnershipRule {
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

/** Monitors for engines and plain services. */
export class BackendMonitors extends MonitorSource {
  readonly #clients: BackendClients
  readonly #serviceSlots: number

  /**
   * @param clients - clients of backend servers
   * @param serviceSlots - calls that one plain service takes at once
   */
  constructor (clients: BackendClients, serviceSlots: number) {
    super()
    this.#clients = clients
    this.#serviceSlots = serviceSlots
  }

  create (backend: Backend, listener: MonitorListener): Monitor {
    switch (backend.kind) {
      case 'engine': return new EngineMonitor(this.#clients.engine(backend.address), listener)
      case 'plain': return new PlainMonitor(this.#clients.service(backend.address), backend.service ?? backend.id, this.#serviceSlots, listener)
      default: return assertNever(backend.kind)
    }
  }
}

/** Where recalls of this node's own requests go. */
export interface OwnRequests {
  recall (attempt: AttemptId): boolean
}

/** What a reach works with. */
export interface ReachParts {
  readonly directory: RunnerDirectory
  readonly clients: BackendClients
  readonly peers: PeerClients
  readonly membership: MembershipService
  readonly timeLine: TimeLine
  readonly requests: () => OwnRequests
}

/** Reaches runners over HTTP and entry nodes over gRPC. */
export class PeerReach extends DispatchReach {
  readonly #parts: ReachParts

  constructor (parts: ReachParts) {
    super()
    this.#parts = parts
  }

  async cancel (runner: RunnerId, attempt: AttemptId): Promise<void> {
    const backend = this.#parts.directory.find(runner)
    if (backend?.kind !== 'engine') return
    const engine = this.#parts.clients.engine(backend.address)
    await engine.cancel(attempt)
    await engine.releaseSegments(attempt)
  }

  async group (effect: GroupEffect): Promise<void> {
    const { membership, peers, timeLine } = this.#parts
    const member = membership.members().find((each) => each.node === effect.to)
    if (member === undefined) return
    await new Promise<void>((resolve) => {
      const message = encodeGroup(effect, timeLine.node, timeLine.send())
      peers.dispatcher(member.peerAddress).group(message, new Metadata(), { deadline: Date.now() + GROUP_TIMEOUT_MS }, () => resolve())
    })
  }

  async recall (entry: NodeId, attempt: AttemptId, reason: string): Promise<void> {
    const { membership, requests } = this.#parts
    if (entry === membership.me().node) {
      requests().recall(attempt)
      return
    }
    const member = membership.members().find((each) => each.node === entry)
    if (member !== undefined) await this.#recallAt(member.peerAddress, attempt, reason)
  }

  #recallAt (address: string, attempt: AttemptId, reason: string): Promise<void> {
    const { peers, timeLine } = this.#parts
    return new Promise((resolve) => {
      const message = { attempt, reason, clock: timeLine.send() }
      peers.entry(address).recall(message, new Metadata(), { deadline: Date.now() + RECALL_TIMEOUT_MS }, () => resolve())
    })
  }
}
