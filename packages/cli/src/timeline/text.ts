/** Formats time line events as text, one line for each event. */
import { EventKind } from '@bluebellhill/protocol'
import type { TimeLineEvent } from '@bluebellhill/protocol'

import { Tone, formatStamp } from '../terminal/index.js'
import type { Painter } from '../terminal/index.js'

const BAD_KINDS: ReadonlySet<EventKind> = new Set([EventKind.AttemptBroken, EventKind.DispatcherLost, EventKind.GrantLapsed, EventKind.LeaseLost, EventKind.ClockDistrusted, EventKind.ProcessPaused, EventKind.PartFailed])
const WARNING_KINDS: ReadonlySet<EventKind> = new Set([EventKind.RequestRefused, EventKind.OrderRefused, EventKind.AnswerDropped, EventKind.AttemptCancelled, EventKind.AttemptRecalled, EventKind.OrphanFreed, EventKind.NodeStopping])
const NOTICE_KINDS: ReadonlySet<EventKind> = new Set([EventKind.MemberChanged, EventKind.RunnerTakenOver, EventKind.RunnerChanged, EventKind.ConfigurationInstalled, EventKind.LeaseWon, EventKind.EngineOrdered, EventKind.PlatformChanged, EventKind.NodeStarted, EventKind.NodeStopped])

/**
 * Chooses the tone that shows how serious an event is.
 *
 * @param event - the event
 * @returns its tone; faint for the normal steps of a request
 */
export const toneOf = (event: TimeLineEvent): Tone => {
  if (BAD_KINDS.has(event.kind)) return Tone.Bad
  if (WARNING_KINDS.has(event.kind)) return Tone.Warning
  if (NOTICE_KINDS.has(event.kind)) return Tone.Notice
  if (event.kind === EventKind.RequestFinished) return event.payload.code === 'answered' ? Tone.Good : Tone.Bad
  return Tone.Faint
}

const valueOf = (value: unknown): string => {
  if (typeof value === 'number' && !Number.isInteger(value)) return value.toFixed(1)
  if (Array.isArray(value)) return value.length === 0 ? '-' : value.join(',')
  return value === null || value === undefined ? '-' : String(value)
}

/**
 * Formats the payload of an event.
 *
 * @param event - the event
 * @returns `key=value` pairs
 */
export const payloadText = (event: TimeLineEvent): string =>
  Object.entries(event.payload).map(([name, value]) => `${name}=${valueOf(value)}`).join(' ')

const SUBJECTS = ['request', 'attempt', 'organisation', 'runner'] as const

/**
 * Formats the request, attempt, organisation and runner that an event concerns.
 *
 * @param event - the event
 * @returns `key=value` pairs for those that the event names
 */
export const subjectText = (event: TimeLineEvent): string =>
  SUBJECTS.filter((name) => event[name] !== undefined).map((name) => `${name}=${event[name]}`).join(' ')

/** Width of the column for the node, in characters. */
const NODE_WIDTH = 12
/** Width of the column for the event kind, in characters. */
const KIND_WIDTH = 23

/**
 * Formats an event in one line.
 *
 * @param event - the event
 * @param paint - applies colours, or returns texts unchanged
 * @returns time, node, kind, subject, reason and payload
 */
export const eventLine = (event: TimeLineEvent, paint: Painter): string => [
  paint(Tone.Faint, formatStamp(event.stamp)),
  event.node.padEnd(NODE_WIDTH),
  paint(toneOf(event), event.kind.padEnd(KIND_WIDTH)),
  subjectText(event),
  event.reason === '' ? '' : `"${event.reason}"`,
  paint(Tone.Faint, payloadText(event))
].filter((part) => part !== '').join(' ')
