/** Computes the timeouts for the first and the next event of a stream, after which an attempt is given up. */
import type { Millis } from '../types.js'

/** Lower bound of both timeouts; also the pause objective assumed for routes without one. */
const MIN_TIMEOUT: Millis = 1_000

/** Multiple of its predicted time that the first event may take. */
const FIRST_EVENT_FACTOR = 3

/** Multiple of the pause objective that a pause may last. */
const PAUSE_FACTOR = 1.5

/**
 * Multiple of its predicted time that the first event may take while other engines hold memory for it: that memory stays reserved
 * if the engine has died without closing its connection.
 */
const HELD_FIRST_EVENT_FACTOR = 1.5

/** Multiple of its predicted time that the first event may take if it is predicted shortly before the caller disconnects. */
const LATE_FIRST_EVENT_FACTOR = 1.2

/** Time that a caller waits for the first or the next event before it disconnects, as a multiple of the objective. */
const CALLER_WAIT_FIRST_EVENT_FACTOR = 4
const CALLER_WAIT_NEXT_EVENT_FACTOR = 8

/** Shortest time that a caller waits for an event. */
const MIN_CALLER_WAIT: Millis = 2_000

/** Share of the caller's wait after which another backend server can still answer in time. */
const MAX_CALLER_WAIT_SHARE = 0.65

/** Predictions and objectives from which the timeouts of a stream are computed. */
export interface StreamExpectations {
  /** Predicted time to first event. */
  readonly expected: Millis
  /** Time within which the first event is due. */
  readonly objective: Millis
  /** Longest pause that keeps the answer on time; null if the route sets none. */
  readonly pauseObjective: Millis | null
  /** Time to prefill the prompt again on one engine without other load: the cost of another attempt to the fleet. */
  readonly reading: Millis
  /** Whether other engines hold KV cache memory for the stream. */
  readonly holdsMemory: boolean
}

/**
 * @param objective - time within which the first event is due
 * @returns the time after which the caller disconnects unless the first event has arrived
 */
export const callerWaitTime = (objective: Millis): Millis => Math.max(MIN_CALLER_WAIT, CALLER_WAIT_FIRST_EVENT_FACTOR * objective)

/**
 * @param pauseObjective - longest pause that keeps the answer on time; null if the route sets none
 * @returns the pause between two events after which the caller disconnects
 */
export const callerPauseTolerance = (pauseObjective: Millis | null): Millis =>
  Math.max(MIN_CALLER_WAIT, CALLER_WAIT_NEXT_EVENT_FACTOR * (pauseObjective ?? MIN_TIMEOUT))

/**
 * @param expectations - predictions and objectives of the stream
 * @returns longest time without data before the first event
 */
export const firstEventTimeout = ({ expected: timeToFirstEvent, objective, reading: prefillTime, holdsMemory }: StreamExpectations): Millis => {
  if (holdsMemory) return MIN_TIMEOUT + HELD_FIRST_EVENT_FACTOR * timeToFirstEvent
  const predictionTimeout = MIN_TIMEOUT + FIRST_EVENT_FACTOR * timeToFirstEvent + prefillTime
  return Math.min(predictionTimeout, Math.max(MAX_CALLER_WAIT_SHARE * callerWaitTime(objective), LATE_FIRST_EVENT_FACTOR * timeToFirstEvent))
}

/**
 * @param expectations - predictions and objectives of the stream
 * @returns longest time without data after the first event
 */
export const nextEventTimeout = ({ pauseObjective, reading: prefillTime }: StreamExpectations): Millis => {
  const pause = pauseObjective ?? MIN_TIMEOUT
  return Math.min(MIN_TIMEOUT + PAUSE_FACTOR * pause + prefillTime, MAX_CALLER_WAIT_SHARE * callerPauseTolerance(pauseObjective))
}
