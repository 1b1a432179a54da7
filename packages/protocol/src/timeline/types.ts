import type { AttemptId, Branded, NodeId, OrganisationId, RequestId, RunnerId } from '@bluebellhill/domain'

import type { Stamp } from '../clock/index.js'
import type { EventKind, EventPayloads } from './kinds.js'

/** What an event is about. */
export interface EventSubject {
  readonly request?: RequestId | undefined
  readonly attempt?: AttemptId | undefined
  readonly organisation?: OrganisationId | undefined
  readonly runner?: RunnerId | undefined
}

/** One event of a given kind. */
export interface EventOf<Kind extends EventKind> extends EventSubject {
  readonly stamp: Stamp
  readonly node: NodeId
  readonly kind: Kind
  /** Why it came to this, in a few words; never holds a prompt or a key. */
  readonly reason: string
  readonly payload: EventPayloads[Kind]
}

/** Any event of the time line; `kind` tells which payload it carries. */
export type TimeLineEvent = { [Kind in EventKind]: EventOf<Kind> }[EventKind]

/** A stamp as JSON carries it: the 64-bit number in decimal digits. */
export type EncodedStamp = Branded<string, 'EncodedStamp'>

/** An event as JSON carries it. */
export type EncodedEvent = { [Kind in EventKind]: Omit<EventOf<Kind>, 'stamp'> & { readonly stamp: EncodedStamp } }[EventKind]

/** Which events to read. Every part that is given has to match. */
export interface EventFilter {
  readonly request?: string | undefined
  readonly organisation?: string | undefined
  readonly runner?: string | undefined
  readonly kinds?: readonly EventKind[] | undefined
  /** Only events with a greater stamp; the oldest of these are returned first. */
  readonly after?: Stamp | undefined
  /** Only events with a smaller stamp. */
  readonly before?: Stamp | undefined
  /** Greatest number of events to return; without `after` the newest are returned. */
  readonly limit?: number | undefined
}
