/** Decides which of two claims about one member takes precedence. */
import type { FailureDomain } from '../types.js'
import type { Member, MemberState } from './types.js'

const STATE_RANK: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, unreachable: 2, left: 3 }

/**
 * Compares two claims: the one about the later process wins, then the one with the greater incarnation, then the one with
 * the more severe state.
 *
 * @param claim - claim that was received
 * @param current - stored claim
 * @returns whether `claim` replaces `current`
 */
export const supersedes = (claim: Member, current: Member): boolean => {
  if (claim.startedAt !== current.startedAt) return claim.startedAt > current.startedAt
  if (claim.incarnation !== current.incarnation) return claim.incarnation > current.incarnation
  return STATE_RANK[claim.state] > STATE_RANK[current.state]
}

/**
 * Removes the failure domain and the addresses, which the receivers already have. The claim about an alive member stays
 * complete, because the member may be new to them.
 *
 * @param member - entry of the member
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
 * Merges two claims about one member; `leaving` stays set until the process is restarted.
 *
 * @param claim - claim that was received
 * @param current - stored claim
 * @returns the merged claim, or `current` itself if nothing changes
 */
export const mergeClaims = (claim: Member, current: Member): Member => {
  const winner = supersedes(claim, current) ? withAddresses(claim, current) : current
  if (claim.startedAt !== current.startedAt) return winner
  const leaving = claim.leaving || current.leaving
  return winner.leaving === leaving ? winner : { ...winner, leaving }
}

/**
 * Whether a node may receive new requests or runners.
 *
 * @param member - entry of the node
 * @returns true for an alive or suspect node that is not leaving
 */
export const acceptsNewWork = (member: Member): boolean =>
  !member.leaving && (member.state === 'alive' || member.state === 'suspect')

/**
 * Whether a node takes part in probing and gossip.
 *
 * @param member - entry of the node
 */
export const isReachable = (member: Member): boolean =>
  member.state === 'alive' || member.state === 'suspect'
