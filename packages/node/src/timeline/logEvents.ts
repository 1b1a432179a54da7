/** Writes the time line events that matter to operators to the log. */
import { EventKind, REQUEST_KINDS } from '@bluebellhill/protocol'
import type { TimeLineEvent } from '@bluebellhill/protocol'

import type { Log, LogFields } from '../log/index.js'
import type { Disposable } from '../store/index.js'
import type { TimeLine } from './TimeLine.js'

/** Kinds of request events that are logged. The normal course of a request is only in the time line. */
const LOGGED_REQUEST_KINDS: ReadonlySet<EventKind> = new Set([
  EventKind.RequestRefused, EventKind.AttemptBroken, EventKind.DispatcherLost, EventKind.AnswerDropped, EventKind.GrantLapsed
])

/** Kinds of events that the daemon itself logs, with more fields. */
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
 * Logs changes of the fleet and failures of requests.
 *
 * @param timeLine - the source of the events
 * @param log - the log to which they are written
 * @returns a handle that stops the logging when it is disposed
 */
export const logEvents = (timeLine: TimeLine, log: Log): Disposable => timeLine.onEvent((event) => {
  if (isLogged(event)) log.info(event.kind, fieldsOf(event))
})
