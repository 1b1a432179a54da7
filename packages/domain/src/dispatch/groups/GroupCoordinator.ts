/** The sequence groups that one dispatcher puts together. */
import type { AttemptId, Millis, NodeId, Tokens } from '../../types.js'
import type { DispatchOrder } from '../types.js'
import { SequenceGroup } from './SequenceGroup.js'
import type { GroupStep } from './SequenceGroup.js'
import type { GroupEffect, GroupEvent, GroupMember } from './types.js'

type AnsweredEvent = Extract<GroupEvent, { type: 'reservation_answered' }>

/** What the desk needs of its dispatcher. */
export interface GroupCoordinatorHost {
  readonly node: NodeId
  /** Live dispatchers of the failure domain that have the model, this one included. */
  dispatchers (order: DispatchOrder): readonly NodeId[]
  /** Reserves on own runners. */
  reserve (request: Extract<GroupEvent, { type: 'reservation_requested' }>['request'], now: Millis): readonly GroupMember[]
  /** Gives own runners back. */
  release (attempt: AttemptId, round: number): void
  /** All members are reserved. */
  ready (group: SequenceGroup, members: readonly GroupMember[], now: Millis): void
  /** No group could be had in time. */
  failed (group: SequenceGroup, now: Millis): void
  /** Time that the prompt needs once its members are reserved. */
  serviceTime (order: DispatchOrder): Millis
}

/** Carries out the steps of groups: on own runners at once, on those of other dispatchers by messages. */
export class GroupCoordinator {
  readonly #host: GroupCoordinatorHost
  readonly #groups = new Map<AttemptId, SequenceGroup>()
  #outbox: GroupEffect[] = []

  constructor (host: GroupCoordinatorHost) {
    this.#host = host
  }

  get size (): number {
    return this.#groups.size
  }

  get orders (): readonly DispatchOrder[] {
    return [...this.#groups.values()].map((group) => group.order)
  }

  /** @returns when a group is to go on; infinite without any */
  get nextTimer (): Millis {
    let next = Infinity
    for (const group of this.#groups.values()) next = Math.min(next, group.resumeAt, this.#latestStartAt(group))
    return next
  }

  has (attempt: AttemptId): boolean {
    return this.#groups.has(attempt)
  }

  /** Takes the messages for other dispatchers that have gathered. */
  drain (): readonly GroupEffect[] {
    const effects = this.#outbox
    this.#outbox = []
    return effects
  }

  start (order: DispatchOrder, now: Millis): void {
    this.#groups.set(order.attempt, new SequenceGroup(order, now))
    this.resumeDue(now)
  }

  /** Gives a group up and its members back. */
  abandon (attempt: AttemptId): void {
    const group = this.#groups.get(attempt)
    if (group === undefined) return
    this.#groups.delete(attempt)
    for (const dispatcher of group.involvedDispatchers) this.#release(dispatcher, attempt, group.round)
  }

  handle (event: GroupEvent, now: Millis): void {
    switch (event.type) {
      case 'reservation_requested':
        this.#outbox.push({ type: 'answer_reservation', to: event.from, attempt: event.request.attempt, round: event.request.round, members: this.#host.reserve(event.request, now) })
        return
      case 'reservation_released': return this.#host.release(event.attempt, event.round)
      case 'reservation_answered': return this.#answered(event, now)
    }
  }

  /** Lets the groups go on whose time has come. */
  resumeDue (now: Millis): void {
    for (const group of [...this.#groups.values()]) {
      if (now >= this.#latestStartAt(group)) {
        this.abandon(group.order.attempt)
        this.#host.failed(group, now)
      } else this.#execute(group, group.resume(this.#host.dispatchers(group.order), now), now)
    }
  }

  #latestStartAt (group: SequenceGroup): Millis {
    return group.deadline - this.#host.serviceTime(group.order)
  }

  #answered ({ attempt, from, round, members }: Omit<AnsweredEvent, 'type'>, now: Millis): void {
    const group = this.#groups.get(attempt)
    if (group === undefined) return this.#release(from, attempt, round)
    this.#execute(group, group.answered(from, round, members, now), now)
  }

  #execute (group: SequenceGroup, steps: readonly GroupStep[], now: Millis): void {
    const { attempt } = group.order
    for (const step of steps) {
      if (step.type === 'release') this.#release(step.dispatcher, attempt, step.round)
      else if (step.type === 'ready') this.#ready(group, step.members, now)
      else if (step.dispatcher === this.#host.node) this.#answered({ attempt, from: step.dispatcher, round: step.request.round, members: this.#host.reserve(step.request, now) }, now)
      else this.#outbox.push({ type: 'request_reservation', to: step.dispatcher, request: step.request })
    }
  }

  #ready (group: SequenceGroup, members: readonly GroupMember[], now: Millis): void {
    this.#groups.delete(group.order.attempt)
    this.#host.ready(group, members, now)
  }

  #release (dispatcher: NodeId, attempt: AttemptId, round: number): void {
    if (dispatcher === this.#host.node) this.#host.release(attempt, round)
    else this.#outbox.push({ type: 'release_reservation', to: dispatcher, attempt, round })
  }
}

/** @returns the memory that a prompt and its answer take together */
export const groupTokens = (order: DispatchOrder): Tokens => order.promptTokens + order.maxTokens
