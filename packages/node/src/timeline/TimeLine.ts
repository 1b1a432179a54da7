/** The node's own part of the time line over all processes. */
import type { Disposable } from '../store/index.js'
import type { Millis, NodeId } from '@bluebellhill/domain'
import { EventKind, REQUEST_KINDS, compareEvents, cut, matches, wallOf } from '@bluebellhill/protocol'
import type { EventFilter, EventPayloads, EventSubject, HybridClock, Reception, Stamp, TimeLineEvent } from '@bluebellhill/protocol'

import { Ring } from './Ring.js'

/** Events about requests that a node keeps: about two minutes at 34 requests a second. */
export const DEFAULT_REQUEST_CAPACITY = 32_768

/** Events about the fleet that a node keeps, apart, so that traffic does not push them out. */
export const DEFAULT_FLEET_CAPACITY = 8_192

/** Least time between two records of the same peer's bad clock, in milliseconds. */
const DISTRUST_INTERVAL = 60_000

/** Peers whose bad clocks are remembered. */
const MAX_DISTRUSTED = 512

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
export type EventListener = (event: TimeLineEvent) => void

/** Records the node's events in bounded rings, each with a stamp of the hybrid logical clock. */
export class TimeLine {
  private readonly requests: Ring<TimeLineEvent>
  private readonly fleet: Ring<TimeLineEvent>
  private readonly distrustedAt = new Map<string, Millis>()
  private readonly listeners = new Set<EventListener>()

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
    this.requests = new Ring(capacity.requests)
    this.fleet = new Ring(capacity.fleet)
  }

  /** Events overwritten since the node started. */
  get overwritten (): number {
    return this.requests.overwritten + this.fleet.overwritten
  }

  /** Events held now. */
  get size (): number {
    return this.requests.size + this.fleet.size
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
    const ring = REQUEST_KINDS.has(kind) ? this.requests : this.fleet
    ring.add(event)
    for (const listener of this.listeners) listener(event)
    return stamp
  }

  /**
   * Stamps a message about to be sent to a peer.
   *
   * @returns the stamp to put in the message
   */
  send (): Stamp {
    return this.clock.now()
  }

  /**
   * Follows the stamp of a peer's message, so that what it causes stands after it.
   *
   * @param stamp - the stamp that the message carried; 0 where it carried none
   * @param member - who sent it, as far as is known
   * @returns whether the peer's clock was followed
   */
  receive (stamp: Stamp, member: string): Reception {
    const reception = this.clock.receive(stamp)
    if (!reception.followed) this.distrust(stamp, member, wallOf(reception.stamp))
    return reception
  }

  /**
   * Reads events.
   *
   * @param filter - which ones; every part that is given has to match
   * @returns the matching events, the oldest first
   */
  query (filter: EventFilter): QueryResult {
    const found = [...this.requests.toArray(), ...this.fleet.toArray()]
      .filter((event) => matches(event, filter))
      .sort(compareEvents)
    const events = cut(found, filter)
    return { events, truncated: events.length < found.length }
  }

  /** Records a peer's bad clock, though not for each of its messages. */
  private distrust (stamp: Stamp, member: string, wall: Millis): void {
    const last = this.distrustedAt.get(member)
    if (last !== undefined && wall - last < DISTRUST_INTERVAL) return
    if (this.distrustedAt.size >= MAX_DISTRUSTED) this.distrustedAt.clear()
    this.distrustedAt.set(member, wall)
    this.record(EventKind.ClockDistrusted, {}, 'its clock is too far ahead to be followed', { member, ahead: wallOf(stamp) - wall })
  }

  /**
   * Calls a function with each further event.
   *
   * @param listener - called while the event is recorded; has to be quick
   * @returns removes the listener when disposed
   */
  listen (listener: EventListener): Disposable {
    this.listeners.add(listener)
    return { dispose: () => { this.listeners.delete(listener) } }
  }
}
