/** Fetches the time lines, histograms and counters of all nodes, and merges the time lines. */
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
  /** Number of events that the node's ring buffer has overwritten. */
  readonly overwritten: number
  /** Whether the node has more matching events than it returned. */
  readonly truncated: boolean
}

/** The time line of all nodes. */
export interface MergedTimeLine {
  readonly nodes: readonly TimeLineNode[]
  /** Nodes that did not answer. */
  readonly silent: readonly UnresponsiveNode[]
  readonly events: readonly TimeLineEvent[]
}

/** Filter options of the command line, before they are parsed. */
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
 * Parses the filter options of the command line.
 *
 * @param options - the options as typed
 * @param now - current wall time in milliseconds since the epoch; ages such as `5m` are subtracted from it
 * @returns the filter
 * @throws ActionError that names the invalid option
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
 * Fetches the time line of every node and merges them.
 *
 * @param addresses - the admin addresses
 * @param filter - which events; its limit applies to each node and to the merged list
 * @param timeout - for each node, in milliseconds
 * @returns the events ordered by stamp, the nodes that answered and those that did not
 * @throws ActionError if no node answered
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
 * Fetches the histograms and counters of every node.
 *
 * @param addresses - the admin addresses
 * @param timeout - for each node, in milliseconds
 * @returns one reply for each node that answered
 * @throws ActionError if no node answered
 */
export const gatherMetrics = async (addresses: readonly string[], timeout: number): Promise<HistogramsReply[]> => {
  const { answers } = await callNodes<HistogramsReply>(addresses, { path: AdminPath.Histograms, timeout })
  return answers.map(({ reply }) => reply)
}
