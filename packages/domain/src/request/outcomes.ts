/** What the attempts of a request add up to, and the effects that give one up. */
import type { Grant } from '../dispatch/types.js'
import type { AttemptId, NodeId } from '../types.js'
import { Ran } from '../types.js'
import type { RequestEffect } from './types.js'

/** A request ran when any attempt did, and may have run when any may have. */
export const mergeRan = (before: Ran, attempt: Ran): Ran => {
  if (before === Ran.Yes || attempt === Ran.Yes) return Ran.Yes
  return before === Ran.Unknown || attempt === Ran.Unknown ? Ran.Unknown : Ran.No
}

/** Gives back a grant that the request has no use for. */
export const cancelGrant = (dispatcher: NodeId, grant: Grant, reason: string): RequestEffect =>
  ({ type: 'cancel', attempt: grant.attempt, runner: grant.runner, dispatcher, reason })

/** Stops an attempt that has no grant here. */
export const cancelAttempt = (attempt: AttemptId, reason: string): RequestEffect =>
  ({ type: 'cancel', attempt, runner: null, dispatcher: null, reason })
