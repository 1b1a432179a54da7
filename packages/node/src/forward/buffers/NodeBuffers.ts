/** Keeps the memory of a node bounded that it buffers for callers and backend servers which read slowly. */
import type { ServerResponse } from 'node:http'

import { BufferAccount, requestWeight } from '@bluebellhill/domain'
import type { Millis, UnreadAnswer } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { ForwardMetrics } from '../ForwardMetrics.js'
import { ArrivingBodies } from './ArrivingBodies.js'
import { BodyReservation } from './BodyReservation.js'
import type { CallerAnswer } from './CallerAnswer.js'

/** Interval at which unread answers are measured: often enough for callers that accept pauses of 250 ms. */
const CHECK_PERIOD: Millis = 50

/** Size of the head of a request. */
export interface RequestHeadSize {
  readonly fields: number
  readonly bytes: number
}

export interface NodeBuffersOptions {
  /** Largest number of bytes; null for none: nothing is counted then. */
  readonly limit: number | null
  /** Largest number of requests without a final answer; null or absent for none. */
  readonly requestLimit?: number | null
  /** Largest number of connections on which requests wait that were sent ahead; null or absent for none. */
  readonly sentAheadLimit?: number | null
  readonly log: Log
  readonly metrics: ForwardMetrics
  readonly clock: () => Millis
}

/** Hosts the account of a node's buffers: measures what callers leave unread, and carries out what the account decides. */
export class NodeBuffers {
  readonly #options: NodeBuffersOptions
  readonly #account: BufferAccount
  readonly #arriving: ArrivingBodies
  /** Weight of the requests without a final answer, beyond one for each. */
  #excessWeight = 0
  /** Answers of which bytes are unread. */
  readonly #answers = new Map<number, CallerAnswer>()
  #nextId = 1
  #timer: NodeJS.Timeout | null = null
  #isCheckPlanned = false

  /** @param options - limit, log, metrics and clock */
  constructor (options: NodeBuffersOptions) {
    this.#options = options
    this.#account = new BufferAccount(options.limit ?? Infinity)
    this.#arriving = new ArrivingBodies(options.clock)
  }

  /** Whether anything is counted. */
  get isLimited (): boolean {
    return this.#options.limit !== null
  }

  /** Buffered bytes, for metrics. */
  get total (): number {
    return this.#account.total
  }

