/** Combines the execution results of a request's attempts, and builds the effects that cancel an attempt. */
import type { Grant } from '../dispatch/types.js'
import type { AttemptId, NodeId } from '../types.js'
import { Ran } from '../types.js'
import type { RequestEffect } from './types.js'

/** Combines two execution results: `Yes` if either is `Yes`, otherwise `Unknown` if either is `Unknown`, otherwise `No`. */
export const mergeRan = (earlier: Ran, latest: Ran): Ran => {
  if (earlier === Ran.Yes || latest === Ran.Yes) return Ran.Yes
  return earlier === Ran.Unknown || latest === Ran.Unknown ? Ran.Unknown : Ran.No
}

/** Builds the effect that returns an unused grant to its dispatcher. */
export const cancelGrant = (dispatcher: NodeId, grant: Grant, reason: string): RequestEffect =>
  ({ type: 'cancel', attempt: grant.attempt, runner: grant.runner, dispatcher, reason })

/** Builds the effect that cancels an attempt for which the request has no grant. */
export const cancelAttempt = (attempt: AttemptId, reason: string): RequestEffect =>
  ({ type: 'cancel', attempt, runner: null, dispatcher: null, reason })
