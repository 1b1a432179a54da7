/** Groups time line events by request and selects the requests to show first: those with failures and the slowest. */
import { EventKind, codeOf, wallOf } from '@bluebellhill/protocol'
import type { ResultCode, TimeLineEvent } from '@bluebellhill/protocol'

/** The events of one request on all nodes. */
export interface RequestPath {
  readonly request: string
  readonly organisation: string | null
  readonly events: readonly TimeLineEvent[]
  /** Result code of the request; null while it is in progress or if no event of its end was read. */
  readonly code: ResultCode | null
  /** Time from its first event to its last, in milliseconds. */
  readonly duration: number
  /** Number of attempts sent to runners. */
  readonly attempts: number
}

/** Kinds of events that show that a step of a request failed, was refused, recalled or discarded. */
const TROUBLE_KINDS: ReadonlySet<EventKind> = new Set([
  EventKind.AttemptBroken, EventKind.AttemptRecalled, EventKind.AnswerDropped, EventKind.DispatcherLost, EventKind.GrantLapsed,
  EventKind.OrphanFreed, EventKind.OrderRefused
])

const pathOf = (request: string, events: readonly TimeLineEvent[]): RequestPath => {
  const end = events.findLast((event) => event.kind === EventKind.RequestFinished || event.kind === EventKind.RequestRefused)
  const code = end?.kind === EventKind.RequestFinished || end?.kind === EventKind.RequestRefused ? codeOf(end.payload.code) : undefined
  const first = events[0]
  const last = events[events.length - 1]
  return {
    request,
    organisation: events.find((event) => event.organisation !== undefined)?.organisation ?? null,
    events,
    code: code ?? null,
    duration: first === undefined || last === undefined ? 0 : wallOf(last.stamp) - wallOf(first.stamp),
    attempts: events.filter((event) => event.kind === EventKind.AttemptSent).length
  }
}

/**
 * Groups events by request.
 *
 * @param events - ordered by time
 * @returns one path for each request, ordered by first event
 */
export const requestPaths = (events: readonly TimeLineEvent[]): RequestPath[] => {
  const groups = new Map<string, TimeLineEvent[]>()
  for (const event of events) {
    if (event.request === undefined) continue
    const group = groups.get(event.request)
    if (group === undefined) groups.set(event.request, [event])
    else group.push(event)
  }
  return [...groups].map(([request, group]) => pathOf(request, group))
}

/**
 * Counts the events of a path that show trouble, plus one if the request was not answered.
 *
 * @param path - the path
 * @returns 0 for a request that was answered without trouble
 */
export const countTroubleEvents = (path: RequestPath): number => {
  const failures = path.code === null || path.code.name !== 'answered' ? 1 : 0
  return failures + path.events.filter((event) => TROUBLE_KINDS.has(event.kind)).length
}

/**
 * Selects the paths with the most trouble; among equal ones, the slowest.
 *
 * @param paths - all paths
 * @param limit - greatest number of paths
 * @returns at most `limit` paths
 */
export const notablePaths = (paths: readonly RequestPath[], limit: number): RequestPath[] =>
  [...paths].sort((left, right) => countTroubleEvents(right) - countTroubleEvents(left) || right.duration - left.duration).slice(0, limit)
