/** Types of membership: members, gossip messages, events, effects and timings. */
import type { FailureDomain, Millis, NodeId, RunnerId } from '../types.js'

export const MemberState = {
  Alive: 'alive',
  /** Did not answer a direct and several indirect probes; may still refute the suspicion. */
  Suspect: 'suspect',
  /** Dead, paused or disconnected. One such member is probed every `reconnectPeriod`; it is kept until the VM list omits it. */
  Unreachable: 'unreachable',
  /** Announced its own stop, or was removed from the VM list while unreachable. */
  Left: 'left'
} as const
export type MemberState = typeof MemberState[keyof typeof MemberState]

/** Entry of one node in the member tables; also the unit that is gossiped. */
export interface Member {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  /** `ip:port` of its gRPC server. */
  readonly peerAddress: string
  /** `ip:port` of its gossip socket. */
  readonly gossipAddress: string
  readonly state: MemberState
  /** Set once a planned stop is announced; stays set until the process is restarted. */
  readonly leaving: boolean
  /** Increased only by the node itself, to replace earlier claims about it. */
  readonly incarnation: number
  /** Wall-clock milliseconds at which the process started; distinguishes a restarted process from its predecessor. */
  readonly startedAt: number
}

/** Fields of its own entry that a node sets when it starts. */
export type Identity = Pick<Member, 'node' | 'failureDomain' | 'peerAddress' | 'gossipAddress' | 'startedAt'>

export const ValueScope = {
  /** Sent by the publisher itself to a few members of its failure domain, and not relayed. */
  Subscribers: 'subscribers',
  /** Relayed to every member of the publisher's failure domain. */
  FailureDomain: 'failure_domain',
  /** Relayed to every member. */
  Fleet: 'fleet'
} as const
export type ValueScope = typeof ValueScope[keyof typeof ValueScope]

/** A small versioned value that one node publishes; the greatest version wins. */
export interface GossipValue {
  readonly node: NodeId
  readonly topic: string
  readonly scope: ValueScope
  /** Whether anti-entropy covers the value; other values are repaired by their publisher's next version. */
  readonly durable: boolean
  readonly startedAt: number
  readonly version: number
  readonly bytes: Uint8Array
}

export type GossipBody =
  | { readonly type: 'ping', readonly sequence: number, readonly target: NodeId }
  /** Asks the receiver to probe `target` on behalf of the sender. */
  | { readonly type: 'ping_request', readonly sequence: number, readonly target: NodeId }
  | { readonly type: 'ack', readonly sequence: number }
  /** The relay received the request, but its probe of the target was not answered in time. */
  | { readonly type: 'nack', readonly sequence: number }
  | { readonly type: 'push' }
  /** One datagram of the answer to a join or digest; the receiver does not pass its member entries on. */
  | { readonly type: 'sync' }
  /** Requests the whole member table and the relayed values. */
  | { readonly type: 'join' }
  /** Hashes of the sender's member table and durable values by bucket; the receiver answers with the contents of differing buckets. */
  | { readonly type: 'digest', readonly members: readonly number[], readonly values: readonly number[], readonly reply: boolean }

export interface GossipMessage {
  readonly sender: NodeId
  readonly body: GossipBody
  readonly updates: readonly Member[]
  readonly values: readonly GossipValue[]
}

/** The VM of a node in the platform's VM list. */
export interface ListedVm {
  readonly node: NodeId
  readonly leaving: boolean
}

export type MembershipEvent =
  | { readonly type: 'ticked' }
  | { readonly type: 'received', readonly from: string, readonly message: GossipMessage }
  /** The platform's VM list was read; `asOf` is the wall-clock time of its contents, in milliseconds. */
  | { readonly type: 'vm_listed', readonly asOf: number, readonly vms: readonly ListedVm[] }
  | { readonly type: 'seeds_changed', readonly addresses: readonly string[] }
  /** A call to the node failed, so the node is probed at once. */
  | { readonly type: 'call_failed', readonly node: NodeId }
  | { readonly type: 'leave' }
  /** The process is about to end; no further event follows. */
  | { readonly type: 'stopped' }

export type MembershipEffect =
  | { readonly type: 'send', readonly to: string, readonly message: GossipMessage }
  | { readonly type: 'member_changed', readonly member: Member, readonly previous: MemberState | null, readonly reason: string }
  /** This process did not run for `gap` milliseconds; its timeouts are extended until other members answer its probes. */
  | { readonly type: 'self_distrusted', readonly gap: Millis }
  | { readonly type: 'value_changed', readonly value: GossipValue }
  | { readonly type: 'value_removed', readonly node: NodeId, readonly topic: string }

/** A backend server that must not receive new work. */
export interface LeavingRunner {
  readonly runner: RunnerId
  readonly since: number
}

/** Periods, limits and timeouts of membership; tests override some of them. */
export interface MembershipTimings {
  readonly probePeriod: Millis
  readonly ackTimeout: Millis
  readonly indirectTimeout: Millis
  /** Time after which a relay reports that the target did not answer; shorter than `indirectTimeout`. */
  readonly relayTimeout: Millis
  readonly suspicionTimeout: Millis
  /** A longer gap between two ticks means that this process was paused. */
  readonly pauseThreshold: Millis
  /** Number of members that are asked for an indirect probe. */
  readonly indirectProbes: number
  readonly gossipPeriod: Millis
  readonly fanout: number
  readonly antiEntropyPeriod: Millis
  readonly reconnectPeriod: Millis
  readonly tombstoneLifetime: Millis
  readonly maxLocalHealth: number
  /** Bytes per second for changes of members. */
  readonly updateBudget: number
  /** Bytes per second for values that are sent to subscribers. */
  readonly subscriberBudget: number
  /** Bytes per second for relayed values that anti-entropy does not cover. */
  readonly relayBudget: number
}
