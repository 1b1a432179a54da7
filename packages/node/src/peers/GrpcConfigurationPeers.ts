/** Exchanges the operators' configuration with other nodes over gRPC. */
import { Metadata } from '@grpc/grpc-js'
import type { CallOptions, ServiceError } from '@grpc/grpc-js'
import type { ConfigurationValue, NodeId, ValueVersion } from '@bluebellhill/domain'
import type { ConfigurationExchangeClient } from '@bluebellhill/protocol'

import { ConfigurationPeers } from '../configuration/index.js'
import type { ConfigurationMember } from '../configuration/index.js'
import type { MembershipService } from '../membership/index.js'
import type { TimeLine } from '../timeline/index.js'
import { decodeValue, decodeVersion, encodeValue } from './configurationMessage.js'
import type { PeerClients } from './PeerClients.js'

const CALL_TIMEOUT_MS = 2_000

type Done<Reply> = (error: ServiceError | null, reply: Reply) => void
type Call<Request, Reply> = (request: Request, metadata: Metadata, options: Partial<CallOptions>, done: Done<Reply>) => unknown

/** gRPC client for the configuration exchange with the nodes of the fleet. */
export class GrpcConfigurationPeers extends ConfigurationPeers {
  readonly #membership: MembershipService
  readonly #clients: PeerClients
  readonly #timeLine: TimeLine

  constructor (membership: MembershipService, clients: PeerClients, timeLine: TimeLine) {
    super()
    this.#membership = membership
    this.#clients = clients
    this.#timeLine = timeLine
  }

  members (): readonly ConfigurationMember[] {
    return this.#membership.membersAcceptingWork().map(({ node, failureDomain }) => ({ node, failureDomain }))
  }

  async versions (node: NodeId, digest: number): Promise<readonly ValueVersion[] | null> {
    const client = this.#client(node)
    const reply = await this.#call(node, client.versions.bind(client), { digest, clock: this.#timeLine.stampOutgoing() })
    return reply.same ? null : reply.versions.map(decodeVersion)
  }

  async values (node: NodeId, names: readonly string[]): Promise<readonly ConfigurationValue[]> {
    const client = this.#client(node)
    const reply = await this.#call(node, client.values.bind(client), { names: [...names], clock: this.#timeLine.stampOutgoing() })
    return reply.values.map(decodeValue)
  }

  async push (node: NodeId, values: readonly ConfigurationValue[]): Promise<void> {
    const client = this.#client(node)
    await this.#call(node, client.push.bind(client), { from: this.#timeLine.node, values: values.map(encodeValue), clock: this.#timeLine.stampOutgoing() })
  }

  #client (node: NodeId): ConfigurationExchangeClient {
    const member = this.#membership.members().find((each) => each.node === node)
    if (member === undefined) throw new Error(`node ${node} is not a member of the fleet`)
    return this.#clients.configuration(member.peerAddress)
  }

  #call <Request, Reply extends { readonly clock: bigint }>(node: NodeId, call: Call<Request, Reply>, request: Request): Promise<Reply> {
    return new Promise((resolve, reject) => {
      call(request, new Metadata(), { deadline: Date.now() + CALL_TIMEOUT_MS }, (error, reply) => {
        if (error !== null) return reject(error)
        this.#timeLine.stampReceived(reply.clock, node)
        resolve(reply)
      })
    })
  }
}
