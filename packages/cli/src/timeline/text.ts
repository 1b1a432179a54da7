/** The time line as text, one line an event. */
import { EventKind } from '@bluebellhill/protocol'
import type { TimeLineEvent } from '@bluebellhill/protocol'

import { Tone, formatStamp } from '../terminal/index.js'
import type { Painter } from '../terminal/index.js'

const BAD_KINDS: ReadonlySet<EventKind> = new Set([EventKind.AttemptBroken, EventKind.DispatcherLost, EventKind.GrantLapsed, EventKind.LeaseLost, EventKind.ClockDistrusted, EventKind.ProcessPaused, EventKind.PartFailed])
const WARNING_KINDS: ReadonlySet<EventKind> = new Set([EventKind.RequestRefused, EventKind.OrderRefused, EventKind.AnswerDropped, EventKind.AttemptCancelled, EventKind.AttemptRecalled, EventKind.OrphanFreed, EventKind.NodeStopping])
const NOTICE_KINDS: ReadonlySet<EventKind> = new Set([EventKind.MemberChanged, EventKind.RunnerTakenOver, EventKind.RunnerChanged, EventKind.ConfigurationInstalled, EventKind.LeaseWon, EventKind.EngineOrdered, EventKind.PlatformChanged, EventKind.NodeStarted, EventKind.NodeStopped])

/**
 * Chooses how an event stands out.
 *
 * @param event - the event
 * @returns its tone; faint for the ordinary course of a request
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
 * Writes an event's figures.
 *
 * @param event - the event
 * @returns key=value pairs
 */
export const payloadText = (event: TimeLineEvent): string =>
  Object.entries(event.payload).map(([name, value]) => `${name}=${valueOf(value)}`).join(' ')

const SUBJECTS = ['request', 'attempt', 'organisation', 'runner'] as const

/**
 * Writes what an event is about.
 *
 * @param event - the event
 * @returns key=value pairs
 */
export const subjectText = (event: TimeLineEvent): string =>
  SUBJECTS.filter((name) => event[name] !== undefined).map((name) => `${name}=${event[name]}`).join(' ')

/** Widths of the columns for node and kind, in characters. */
const NODE_WIDTH = 12
const KIND_WIDTH = 23

/**
 * Writes an event in one line.
 *
 * @param event - the event
 * @param paint - colours, or none
 * @returns time, node, kind, what it is about, the reason and the figures
 */
export const eventLine = (event: TimeLineEvent, paint: Painter): string => [
  paint(Tone.Faint, formatStamp(event.stamp)),
  event.node.padEnd(NODE_WIDTH),
  paint(toneOf(event), event.kind.padEnd(KIND_WIDTH)),
  subjectText(event),
  event.reason === '' ? '' : `"${event.reason}"`,
  paint(Tone.Faint, payloadText(event))
].filter((part) => part !== '').join(' ')
