/** Encoding, filtering, ordering and merging of time line events. */
import type { Stamp } from '../clock/index.js'
import { isEventKind } from './kinds.js'
import type { EncodedEvent, EncodedStamp, EventFilter, TimeLineEvent } from './types.js'

const STAMP_DIGITS = /^\d{1,20}$/
const MAX_STAMP = (1n << 64n) - 1n

/**
 * Encodes a stamp for JSON.
 *
 * @param stamp - the stamp
 * @returns its decimal digits
 */
export const encodeStamp = (stamp: Stamp): EncodedStamp => stamp.toString() as EncodedStamp

/**
 * Decodes a stamp from JSON or from a query.
 *
 * @param text - decimal digits
 * @returns the stamp, or undefined where the text is not one
 */
export const decodeStamp = (text: string): Stamp | undefined => {
  if (!STAMP_DIGITS.test(text)) return undefined
  const stamp = BigInt(text)
  return stamp <= MAX_STAMP ? stamp : undefined
}

/**
 * Encodes an event for JSON.
 *
 * @param event - the event
 * @returns the same with its stamp as a string
 */
export const encodeEvent = (event: TimeLineEvent): EncodedEvent => ({ ...event, stamp: encodeStamp(event.stamp) }) as EncodedEvent

const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null

/**
 * Decodes an event from JSON.
 *
 * @param value - what JSON.parse returned
 * @returns the event, or undefined where it is none, as from a node of a later version
 */
export const decodeEvent = (value: unknown): TimeLineEvent | undefined => {
  if (!isRecord(value) || !isRecord(value.payload)) return undefined
  if (typeof value.stamp !== 'string' || typeof value.node !== 'string') return undefined
  if (typeof value.kind !== 'string' || typeof value.reason !== 'string' || !isEventKind(value.kind)) return undefined
  const stamp = decodeStamp(value.stamp)
  return stamp === undefined ? undefined : { ...value, stamp } as unknown as TimeLineEvent
}

/**
 * Orders events: by stamp, then by node so that every reader sees the same order.
 *
 * @param left - one event
 * @param right - the other
 * @returns below 0 where `left` stands first
 */
export const compareEvents = (left: TimeLineEvent, right: TimeLineEvent): number => {
  if (left.stamp !== right.stamp) return left.stamp < right.stamp ? -1 : 1
  if (left.node === right.node) return 0
  return left.node < right.node ? -1 : 1
}

/**
 * Merges the events of several nodes.
 *
 * @param lists - one list a node, in any order
 * @returns all events, ordered by stamp, each once
 */
export const mergeEvents = (lists: ReadonlyArray<readonly TimeLineEvent[]>): TimeLineEvent[] => {
  const sorted = lists.flat().sort(compareEvents)
  return sorted.filter((event, index) => {
    const previous = sorted[index - 1]
    return previous === undefined || compareEvents(previous, event) !== 0
  })
}

/**
 * Tells whether an event passes a filter; `limit` plays no part.
 *
 * @param event - the event
 * @param filter - the filter
 * @returns true where every given part matches
 */
export const matches = (event: TimeLineEvent, filter: EventFilter): boolean => {
  if (filter.request !== undefined && event.request !== filter.request) return false
  if (filter.organisation !== undefined && event.organisation !== filter.organisation) return false
  if (filter.runner !== undefined && event.runner !== filter.runner) return false
  if (filter.kinds !== undefined && !filter.kinds.includes(event.kind)) return false
  if (filter.after !== undefined && event.stamp <= filter.after) return false
  return filter.before === undefined || event.stamp < filter.before
}

/**
 * Cuts an ordered list to the filter's limit: the oldest events after `after`, the newest without it.
 *
 * @param events - matching events in order
 * @param filter - the filter
 * @returns at most `limit` events in order
 */
export const cut = (events: readonly TimeLineEvent[], filter: EventFilter): TimeLineEvent[] => {
  const limit = filter.limit ?? events.length
  if (filter.after !== undefined) return events.slice(0, limit)
  return events.slice(Math.max(0, events.length - limit))
}
