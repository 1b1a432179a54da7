/** Members, gossip messages, events and effects of membership. */
import type { FailureDomain, Millis, NodeId, RunnerId } from '../types.js'

export const MemberState = {
  Alive: 'alive',
  /** Did not answer a direct and several indirect probes; may still refute. */
  Suspect: 'suspect',
  /** Dead, paused or cut off; probed now and then, and kept until the VM list no longer names it. */
  Unreachable: 'unreachable',
  /** Stopped by its own word, or removed from the VM list while unreachable. */
  Left: 'left'
} as const
export type MemberState = typeof MemberState[keyof typeof MemberState]

/** One node as the others know it; also the unit that is gossiped. */
export interface Member {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  /** `ip:port` of its gRPC server. */
  readonly peerAddress: string
  /** `ip:port` of its gossip socket. */
  readonly gossipAddress: string
  readonly state: MemberState
  /** Set once a planned stop is known; stays set until the process is started again. */
  readonly leaving: boolean
  /** Raised only by the node itself, to refute a claim about it. */
  readonly incarnation: number
  /** Wall-clock milliseconds at which the process started; tells a restart from its predecessor. */
  readonly startedAt: number
}

/** What a node says of itself when it starts. */
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

/** A small versioned value of one node; the greatest version wins. */
export interface GossipValue {
  readonly node: NodeId
  readonly topic: string
  readonly scope: ValueScope
  /** Covered by anti-entropy; others are repaired by their publisher's next version. */
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
  /** The helper itself is well, but its probe of the target was not answered in time. */
  | { readonly type: 'nack', readonly sequence: number }
  | { readonly type: 'push' }
  /** Part of the answer to a join or digest; what it tells is not passed on. */
  | { readonly type: 'sync' }
  /** Asks for the whole table. */
  | { readonly type: 'join' }
  /** Hashes of the sender's table and durable values by bucket; differing buckets are sent back. */
  | { readonly type: 'digest', readonly members: readonly number[], readonly values: readonly number[], readonly reply: boolean }

export interface GossipMessage {
  readonly sender: NodeId
  readonly body: GossipBody
  readonly updates: readonly Member[]
  readonly values: readonly GossipValue[]
}

/** An entry VM in the platform's list. */
export interface ListedVm {
  readonly node: NodeId
  readonly leaving: boolean
}

export type MembershipEvent =
  | { readonly type: 'ticked' }
  | { readonly type: 'received', readonly from: string, readonly message: GossipMessage }
  /** `asOf` is the wall-clock time of the list's contents, in milliseconds. */
  | { readonly type: 'vm_listed', readonly asOf: number, readonly vms: readonly ListedVm[] }
  | { readonly type: 'seeds_changed', readonly addresses: readonly string[] }
  /** A call to the node failed; it is probed at once. */
  | { readonly type: 'call_failed', readonly node: NodeId }
  | { readonly type: 'leave' }
  /** The last word before the process ends. */
  | { readonly type: 'stopped' }

export type MembershipEffect =
  | { readonly type: 'send', readonly to: string, readonly message: GossipMessage }
  | { readonly type: 'member_changed', readonly member: Member, readonly previous: MemberState | null, readonly reason: string }
  /** This process did not run for `gap` milliseconds and trusts its own timers again only after answers. */
  | { readonly type: 'self_distrusted', readonly gap: Millis }
  | { readonly type: 'value_changed', readonly value: GossipValue }
  | { readonly type: 'value_removed', readonly node: NodeId, readonly topic: string }

/** A backend server that must not get new work. */
export interface LeavingRunner {
  readonly runner: RunnerId
  readonly since: number
}

/** Periods, limits and time-outs; tests replace single ones. */
export interface MembershipTimings {
  readonly probePeriod: Millis
  readonly ackTimeout: Millis
  readonly indirectTimeout: Millis
  /** A helper reports failure after this time; shorter than `indirectTimeout`. */
  readonly relayTimeout: Millis
  readonly suspicionTimeout: Millis
  /** A longer gap between two ticks means that this process was paused. */
  readonly pauseThreshold: Millis
  /** Members asked for an indirect probe. */
  readonly indirectProbes: number
  readonly gossipPeriod: Millis
  readonly fanout: number
  readonly antiEntropyPeriod: Millis
  readonly reconnectPeriod: Millis
  readonly tombstoneLifetime: Millis
  readonly maxLocalHealth: number
  /** Bytes a second for changes of members. */
  readonly updateBudget: number
  /** Bytes a second for values that are sent to subscribers. */
  readonly subscriberBudget: number
  /** Bytes a second for relayed values that anti-entropy does not cover. */
  readonly relayBudget: number
}
