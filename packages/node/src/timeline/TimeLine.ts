/** Records the events of this node; the command line merges the events of all nodes into one time line. */
import type { Disposable } from '../store/index.js'
import type { Millis, NodeId } from '@bluebellhill/domain'
import { EventKind, REQUEST_KINDS, compareEvents, cut, matches, wallOf } from '@bluebellhill/protocol'
import type { EventFilter, EventPayloads, EventSubject, HybridClock, Reception, Stamp, TimeLineEvent } from '@bluebellhill/protocol'

import { RingBuffer } from './RingBuffer.js'

/** Maximum number of stored events about requests: about two minutes at 34 requests per second. */
export const DEFAULT_REQUEST_CAPACITY = 32_768

/** Maximum number of stored events about the fleet. They have a buffer of their own, so that requests do not overwrite them. */
export const DEFAULT_FLEET_CAPACITY = 8_192

/** Minimum time between two events about the wrong clock of the same peer. */
const DISTRUST_RECORD_INTERVAL_MS = 60_000

/** Maximum number of peers for which the time of the last event about their clock is stored. */
const MAX_DISTRUSTED_PEERS = 512

/** Maximum length of the reason of an event, in characters; longer reasons are truncated. */
const MAX_REASON_LENGTH = 300

/** Maximum number of stored events about requests and about the fleet. */
export interface TimeLineCapacity {
  readonly requests: number
  readonly fleet: number
}

/** Result of a query of the time line. */
export interface QueryResult {
  readonly events: readonly TimeLineEvent[]
  /** Whether more events match than are returned. */
  readonly truncated: boolean
}

/** Called with each event when it is recorded. */
export type TimeLineListener = (event: TimeLineEvent) => void

/** Stores the events of a node in ring buffers, each event with a stamp of the hybrid logical clock. */
export class TimeLine {
  private readonly requestEvents: RingBuffer<TimeLineEvent>
  private readonly fleetEvents: RingBuffer<TimeLineEvent>
  private readonly distrustRecordedAt = new Map<string, Millis>()
  private readonly listeners = new Set<TimeLineListener>()

  /**
   * @param node - the id of this node
   * @param clock - the hybrid logical clock of this node, which is also advanced by the stamps of peers' messages
   * @param capacity - maximum number of stored events
   */
  constructor (
    readonly node: NodeId,
    readonly clock: HybridClock,
    capacity: TimeLineCapacity = { requests: DEFAULT_REQUEST_CAPACITY, fleet: DEFAULT_FLEET_CAPACITY }
  ) {
    this.requestEvents = new RingBuffer(capacity.requests)
    this.fleetEvents = new RingBuffer(capacity.fleet)
  }

  /** Number of events overwritten since the node started. */
  get overwritten (): number {
    return this.requestEvents.overwritten + this.fleetEvents.overwritten
  }

  /** Number of stored events. */
  get size (): number {
    return this.requestEvents.size + this.fleetEvents.size
  }

  /**
   * Records an event.
   *
   * @param kind - the kind of the event
   * @param subject - the request, attempt, organisation and runner of the event; each one is optional
   * @param reason - the cause in a few words; must not contain a prompt or a key
   * @param payload - the data that this kind of event carries
   * @returns the event's stamp
   */
  record<Kind extends EventKind>(kind: Kind, subject: EventSubject, reason: string, payload: EventPayloads[Kind]): Stamp {
    const stamp = this.clock.now()
    const event = {
      stamp,
      node: this.node,
      kind,
      request: subject.request,
      attempt: subject.attempt,
      organisation: subject.organisation,
      runner: subject.runner,
      reason: reason.length > MAX_REASON_LENGTH ? reason.slice(0, MAX_REASON_LENGTH) : reason,
      payload
    } as unknown as TimeLineEvent
    const ring = REQUEST_KINDS.has(kind) ? this.requestEvents : this.fleetEvents
    ring.add(event)
    for (const listener of this.listeners) listener(event)
    return stamp
  }

  /**
   * Creates the stamp of a message to a peer.
   *
   * @returns the stamp to send in the message
   */
  stampOutgoing (): Stamp {
    return this.clock.now()
  }

  /**
   * Advances the clock past the stamp of a received message, so that all events caused by the message are ordered after it. A
   * stamp that is too far ahead is not applied, and the peer's clock is recorded as wrong.
   *
   * @param stamp - the stamp in the message; 0 if the message has none
   * @param member - the sender, or a placeholder if the message does not name it
   * @returns the stamp of the reception, and whether the peer's stamp was applied
   */
  stampReceived (stamp: Stamp, member: string): Reception {
    const reception = this.clock.receive(stamp)
    if (!reception.followed) this.recordDistrustedClock(stamp, member, wallOf(reception.stamp))
    return reception
  }

  /**
   * Returns the stored events that match a filter.
   *
   * @param filter - the conditions; an event has to meet all that are set
   * @returns the matching events from the oldest to the newest
   */
  query (filter: EventFilter): QueryResult {
    const matching = [...this.requestEvents.toArray(), ...this.fleetEvents.toArray()]
      .filter((event) => matches(event, filter))
      .sort(compareEvents)
    const events = cut(matching, filter)
    return { events, truncated: events.length < matching.length }
  }

  /** Records that a peer's clock is wrong, at most once per peer and interval. */
  private recordDistrustedClock (stamp: Stamp, member: string, wall: Millis): void {
    const last = this.distrustRecordedAt.get(member)
    if (last !== undefined && wall - last < DISTRUST_RECORD_INTERVAL_MS) return
    if (this.distrustRecordedAt.size >= MAX_DISTRUSTED_PEERS) this.distrustRecordedAt.clear()
    this.distrustRecordedAt.set(member, wall)
    this.record(EventKind.ClockDistrusted, {}, 'its clock is too far ahead to be followed', { member, ahead: wallOf(stamp) - wall })
  }

  /**
   * Adds a listener that is called with each event from now on.
   *
   * @param listener - called synchronously when an event is recorded, so it must return quickly
   * @returns a handle that removes the listener when it is disposed
   */
  onEvent (listener: TimeLineListener): Disposable {
    this.listeners.add(listener)
    return { dispose: () => { this.listeners.delete(listener) } }
  }
}
