/** State and functions that `Membership` shares with its components. */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import type { Millis } from '../types.js'
import type { MemberTable } from './MemberTable.js'
import type { GossipBody, GossipMessage, Member, MembershipTimings } from './types.js'

/** Member table, settings and send functions that `Membership` passes to its components. */
export interface MembershipContext {
  readonly table: MemberTable
  readonly rng: RandomGenerator
  readonly timings: MembershipTimings
  /** This node's own entry. */
  readonly me: () => Member
  /** Sends a message and adds the pending updates that fit; `peer` is the receiver's entry if it is known. */
  readonly send: (to: string, body: GossipBody, peer?: Member) => void
  /** Sends a message without adding updates. */
  readonly emit: (to: string, message: GossipMessage) => void
  /** Applies a claim that this node makes itself. */
  readonly applyClaim: (member: Member, reason: string, now: Millis) => void
}

/**
 * @param context - shared state
 * @returns reachable members except this node
 */
export const reachableOthers = ({ table, me }: MembershipContext): Member[] =>
  table.reachable().filter((member) => member.node !== me().node)

/**
 * @param context - shared state
 * @param member - any member
 * @returns whether it is in this node's failure domain
 */
export const isInOwnDomain = ({ me }: MembershipContext, member: Member): boolean =>
  member.failureDomain === me().failureDomain
