/** Reserves memory on a dispatcher's own runners for a sequence group. */
import type { Millis, Tokens } from '../../types.js'
import type { Runner } from '../Runner.js'
import type { GroupMember, ReservationRequest } from './types.js'

/** A runner becomes a member only if at least this share of its memory is free. */
const MIN_MEMBER_SHARE = 0.25

/**
 * Reserves free memory, in the order of the runners' names.
 *
 * If the free memory does not suffice, the group claims a place in the queue of each runner where it has no reservation.
 *
 * @param request - memory and model that the group needs
 * @param runners - usable runners of the model
 * @param now - current time
 * @returns the reserved members, possibly with less memory than requested
 */
export const reserveMembers = (request: ReservationRequest, runners: readonly Runner[], now: Millis): readonly GroupMember[] => {
  const since = now - request.age
  const members: GroupMember[] = []
  let missing: Tokens = request.tokens
  for (const runner of [...runners].sort((a, b) => a.id < b.id ? -1 : 1)) {
    if (missing <= 0) break
    const offered = offerableTokens(runner, request, since, now)
    if (offered === 0) continue
    const memberTokens = Math.min(offered, missing)
    runner.reservations.reserve(request.attempt, memberTokens, now, request.round)
    members.push({ runner: runner.id, tokens: memberTokens })
    missing -= memberTokens
  }
  if (missing > 0) for (const runner of runners) if (!runner.reservations.has(request.attempt)) runner.reservations.claim(request.attempt, since, now)
  return members
}

const offerableTokens = (runner: Runner, { attempt }: ReservationRequest, since: Millis, now: Millis): Tokens => {
  if (runner.reservations.has(attempt) || runner.reservations.hasOlderClaim(attempt, since, now)) return 0
  const free = runner.freeTokens
  return runner.freeSlots > 0 && free >= runner.totalTokens * MIN_MEMBER_SHARE ? free : 0
}
