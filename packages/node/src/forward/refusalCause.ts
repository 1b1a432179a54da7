/** Tells callers why no backend server was chosen for their request. */
import { RefusalCause } from './entry/refusals.js'
import { PlacementRefusal } from './scheduling/types.js'
import type { RefusedPlacement } from './scheduling/types.js'

/**
 * Servers that have stated when they accept requests again are told apart from those of which that is only predicted.
 *
 * @param refusal - why the next attempt was not placed; null if none was allowed
 * @returns the cause in the answer to the caller
 */
export const refusalCauseOf = (refusal: RefusedPlacement | null): RefusalCause =>
  refusal !== null && isWaitStated(refusal) ? RefusalCause.ServersLimited : RefusalCause.NoServer

/** @returns whether backend servers have stated when they accept requests again */
export const isWaitStated = ({ reason }: RefusedPlacement): boolean => reason === PlacementRefusal.RequestLimit || reason === PlacementRefusal.ServersPaused
