/** Tells whether data of a server show that it has not crashed. */
import type { Millis } from '../../types.js'
import { MIN_RESTART_TIME, SURVIVAL_DELAY } from './constants.js'

/** A connection that brings data from a server, on the clock on which its crash was noticed. */
export interface LiveConnection {
  /** Latest time at which the server has accepted it. */
  readonly acceptedAt: Millis
  readonly dataAt: Millis
}

/**
 * A crash breaks all connections of a server. One that the server has accepted later says nothing: a server that is back under its id
 * answers before its new start is known, unless so little time has passed that it cannot have started again.
 *
 * @param crashedAt - time at which the server is said to have crashed
 * @param connection - a connection to it
 * @returns whether the same process has sent the data as before that time
 */
export const provesSurvival = (crashedAt: Millis, { acceptedAt, dataAt }: LiveConnection): boolean =>
  dataAt > crashedAt + SURVIVAL_DELAY && acceptedAt < crashedAt + MIN_RESTART_TIME
