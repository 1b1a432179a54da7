/** How long a stream may be silent before its backend server is taken for lost. */
import type { Millis } from '../types.js'

/** Silence that is always borne. */
const MIN_TIMEOUT: Millis = 1_000

/** How much longer than predicted a first event may take. */
const FIRST_EVENT_FACTOR = 3

/** How much longer than its objective a pause may be. */
const PAUSE_FACTOR = 1.5

/** How much longer than predicted a first event may take that comes shortly before the caller leaves. */
const LATE_FIRST_EVENT_FACTOR = 1.2

/** How many times its objective a caller waits for the first event, or for the next one, before it leaves. */
const CALLER_WAIT_FIRST_EVENT_FACTOR = 4
const CALLER_WAIT_NEXT_EVENT_FACTOR = 8

/** Shortest wait of a caller. */
const MIN_CALLER_WAIT: Millis = 2_000

/** Share of the caller's wait after which another server can still answer in time. */
const MAX_CALLER_WAIT_SHARE = 0.65

/** What a stream waits for. */
export interface StreamExpectations {
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
export const callerWaitTime = (objective: Millis): Millis => Math.max(MIN_CALLER_WAIT, CALLER_WAIT_FIRST_EVENT_FACTOR * objective)

/**
 * @param bounds - what the stream waits for
 * @returns the time after which the first event is not waited for any longer
 */
export const firstEventTimeout = ({ expected: timeToFirstEvent, objective, reading: prefillTime }: StreamExpectations): Millis => {
  const predictionTimeout = MIN_TIMEOUT + FIRST_EVENT_FACTOR * timeToFirstEvent + prefillTime
  return Math.min(predictionTimeout, Math.max(MAX_CALLER_WAIT_SHARE * callerWaitTime(objective), LATE_FIRST_EVENT_FACTOR * timeToFirstEvent))
}

/**
 * @param bounds - what the stream waits for
 * @returns the time after which the next event is not waited for any longer
 */
export const nextEventTimeout = ({ pauseObjective, reading: prefillTime }: StreamExpectations): Millis => {
  const pause = pauseObjective ?? MIN_TIMEOUT
  const callerWait = Math.max(MIN_CALLER_WAIT, CALLER_WAIT_NEXT_EVENT_FACTOR * pause)
  return Math.min(MIN_TIMEOUT + PAUSE_FACTOR * pause + prefillTime, MAX_CALLER_WAIT_SHARE * callerWait)
}
