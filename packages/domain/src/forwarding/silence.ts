/** How long a stream may be silent before its backend server is taken for lost. */
import type { Millis } from '../types.js'

/** Silence that is always borne. */
const SHORTEST_SILENCE: Millis = 1_000

/** How much longer than predicted a first event may take. */
const FIRST_EVENT_FACTOR = 3

/** How much longer than its objective a pause may be. */
const PAUSE_FACTOR = 1.5

/**
 * @param expected - predicted time until the first event
 * @returns the time after which the first event is not waited for any longer
 */
export const longestWaitForFirstEvent = (expected: Millis): Millis => SHORTEST_SILENCE + FIRST_EVENT_FACTOR * expected

/**
 * @param pauseObjective - longest pause that keeps the answer on time; null where there is none
 * @returns the time after which the next event is not waited for any longer
 */
export const longestPause = (pauseObjective: Millis | null): Millis => SHORTEST_SILENCE + PAUSE_FACTOR * (pauseObjective ?? SHORTEST_SILENCE)
