/** Reserves several runners of one failure domain for a prompt that exceeds the memory of one engine. */
import { hashText } from '../../membership/hash.js'
import type { Millis, NodeId, Tokens } from '../../types.js'
import type { DispatchOrder } from '../types.js'
import type { GroupMember, ReservationRequest } from './types.js'

/** Time within which a dispatcher must answer a reservation request. */
const ANSWER_TIMEOUT: Millis = 500

/** Delay before the second pass; it doubles with each pass up to `MAX_RETRY_DELAY`, with a jitter that differs between groups. */
const RETRY_DELAY: Millis = 100
const MAX_RETRY_DELAY: Millis = 1_000

/** Step that the coordinator executes for a group. */
export type GroupStep =
  | { readonly type: 'ask', readonly dispatcher: NodeId, readonly request: ReservationRequest }
  | { readonly type: 'release', readonly dispatcher: NodeId, readonly round: number }
  | { readonly type: 'ready', readonly members: readonly GroupMember[] }

/**
 * Reserves members at one dispatcher after another, in the order of their names.
 *
 * If one pass over all dispatchers does not reserve enough memory, the group releases all of it and retries later.
 * A group reserves nothing while it waits, which prevents deadlock between groups. The oldest group that waits for a
 * runner goes first, which prevents starvation.
 */
export class SequenceGroup {
  readonly order: DispatchOrder
  readonly startedAt: Millis
  readonly deadline: Millis
  readonly #neededTokens: Tokens
  #dispatchers: readonly NodeId[] = []
  #nextIndex = 0
  #pendingDispatcher: NodeId | null = null
  #members: { readonly dispatcher: NodeId, readonly member: GroupMember }[] = []
  #passes = 0
  #round = 0
  #resumeAt: Millis

  /**
   * @param order - order that needs the group
   * @param now - time at which the order arrived
   */
  constructor (order: DispatchOrder, now: Millis) {
    this.order = order
    this.startedAt = now
    this.deadline = now + order.remaining
    this.#neededTokens = order.promptTokens + order.maxTokens
    this.#resumeAt = now
  }

  /** Number of the last reservation request. */
  get round (): number {
    return this.#round
  }

  /** Time at which `resume` is due. */
  get resumeAt (): Millis {
    return this.#resumeAt
  }

  /** Dispatchers that have reserved members, or may have because their answer is pending. */
  get involvedDispatchers (): readonly NodeId[] {
    return [...new Set([...this.#members.map(({ dispatcher }) => dispatcher), ...(this.#pendingDispatcher === null ? [] : [this.#pendingDispatcher])])]
  }

  /**
   * If the timer is due, starts a pass, or skips a dispatcher that did not answer in time.
   *
   * @param dispatchers - live dispatchers of the failure domain that have the model
   * @param now - current time
   */
  resume (dispatchers: readonly NodeId[], now: Millis): readonly GroupStep[] {
    if (now < this.#resumeAt) return []
    if (this.#pendingDispatcher !== null) {
      const unresponsive = this.#pendingDispatcher
      this.#pendingDispatcher = null
      return [{ type: 'release', dispatcher: unresponsive, round: this.#round }, ...this.#requestNext(now)]
    }
    this.#dispatchers = [...dispatchers].sort()
    this.#nextIndex = 0
    return this.#requestNext(now)
  }

  /**
   * Applies the answer to a reservation request.
   *
   * @param dispatcher - dispatcher that answered
   * @param round - number of the answered request
   * @param members - members that the dispatcher reserved
   * @param now - current time
   * @returns the next steps; a release if the answer is too late to be used
   */
  answered (dispatcher: NodeId, round: number, members: readonly GroupMember[], now: Millis): readonly GroupStep[] {
    if (this.#pendingDispatcher !== dispatcher || round !== this.#round) return [{ type: 'release', dispatcher, round }]
    this.#pendingDispatcher = null
    this.#members.push(...members.map((member) => ({ dispatcher, member })))
    return this.#requestNext(now)
  }

  #requestNext (now: Millis): readonly GroupStep[] {
    const missing = this.#neededTokens - this.#members.reduce((sum, { member }) => sum + member.tokens, 0)
    if (missing <= 0) return [{ type: 'ready', members: this.#members.map(({ member }) => member) }]
    const dispatcher = this.#dispatchers[this.#nextIndex]
    if (dispatcher === undefined) return this.#backOff(now)
    this.#nextIndex += 1
    this.#pendingDispatcher = dispatcher
    this.#round += 1
    this.#resumeAt = now + ANSWER_TIMEOUT
    return [{ type: 'ask', dispatcher, request: this.#request(missing, now) }]
  }

  #backOff (now: Millis): readonly GroupStep[] {
    const dispatchers = this.involvedDispatchers
    this.#members = []
    const maxDelay = Math.min(MAX_RETRY_DELAY, RETRY_DELAY * 2 ** this.#passes)
    const jitter = hashText(`${this.order.attempt}/${this.#passes}`) % maxDelay
    this.#passes += 1
    this.#resumeAt = now + (maxDelay + jitter) / 2
    return dispatchers.map((dispatcher) => ({ type: 'release', dispatcher, round: this.#round }))
  }

  #request (tokens: Tokens, now: Millis): ReservationRequest {
    const { attempt, model, version, adapter, excluded } = this.order
    return { attempt, round: this.#round, model, version, adapter, tokens, age: now - this.startedAt, excluded }
  }
}
