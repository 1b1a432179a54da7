/** Gathers the time lines and histograms of all nodes. */
import { AdminPath, EventKind, decodeEvent, encodeStamp, isEventKind, mergeEvents, stampOf } from '@bluebellhill/protocol'
import type { EventFilter, HistogramsReply, TimeLineEvent, TimeLineReply } from '@bluebellhill/protocol'

import { callNodes } from '../fleet/index.js'
import type { UnresponsiveNode } from '../fleet/index.js'
import { ActionError, ExitCode, parseDuration } from '../terminal/index.js'

/** A node whose time line was read. */
export interface TimeLineNode {
  readonly node: string
  readonly failureDomain: string
  readonly address: string
  /** Events that its ring has overwritten. */
  readonly overwritten: number
  /** Whether it holds more matching events than were read. */
  readonly truncated: boolean
}

/** The time line over all processes. */
export interface MergedTimeLine {
  readonly nodes: readonly TimeLineNode[]
  readonly silent: readonly UnresponsiveNode[]
  readonly events: readonly TimeLineEvent[]
}

/** What the operator asked for, as typed. */
export interface FilterOptions {
  readonly request?: string | undefined
  readonly organisation?: string | undefined
  readonly runner?: string | undefined
  readonly kind?: string | undefined
  readonly since?: string | undefined
  readonly until?: string | undefined
  readonly limit?: string | undefined
}

const parseTime = (name: string, text: string, now: number): number => {
  const age = parseDuration(text)
  if (age !== undefined) return now - age
  const hasZone = /(Z|[+-]\d\d:?\d\d)$/.test(text)
  const wall = Date.parse(hasZone ? text : `${text.replace(' ', 'T')}Z`)
  if (!Number.isNaN(wall) && wall >= 0) return wall
  throw new ActionError(ExitCode.Usage, `--${name} "${text}" is no time`, 'give how long ago (30s, 5m, 2h) or a time in UTC such as 2026-12-03T20:15:00')
}

const parseKinds = (text: string | undefined): EventKind[] | undefined => text?.split(',').map((kind) => {
  if (isEventKind(kind)) return kind
  throw new ActionError(ExitCode.Usage, `"${kind}" is no kind of event`, `use some of ${Object.values(EventKind).join(', ')}`)
})

const parseLimit = (text: string | undefined): number | undefined => {
  if (text === undefined) return undefined
  const limit = Number(text)
  if (Number.isInteger(limit) && limit > 0) return limit
  throw new ActionError(ExitCode.Usage, `--limit "${text}" is no number of events`, 'give a whole number of at least 1')
}

/**
 * Reads what the operator typed.
 *
 * @param options - the options
 * @param now - wall time in milliseconds since the epoch
 * @returns the filter
 * @throws ActionError saying which option is wrong
 */
export const parseFilter = (options: FilterOptions, now: number): EventFilter => ({
  request: options.request,
  organisation: options.organisation,
  runner: options.runner,
  kinds: parseKinds(options.kind),
  after: options.since === undefined ? undefined : stampOf(parseTime('since', options.since, now)),
  before: options.until === undefined ? undefined : stampOf(parseTime('until', options.until, now)),
  limit: parseLimit(options.limit)
})

const queryOf = (filter: EventFilter): URLSearchParams => {
  const query = new URLSearchParams()
  if (filter.request !== undefined) query.set('request', filter.request)
  if (filter.organisation !== undefined) query.set('organisation', filter.organisation)
  if (filter.runner !== undefined) query.set('runner', filter.runner)
  if (filter.kinds !== undefined) query.set('kind', filter.kinds.join(','))
  if (filter.after !== undefined) query.set('after', encodeStamp(filter.after))
  if (filter.before !== undefined) query.set('before', encodeStamp(filter.before))
  if (filter.limit !== undefined) query.set('limit', String(filter.limit))
  return query
}

/**
 * Reads the time line of every node and merges them.
 *
 * @param addresses - the admin addresses
 * @param filter - which events; the limit applies to the merged list too
 * @param timeout - for each node, in milliseconds
 * @returns the events in order, and which nodes did and did not answer
 * @throws ActionError where no node answered
 */
export const gatherTimeLine = async (addresses: readonly string[], filter: EventFilter, timeout: number): Promise<MergedTimeLine> => {
  const { answers, silent } = await callNodes<TimeLineReply>(addresses, { path: AdminPath.TimeLine, query: queryOf(filter), timeout })
  const lists = answers.map(({ reply }) => reply.events.flatMap((event) => decodeEvent(event) ?? []))
  const merged = mergeEvents(lists)
  const limit = filter.limit ?? merged.length
  const events = filter.after === undefined ? merged.slice(Math.max(0, merged.length - limit)) : merged.slice(0, limit)
  const nodes = answers.map(({ address, reply }) => ({
    node: reply.node,
    failureDomain: reply.failureDomain,
    address,
    overwritten: reply.overwritten,
    truncated: reply.truncated
  }))
  return { nodes: nodes.sort((left, right) => compareNodes(left, right)), silent, events }
}

const compareNodes = (left: TimeLineNode, right: TimeLineNode): number => {
  const first = `${left.failureDomain} ${left.node}`
  const second = `${right.failureDomain} ${right.node}`
  return first < second ? -1 : Number(first > second)
}

/**
 * Reads the metrics of every node.
 *
 * @param addresses - the admin addresses
 * @param timeout - for each node, in milliseconds
 * @returns one reply for each node that answered
 * @throws ActionError where no node answered
 */
export const gatherMetrics = async (addresses: readonly string[], timeout: number): Promise<HistogramsReply[]> => {
  const { answers } = await callNodes<HistogramsReply>(addresses, { path: AdminPath.Histograms, timeout })
  return answers.map(({ reply }) => reply)
}
