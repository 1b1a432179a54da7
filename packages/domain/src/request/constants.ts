/** Default bounds of a request's attempts. Times are in milliseconds. */
import type { Millis } from '../types.js'

/** Attempts of one request, the first included. */
export const MAX_ATTEMPTS = 6

/** Times that one attempt is resumed on the same runner. */
export const MAX_RESUMES = 3

/** Dispatchers that may refuse a request that has not run, before it is refused. */
export const MAX_REFUSALS = 2

/** Times that a request makes way for another. */
export const MAX_RECALLS = 3

/** Delay before the second attempt; it doubles with each further one. */
export const RETRY_DELAY: Millis = 50

/** Longest delay between two attempts. */
export const MAX_RETRY_DELAY: Millis = 2_000

/** Retry time of an outcome where neither the queue nor the server named one. */
export const DEFAULT_RETRY_AFTER: Millis = 1_000
