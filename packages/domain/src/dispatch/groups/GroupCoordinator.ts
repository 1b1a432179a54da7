/** Coordinates the sequence groups that one dispatcher assembles from runners of its failure domain. */
import type { AttemptId, Millis, NodeId, Tokens } from '../../types.js'
import type { DispatchOrder } from '../types.js'
import { SequenceGroup } from './SequenceGroup.js'
import type { GroupStep } from './SequenceGroup.js'
import type { GroupEffect, GroupEvent, GroupMember } from './types.js'

type AnsweredEvent = Extract<GroupEvent, { type: 'reservation_answered' }>

/** Operations of the dispatcher that the coordinator uses. */
export interface GroupCoordinatorHost {
  readonly node: NodeId
  /** @returns live dispatchers of the failure domain that have the order's model, including this one */
  dispatchers (order: DispatchOrder): readonly NodeId[]
  /** Reserves memory on runners of this dispatcher. */
  reserve (request: Extract<GroupEvent, { type: 'reservation_requested' }>['request'], now: Millis): readonly GroupMember[]
  /** Releases reservations on runners of this dispatcher. */
  release (attempt: AttemptId, round: number): void
  /** Called when the members of a group are reserved. */
  ready (group: SequenceGroup, members: readonly GroupMember[], now: Millis): void
  /** Called when a group could not be reserved in time. */
  failed (group: SequenceGroup, now: Millis): void
  /** @returns the time that the order needs after its members are reserved */
  serviceTime (order: DispatchOrder): Millis
}

/** Executes the steps of groups: directly on runners of this dispatcher, and by messages on those of other dispatchers. */
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

  /** @returns when the next group must be resumed or fails; infinite if there are no groups */
  get nextTimer (): Millis {
    let next = Infinity
    for (const group of this.#groups.values()) next = Math.min(next, group.resumeAt, this.#latestStartAt(group))
    return next
  }

  has (attempt: AttemptId): boolean {
    return this.#groups.has(attempt)
  }

  /** @returns the queued messages to other dispatchers and clears them */
  drain (): readonly GroupEffect[] {
    const effects = this.#outbox
    this.#outbox = []
    return effects
  }

  start (order: DispatchOrder, now: Millis): void {
    this.#groups.set(order.attempt, new SequenceGroup(order, now))
    this.resumeDue(now)
  }

  /** Removes a group and releases its reservations. */
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

  /** Resumes the groups whose timer is due, and fails those that can no longer meet their deadline. */
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

/** @returns the memory, in tokens, that the prompt and its answer need together */
export const groupTokens = (order: DispatchOrder): Tokens => order.promptTokens + order.maxTokens
