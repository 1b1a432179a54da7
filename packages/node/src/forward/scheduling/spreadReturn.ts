/** Spreads the return of refused callers. */
import type { Millis } from '@bluebellhill/domain'

/**
 * @param wait - time after which a request can be served
 * @returns a random time from `wait` to twice as long, so that refused callers do not return as one wave
 */
export const spreadReturn = (wait: Millis): Millis => wait * (1 + Math.random())
