/** Writes the events that operators look for in the log. */
import { EventKind, REQUEST_KINDS } from '@bluebellhill/protocol'
import type { TimeLineEvent } from '@bluebellhill/protocol'

import type { Log, LogFields } from '../log/index.js'
import type { Disposable } from '../store/index.js'
import type { TimeLine } from './TimeLine.js'

/** Events of a request that are logged; the ordinary course is left to the time line. */
const LOGGED_REQUEST_KINDS: ReadonlySet<EventKind> = new Set([
  EventKind.RequestRefused, EventKind.AttemptBroken, EventKind.DispatcherLost, EventKind.AnswerDropped, EventKind.GrantLapsed
])

/** Events that the daemon logs itself, with more fields. */
const KINDS_LOGGED_BY_DAEMON: ReadonlySet<EventKind> = new Set([EventKind.NodeStarted, EventKind.NodeStopping, EventKind.NodeStopped])

const isLogged = (event: TimeLineEvent): boolean => {
  if (event.kind === EventKind.RequestFinished) return event.payload.code !== 'answered'
  return REQUEST_KINDS.has(event.kind) ? LOGGED_REQUEST_KINDS.has(event.kind) : !KINDS_LOGGED_BY_DAEMON.has(event.kind)
}

const fieldsOf = (event: TimeLineEvent): LogFields => ({
  request: event.request,
  attempt: event.attempt,
  organisation: event.organisation,
  runner: event.runner,
  reason: event.reason === '' ? undefined : event.reason,
  ...event.payload
})

/**
 * Logs changes of the fleet, and what went wrong with requests.
 *
 * @param timeLine - where events are recorded
 * @param log - where they are written
 * @returns stops when disposed
 */
export const logEvents = (timeLine: TimeLine, log: Log): Disposable => timeLine.onEvent((event) => {
  if (isLogged(event)) log.info(event.kind, fieldsOf(event))
})
