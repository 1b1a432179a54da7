/** Which of two claims about one member holds. */
import type { FailureDomain } from '../types.js'
import type { Member, MemberState } from './types.js'

const STATE_RANK: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, unreachable: 2, left: 3 }

/**
 * The later process wins, then the greater incarnation, then the graver state.
 *
 * @param claim - claim that was received
 * @param current - claim that is held
 * @returns whether `claim` replaces `known`
 */
export const supersedes = (claim: Member, current: Member): boolean => {
  if (claim.startedAt !== current.startedAt) return claim.startedAt > current.startedAt
  if (claim.incarnation !== current.incarnation) return claim.incarnation > current.incarnation
  return STATE_RANK[claim.state] > STATE_RANK[current.state]
}

/**
 * Leaves out what the receivers know already, unless the member is alive: then it may be new to them.
 *
 * @param member - member to tell of
 * @returns the claim to send
 */
export const compactClaim = (member: Member): Member =>
  member.state === 'alive' ? member : { ...member, failureDomain: '' as FailureDomain, peerAddress: '', gossipAddress: '' }

/** Whether the claim lacks the member's addresses. */
export const isCompact = (claim: Member): boolean => claim.gossipAddress === ''

const withAddresses = (claim: Member, current: Member): Member => isCompact(claim)
  ? { ...claim, failureDomain: current.failureDomain, peerAddress: current.peerAddress, gossipAddress: current.gossipAddress }
  : claim

/**
 * Merges two claims about one member; `leaving` stays set within one process life.
 *
 * @param claim - claim that was received
 * @param current - claim that is held
 * @returns the merged claim, or `known` itself where nothing changes
 */
export const mergeClaims = (claim: Member, current: Member): Member => {
  const winner = supersedes(claim, current) ? withAddresses(claim, current) : current
  if (claim.startedAt !== current.startedAt) return winner
  const leaving = claim.leaving || current.leaving
  return winner.leaving === leaving ? winner : { ...winner, leaving }
}

/**
 * Whether a node may be given new requests or runners.
 *
 * @param member - member as known here
 * @returns true for a live or suspected node that is not stopping
 */
export const acceptsNewWork = (member: Member): boolean =>
  !member.leaving && (member.state === 'alive' || member.state === 'suspect')

/**
 * Whether a node takes part in probing and gossip.
 *
 * @param member - member as known here
 */
export const isReachable = (member: Member): boolean =>
  member.state === 'alive' || member.state === 'suspect'
