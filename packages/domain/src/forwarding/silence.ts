/** How long a stream may be silent before its backend server is taken for lost. */
import type { Millis } from '../types.js'

/** Silence that is always borne. */
const SHORTEST_SILENCE: Millis = 1_000

/** How much longer than predicted a first event may take. */
const FIRST_EVENT_FACTOR = 3

/** How much longer than its objective a pause may be. */
const PAUSE_FACTOR = 1.5

/** How much longer than predicted a first event may take that comes shortly before the caller leaves. */
const LATE_EVENT_FACTOR = 1.2

/** How many times its objective a caller waits for the first event, or for the next one, before it leaves. */
const CALLER_WAIT_FOR_FIRST_EVENT = 4
const CALLER_WAIT_FOR_NEXT_EVENT = 8

/** Shortest wait of a caller. */
const SHORTEST_CALLER_WAIT: Millis = 2_000

/** Share of the caller's wait after which another server can still answer in time. */
const SHARE_OF_CALLER_WAIT = 0.65

/** What a stream waits for. */
export interface SilenceBounds {
  /** Predicted time until the first event. */
  readonly expected: Millis
  /** Time within which the first event is due. */
  readonly objective: Millis
  /** Longest pause that keeps the answer on time; null where there is none. */
  readonly pauseObjective: Millis | null
  /** Time to read the prompt once more, alone: what another attempt costs everybody. */
  readonly reading: Millis
}

/**
 * @param objective - time within which the first event is due
 * @returns the time after which the caller leaves, unless the first event has come
 */
export const callerWaitOf = (objective: Millis): Millis => Math.max(SHORTEST_CALLER_WAIT, CALLER_WAIT_FOR_FIRST_EVENT * objective)

/**
 * @param bounds - what the stream waits for
 * @returns the time after which the first event is not waited for any longer
 */
export const longestWaitForFirstEvent = ({ expected, objective, reading }: SilenceBounds): Millis => {
  const bearable = SHORTEST_SILENCE + FIRST_EVENT_FACTOR * expected + reading
  return Math.min(bearable, Math.max(SHARE_OF_CALLER_WAIT * callerWaitOf(objective), LATE_EVENT_FACTOR * expected))
}

/**
 * @param bounds - what the stream waits for
 * @returns the time after which the next event is not waited for any longer
 */
export const longestPause = ({ pauseObjective, reading }: SilenceBounds): Millis => {
  const pause = pauseObjective ?? SHORTEST_SILENCE
  const callerWait = Math.max(SHORTEST_CALLER_WAIT, CALLER_WAIT_FOR_NEXT_EVENT * pause)
  return Math.min(SHORTEST_SILENCE + PAUSE_FACTOR * pause + reading, SHARE_OF_CALLER_WAIT * callerWait)
}
