/** A dispatcher's own runners as members of groups. */
import type { Millis, Tokens } from '../../types.js'
import type { Runner } from '../Runner.js'
import type { GroupMember, ReservationRequest } from './types.js'

/** Least part of a runner's memory that makes it worth a member. */
const MIN_MEMBER_SHARE = 0.25

/**
 * Reserves what is free, in the order of the runners' names.
 *
 * @param request - what is wanted
 * @param runners - usable runners of the model
 * @param now - time
 * @returns members; where they do not suffice, the group has its turn noted on every runner
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
