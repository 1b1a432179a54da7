/** Builds the replies of the admin address that contain time line events and histograms. */
import type { FailureDomain, Millis } from '@bluebellhill/domain'
import { MAX_TIMELINE_EVENTS, decodeStamp, encodeEvent, encodeStamp, isEventKind } from '@bluebellhill/protocol'
import type { EventFilter, HistogramsReply, TimeLineReply } from '@bluebellhill/protocol'

import type { Metrics } from '../metrics/index.js'
import type { TimeLine } from '../timeline/index.js'

/** Thrown when a query string is invalid; its message is sent to the client. */
export class QueryError extends Error {
  override readonly name = 'QueryError'
}

const textParameter = (query: URLSearchParams, name: string): string | undefined => query.get(name) || undefined

const stampParameter = (query: URLSearchParams, name: string): bigint | undefined => {
  const text = textParameter(query, name)
  if (text === undefined) return undefined
  const stamp = decodeStamp(text)
  if (stamp === undefined) throw new QueryError(`"${name}" has to be a stamp of up to 20 digits`)
  return stamp
}

const kindsParameter = (query: URLSearchParams): EventFilter['kinds'] => {
  const text = textParameter(query, 'kind')
  if (text === undefined) return undefined
  return text.split(',').map((kind) => {
    if (!isEventKind(kind)) throw new QueryError('"kind" names no kind of event; "bluebellhill timeline --help" lists them')
    return kind
  })
}

const limitParameter = (query: URLSearchParams): number => {
  const text = textParameter(query, 'limit')
  if (text === undefined) return MAX_TIMELINE_EVENTS
  const limit = Number(text)
  if (!Number.isInteger(limit) || limit < 1) throw new QueryError('"limit" has to be a whole number of at least 1')
  return Math.min(limit, MAX_TIMELINE_EVENTS)
}

/**
 * Parses a filter from the query string of `GET /admin/timeline`.
 *
 * @param query - `request`, `organisation`, `runner`, `kind` (comma-separated), `after`, `before` and `limit`
 * @returns the filter
 * @throws QueryError that names the invalid parameter
 */
export const parseEventFilter = (query: URLSearchParams): EventFilter => ({
  request: textParameter(query, 'request'),
  organisation: textParameter(query, 'organisation'),
  runner: textParameter(query, 'runner'),
  kinds: kindsParameter(query),
  after: stampParameter(query, 'after'),
  before: stampParameter(query, 'before'),
  limit: limitParameter(query)
})

/**
 * Answers `GET /admin/timeline`.
 *
 * @param timeLine - the node's time line
 * @param failureDomain - the node's failure domain
 * @param query - the query string
 * @returns the matching events
 * @throws QueryError if the query string is invalid; its message is to be sent with status 400
 */
export const timeLineReply = (timeLine: TimeLine, failureDomain: FailureDomain, query: URLSearchParams): TimeLineReply => {
  const { events, truncated } = timeLine.query(parseEventFilter(query))
  return {
    node: timeLine.node,
    failureDomain,
    now: encodeStamp(timeLine.clock.now()),
    overwritten: timeLine.overwritten,
    truncated,
    events: events.map(encodeEvent)
  }
}

/**
 * Answers `GET /admin/metrics/histograms`.
 *
 * @param metrics - the node's metrics
 * @param node - the node's id
 * @param failureDomain - the node's failure domain
 * @param uptime - time since the node started
 * @returns the encoded histograms and all counters
 */
export const histogramsReply = async (metrics: Metrics, node: string, failureDomain: FailureDomain, uptime: Millis): Promise<HistogramsReply> => ({
  node,
  failureDomain,
  uptime,
  histograms: metrics.encodeHistograms(),
  counters: await metrics.readCounters()
})
