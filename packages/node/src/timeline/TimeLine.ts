/** The node's own part of the time line over all processes. */
import type { Disposable } from '../store/index.js'
import type { Millis, NodeId } from '@bluebellhill/domain'
import { EventKind, REQUEST_KINDS, compareEvents, cut, matches, wallOf } from '@bluebellhill/protocol'
import type { EventFilter, EventPayloads, EventSubject, HybridClock, Reception, Stamp, TimeLineEvent } from '@bluebellhill/protocol'

import { RingBuffer } from './RingBuffer.js'

/** Events about requests that a node keeps: about two minutes at 34 requests a second. */
export const DEFAULT_REQUEST_CAPACITY = 32_768

/** Events about the fleet that a node keeps, apart, so that traffic does not push them out. */
export const DEFAULT_FLEET_CAPACITY = 8_192

/** Least time between two records of the same peer's bad clock, in milliseconds. */
const DISTRUST_RECORD_INTERVAL_MS = 60_000

/** Peers whose bad clocks are remembered. */
const MAX_DISTRUSTED_PEERS = 512

/** Longest reason of an event, in characters. */
const MAX_REASON_LENGTH = 300

export interface TimeLineCapacity {
  readonly requests: number
  readonly fleet: number
}

/** What a query found. */
export interface QueryResult {
  readonly events: readonly TimeLineEvent[]
  /** True where more events match than were returned. */
  readonly truncated: boolean
}

/** Told of each event as it is recorded. */
export type TimeLineListener = (event: TimeLineEvent) => void

/** Records the node's events in bounded rings, each with a stamp of the hybrid logical clock. */
export class TimeLine {
  private readonly requestEvents: RingBuffer<TimeLineEvent>
  private readonly fleetEvents: RingBuffer<TimeLineEvent>
  private readonly distrustRecordedAt = new Map<string, Millis>()
  private readonly listeners = new Set<TimeLineListener>()

  /**
   * @param node - the node that records
   * @param clock - its hybrid logical clock, which also follows the peers' messages
   * @param capacity - events kept of each sort
   */
  constructor (
    readonly node: NodeId,
    readonly clock: HybridClock,
    capacity: TimeLineCapacity = { requests: DEFAULT_REQUEST_CAPACITY, fleet: DEFAULT_FLEET_CAPACITY }
  ) {
    this.requestEvents = new RingBuffer(capacity.requests)
    this.fleetEvents = new RingBuffer(capacity.fleet)
  }

  /** Events overwritten since the node started. */
  get overwritten (): number {
    return this.requestEvents.overwritten + this.fleetEvents.overwritten
  }

  /** Events held now. */
  get size (): number {
    return this.requestEvents.size + this.fleetEvents.size
  }

  /**
   * Records an event.
   *
   * @param kind - what happened
   * @param subject - the request, attempt, organisation and runner it is about, as far as there are any
   * @param reason - why, in a few words; never a prompt or a key
   * @param payload - the figures that belong to the kind
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
   * Stamps a message about to be sent to a peer.
   *
   * @returns the stamp to put in the message
   */
  stampOutgoing (): Stamp {
    return this.clock.now()
  }

  /**
   * Follows the stamp of a peer's message, so that what it causes stands after it.
   *
   * @param stamp - the stamp that the message carried; 0 where it carried none
   * @param member - who sent it, as far as is known
   * @returns whether the peer's clock was followed
   */
  stampReceived (stamp: Stamp, member: string): Reception {
    const reception = this.clock.receive(stamp)
    if (!reception.followed) this.recordDistrustedClock(stamp, member, wallOf(reception.stamp))
    return reception
  }

  /**
   * Reads events.
   *
   * @param filter - which ones; every part that is given has to match
   * @returns the matching events, the oldest first
   */
  query (filter: EventFilter): QueryResult {
    const matching = [...this.requestEvents.toArray(), ...this.fleetEvents.toArray()]
      .filter((event) => matches(event, filter))
      .sort(compareEvents)
    const events = cut(matching, filter)
    return { events, truncated: events.length < matching.length }
  }

  /** Records a peer's bad clock, though not for each of its messages. */
  private recordDistrustedClock (stamp: Stamp, member: string, wall: Millis): void {
    const last = this.distrustRecordedAt.get(member)
    if (last !== undefined && wall - last < DISTRUST_RECORD_INTERVAL_MS) return
    if (this.distrustRecordedAt.size >= MAX_DISTRUSTED_PEERS) this.distrustRecordedAt.clear()
    this.distrustRecordedAt.set(member, wall)
    this.record(EventKind.ClockDistrusted, {}, 'its clock is too far ahead to be followed', { member, ahead: wallOf(stamp) - wall })
  }

  /**
   * Calls a function with each further event.
   *
   * @param listener - called while the event is recorded; has to be quick
   * @returns removes the listener when disposed
   */
  onEvent (listener: TimeLineListener): Disposable {
    this.listeners.add(listener)
    return { dispose: () => { this.listeners.delete(listener) } }
  }
}
