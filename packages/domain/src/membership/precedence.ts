/** Which of two claims about one member holds. */
import type { FailureDomain } from '../types.js'
import type { Member, MemberState } from './types.js'

const STATE_RANK: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, unreachable: 2, left: 3 }

/**
 * The later process wins, then the greater incarnation, then the graver state.
 *
 * @param claim - claim that was received
 * @param known - claim that is held
 * @returns whether `claim` replaces `known`
 */
export const supersedes = (claim: Member, known: Member): boolean => {
  if (claim.startedAt !== known.startedAt) return claim.startedAt > known.startedAt
  if (claim.incarnation !== known.incarnation) return claim.incarnation > known.incarnation
  return STATE_RANK[claim.state] > STATE_RANK[known.state]
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

const complete = (claim: Member, known: Member): Member => isCompact(claim)
  ? { ...claim, failureDomain: known.failureDomain, peerAddress: known.peerAddress, gossipAddress: known.gossipAddress }
  : claim

/**
 * Merges two claims about one member; `leaving` stays set within one process life.
 *
 * @param claim - claim that was received
 * @param known - claim that is held
 * @returns the merged claim, or `known` itself where nothing changes
 */
export const mergeClaims = (claim: Member, known: Member): Member => {
  const winner = supersedes(claim, known) ? complete(claim, known) : known
  if (claim.startedAt !== known.startedAt) return winner
  const leaving = claim.leaving || known.leaving
  return winner.leaving === leaving ? winner : { ...winner, leaving }
}

/**
 * Whether a node may be given new requests or runners.
 *
 * @param member - member as known here
 * @returns true for a live or suspected node that is not stopping
 */
export const takesNewWork = (member: Member): boolean =>
  !member.leaving && (member.state === 'alive' || member.state === 'suspect')

/**
 * Whether a node takes part in probing and gossip.
 *
 * @param member - member as known here
 */
export const isReachable = (member: Member): boolean =>
  member.state === 'alive' || member.state === 'suspect'
