/** What the parts of membership share. */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import type { Millis } from '../types.js'
import type { MemberTable } from './MemberTable.js'
import type { GossipBody, GossipMessage, Member, MembershipTimings } from './types.js'

/** Table, settings and ways out that `Membership` gives to its parts. */
export interface MembershipContext {
  readonly table: MemberTable
  readonly rng: RandomGenerator
  readonly timings: MembershipTimings
  /** This node's own entry. */
  readonly me: () => Member
  /** Sends a message with the updates that fit; `peer` is the receiver where it is known. */
  readonly send: (to: string, body: GossipBody, peer?: Member) => void
  /** Sends a message as it is. */
  readonly emit: (to: string, message: GossipMessage) => void
  /** Takes a claim in that this node makes itself. */
  readonly applyClaim: (member: Member, reason: string, now: Millis) => void
}

/**
 * @param context - shared state
 * @returns reachable members but for this node
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
