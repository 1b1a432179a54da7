/** Default bounds of a request's attempts. */
import type { Millis } from '../types.js'

/** Attempts of one request, including the first; attempts that were recalled do not count. */
export const MAX_ATTEMPTS = 6

/** Number of times that one attempt is resumed on the same runner. */
export const MAX_RESUMES = 3

/** Refusals by dispatchers after which a request that has not run fails with the last refusal. */
export const MAX_REFUSALS = 2

/** Number of times that dispatchers can recall one request's attempts; further recalls are ignored. */
export const MAX_RECALLS = 3

/** Base of the exponential backoff: the delay after attempt n is this times 2^(n - 1). If the first attempt breaks, the retry is immediate. */
export const RETRY_DELAY: Millis = 50

/** Longest delay between two attempts. */
export const MAX_RETRY_DELAY: Millis = 2_000

/** Retry delay suggested to the caller if neither the dispatcher nor the backend server gave one. */
export const DEFAULT_RETRY_AFTER: Millis = 1_000