  /**
   * Counts the head of a request until its response closes.
   *
   * @param openRequests - requests without a final answer, with the one that has arrived
   * @param head - number of header fields, and bytes, of that one
   * @param response - response to it
   * @returns whether there is memory for it; requests whose bodies stand still are given up for it
   */
  openRequest (openRequests: number, head: RequestHeadSize, response: ServerResponse): boolean {
    const excess = requestWeight(head.fields, head.bytes) - 1
    const limit = this.#options.requestLimit ?? Infinity
    // Those that are given up stay open until their refusals are written.
    for (let weight = openRequests + this.#excessWeight + excess; weight > limit; weight -= 1) if (!this.giveUpStalledBody()) return false
    if (excess === 0) return true
    this.#excessWeight += excess
    response.once('close', () => { this.#excessWeight -= excess })
    return true
  }

  /** @returns whether a request has been given up whose body stands still */
  giveUpStalledBody (): boolean {
    return this.#arriving.giveUpOne()
  }

  /**
   * @param connections - connections on which requests wait that were sent ahead
   * @returns whether there is memory for that many
   */
  hasRoomForSentAhead (connections: number): boolean {
    return connections <= (this.#options.sentAheadLimit ?? Infinity)
  }

  /**
   * @param bytes - length of the body that a request announces
   * @returns whether there is room for it now; callers that read slowly, or whose bodies stand still, are given up for it
   */
  hasRoomForBody (bytes: number): boolean {
    if (!this.#account.canHoldBody(bytes)) return false
    while (!this.#account.hasBodyShare(bytes)) if (!this.giveUpStalledBody()) return false
    this.#makeRoom(bytes)
    while (!this.#account.canReserveBody(bytes)) if (!this.giveUpStalledBody()) return false
    return true
  }

  /**
   * @param response - response to the request; the body is released when it closes
   * @returns the reservation of the body, still without bytes
   */
  openBody (response: ServerResponse): BodyReservation {
    const reservation = new BodyReservation(this, this.#arriving)
    if (this.isLimited) response.once('close', () => reservation.release())
    return reservation
  }

  /** @returns whether further bytes of a body are reserved */
  reserveBody (bytes: number): boolean {
    if (!this.isLimited) return true
    return this.hasRoomForBody(bytes) && this.#account.reserveBody(bytes)
  }

  releaseBody (bytes: number): void {
    if (this.isLimited) this.#account.releaseBody(bytes)
  }

  /** @returns whether further bytes are reserved of an answer that is being collected; callers that are slow are cut off for it */
  reserveAnswer (bytes: number): boolean {
    if (!this.isLimited) return true
    this.#makeRoom(bytes)
    return this.#account.reserveAnswer(bytes)
  }

  releaseAnswer (bytes: number): void {
    if (this.isLimited) this.#account.releaseAnswer(bytes)
  }

  /** @returns id of a new answer */
  nextId (): number {
    return this.#nextId++
  }

  /** Bytes of an answer have been written; the server of its caller may be held back, and callers be cut off. */
  written (answer: CallerAnswer): void {
    if (!this.isLimited || answer.unread === 0) return
    this.#answers.set(answer.id, answer)
    this.#measure(answer)
    if (this.#account.hold(answer.id, this.#options.clock())) this.#hold(answer)
    if (!this.#account.hasRoom(0)) this.#cutOffOthers(answer)
    this.#timer ??= setInterval(() => this.#check(), CHECK_PERIOD).unref()
  }

  /** The connection of an answer is closed. */
  closed ({ id }: CallerAnswer): void {
    this.#answers.delete(id)
    this.#account.remove(id)
  }

  /** @returns log fields: bytes that are buffered, and their limit */
  describe (): Record<string, unknown> {
    const { bodies, collected, unread, limit } = this.#account
    return { body_bytes: bodies, collected_bytes: collected, unread_bytes: unread, limit_bytes: Math.round(limit) }
  }

  /** The answer that is being written may be at the point of being completed, so it is cut off only after the current event. */
  #cutOffOthers (answer: CallerAnswer): void {
    const now = this.#options.clock()
    this.#measureAll()
    this.#cutOff(this.#account.findSlowest(now).filter(({ id }) => id !== answer.id), now)
    if (this.#isCheckPlanned) return
    this.#isCheckPlanned = true
    setImmediate(() => {
      this.#isCheckPlanned = false
      this.#check()
    })
  }

  #check (): void {
    const now = this.#options.clock()
    this.#measureAll()
    this.#cutOff(this.#account.findSlowest(now), now)
    for (const answer of this.#answers.values()) {
      if (answer.isHeld && !this.#account.hold(answer.id, now)) answer.holdServer(false)
      if (answer.unread === 0) this.closed(answer)
    }
    if (this.#answers.size > 0 || this.#timer === null) return
    clearInterval(this.#timer)
    this.#timer = null
  }

  #makeRoom (bytes: number): void {
    if (this.#account.hasRoom(bytes)) return
    const now = this.#options.clock()
    this.#measureAll()
    this.#cutOff(this.#account.findSlowest(now, bytes), now)
  }

  #measureAll (): void {
    for (const answer of this.#answers.values()) this.#measure(answer)
  }

  #measure (answer: CallerAnswer): void {
    this.#account.observe(answer.id, answer.written, answer.unread, this.#options.clock())
  }

  #cutOff (slowest: readonly UnreadAnswer[], now: Millis): void {
    const { log, metrics } = this.#options
    for (const unreadAnswer of slowest) {
      const answer = this.#answers.get(unreadAnswer.id)
      if (answer === undefined) continue
      const { unread } = unreadAnswer
      const waited = Math.round(unreadAnswer.waitingTime(now))
      metrics.callerCutOff()
      log.warn('caller.cut_off', { request: answer.request, unread, waited_ms: waited, written: answer.written, ...this.describe() })
      this.closed(answer)
      answer.cutOff(`the caller has left ${unread} bytes unread, the oldest for ${waited} ms, and the buffers of the node are full`)
    }
  }

  #hold (answer: CallerAnswer): void {
    if (answer.isHeld) return
    const { log, metrics } = this.#options
    metrics.serverHeld()
    if (!answer.wasHeld) log.info('attempt.held', { request: answer.request, unread: answer.unread, ...this.describe() })
    answer.holdServer(true)
  }
}
