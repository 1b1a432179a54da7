/** Accounts for the bytes that a node buffers for callers and backend servers, and decides which callers are cut off. */
import type { Millis } from '../types.js'
import { UnreadAnswer } from './UnreadAnswer.js'

/** Memory of a node without any buffered data; the same figure bounds what a node may spend on control. */
const BASE_MEMORY_BYTES = 128_000_000

/** Part of the remaining memory that may be buffered. The rest is for copies while bodies are joined, and for the buffers of the sockets. */
const BUFFER_SHARE = 0.5

/** Part of the whole memory that may always be buffered, also on a VM with hardly more than the base memory. */
const MIN_BUFFER_SHARE = 0.125

/** Part of the limit that is used; the rest is for what arrives until callers are cut off. */
const USED_SHARE = 0.9

/** Part of the limit that request bodies may take, so that they leave room for the answers. */
const BODY_SHARE = 0.5

/** Part of the limit from which on backend servers are held back whose callers do not read. */
const HOLD_SHARE = 0.5

/** Unread bytes of an answer from which on its server is held back, and below which it goes on: more than what a caller that keeps up leaves unread. */
const HOLD_BYTES = 64 * 1_024
const RESUME_BYTES = 16 * 1_024

/** Longest time for which a server is held back: it cuts off an answer that stays unread for some seconds. */
export const MAX_HOLD: Millis = 1_000

/** Time for which bytes have to wait until their caller may be cut off in favour of a request that arrives: the longest pause that callers accept. */
export const SLOW_AFTER: Millis = 1_000

/**
 * @param memory - memory of the VM in bytes
 * @returns how many bytes a node may buffer
 */
export const bufferLimit = (memory: number): number => Math.max(memory * MIN_BUFFER_SHARE, (memory - BASE_MEMORY_BYTES) * BUFFER_SHARE)

/** Memory of a request without a final answer, besides its body and its answer: its head, its connections and timers. */
const OPEN_REQUEST_BYTES = 50_000

/**
 * The requests take the part of the memory that is not buffered.
 *
 * @param memory - memory of the VM in bytes
 * @returns how many requests a node may have without a final answer
 */
export const openRequestLimit = (memory: number): number => Math.floor(bufferLimit(memory) / OPEN_REQUEST_BYTES)

/** Part of the heap that the requests may take; their objects live there, however much memory the VM has. */
const REQUEST_HEAP_SHARE = 0.5

/**
 * @param heap - largest heap of the process in bytes
 * @returns how many requests it may have without a final answer
 */
export const heapRequestLimit = (heap: number): number => Math.floor(heap * REQUEST_HEAP_SHARE / OPEN_REQUEST_BYTES)

/** Memory of a header field besides its bytes: its name and value are kept as texts, in lists, and in the head for the server. */
const HEADER_FIELD_BYTES = 128

/** Copies of the bytes of a head. */
const HEAD_COPIES = 3

/** Memory of a head that is part of that of its request. */
const USUAL_HEAD_BYTES = 8_192

/**
 * @param fields - number of header fields of a request
 * @param bytes - bytes of its head
 * @returns how many requests with a usual head take as much memory
 */
export const requestWeight = (fields: number, bytes: number): number =>
  1 + Math.max(0, HEADER_FIELD_BYTES * fields + HEAD_COPIES * bytes - USUAL_HEAD_BYTES) / OPEN_REQUEST_BYTES

/** Memory of a connection whose caller sends further requests ahead: what has been read of them, and what the operating system has received. */
const SENT_AHEAD_BYTES = 192 * 1_024

/** Part of the limit that such connections may take. */
const SENT_AHEAD_SHARE = 0.25

/**
 * @param memory - memory of the VM in bytes
 * @returns on how many connections requests may wait that callers have sent ahead
 */
export const sentAheadLimit = (memory: number): number => Math.floor(bufferLimit(memory) * SENT_AHEAD_SHARE / SENT_AHEAD_BYTES)

/** Bytes buffered by one node: bodies of requests, answers that are being collected, and bytes that callers have not read. */
export class BufferAccount {
  readonly #answers = new Map<number, UnreadAnswer>()
  #bodies = 0
  #collected = 0
  #unread = 0
  /** Number of bytes above which nothing is reserved, and callers are cut off. */
  readonly #usable: number

  /** @param limit - largest number of bytes; Infinity for none */
  constructor (readonly limit: number) {
    this.#usable = limit * USED_SHARE
  }

  get bodies (): number {
    return this.#bodies
  }

  get collected (): number {
    return this.#collected
  }

  get unread (): number {
    return this.#unread
  }

  get total (): number {
    return this.#bodies + this.#collected + this.#unread
  }

  /**
   * @param bytes - further bytes of the body of a request
   * @returns whether they are reserved; if not, the request has to be refused
   */
  reserveBody (bytes: number): boolean {
    if (!this.canReserveBody(bytes)) return false
    this.#bodies += bytes
    return true
  }

  /** Like `reserveBody`, but reserves nothing: for a body that is announced. */
  canReserveBody (bytes: number): boolean {
    return this.hasBodyShare(bytes) && this.hasRoom(bytes)
  }

  /** Whether further bytes can be buffered without cutting off a caller. */
  hasRoom (bytes: number): boolean {
    return this.total + bytes <= this.#usable
  }

  /** Whether the bodies together stay within their part of the limit. */
  hasBodyShare (bytes: number): boolean {
    return this.#bodies + bytes <= this.limit * BODY_SHARE
  }

  /** Whether a body fits into the part of the limit that bodies have, if there are no others. */
  canHoldBody (bytes: number): boolean {
    return bytes <= this.limit * BODY_SHARE
  }

  releaseBody (bytes: number): void {
    this.#bodies -= bytes
  }

  /**
   * @param bytes - further bytes of an answer that is not passed on before it is complete
   * @returns whether they are reserved
   */
  reserveAnswer (bytes: number): boolean {
    if (!this.hasRoom(bytes)) return false
    this.#collected += bytes
    return true
  }

  releaseAnswer (bytes: number): void {
    this.#collected -= bytes
  }

  /**
   * Records how much of an answer its caller has not read.
   *
   * @param id - the answer; ids ascend in the order of arrival
   * @param written - bytes of it that have been written so far
   * @param unread - bytes of it that are still buffered
   * @param now - current time
   */
  observe (id: number, written: number, unread: number, now: Millis): void {
    const answer = this.#answers.get(id) ?? new UnreadAnswer(id)
    this.#answers.set(id, answer)
    this.#unread += unread - answer.unread
    answer.observe(written, unread, now)
  }

  /** Removes an answer that has been read, or whose caller has disconnected. */
  remove (id: number): void {
    this.#unread -= this.#answers.get(id)?.unread ?? 0
    this.#answers.delete(id)
  }

  /**
   * Decides whether the server of an answer is held back, so that it sends no more than its caller reads.
   *
   * @param id - an answer
   * @param now - current time
   * @returns whether its server is held back from now on
   */
  hold (id: number, now: Millis): boolean {
    const answer = this.#answers.get(id)
    if (answer === undefined) return false
    if (answer.heldSince === null) {
      if (this.#isPressed && answer.unread >= HOLD_BYTES) answer.heldSince = now
    } else if (!this.#isPressed || answer.unread < RESUME_BYTES || now - answer.heldSince >= MAX_HOLD) answer.heldSince = null
    return answer.heldSince !== null
  }

  /**
   * Chooses the callers that are cut off, those that read slowest first.
   *
   * @param now - current time
   * @param needed - bytes that a request or an answer needs besides; then only callers that are slow for `SLOW_AFTER` are chosen, or none if they do not suffice
   * @returns their answers, the slowest first
   */
  findSlowest (now: Millis, needed = 0): UnreadAnswer[] {
    let excess = this.total + needed - this.#usable
    if (excess <= 0) return []
    const candidates = [...this.#answers.values()].filter((answer) => answer.unread > 0 && (needed === 0 || answer.waitingTime(now) >= SLOW_AFTER))
    const chosen: UnreadAnswer[] = []
    for (const answer of candidates.sort((a, b) => compareSlowness(a, b, now))) {
      if (excess <= 0) break
      chosen.push(answer)
      excess -= answer.unread
    }
    return needed > 0 && excess > 0 ? [] : chosen
  }

  get #isPressed (): boolean {
    return this.total > this.limit * HOLD_SHARE
  }
}

/** Slower is what holds more memory for longer; among equals, the larger and then the later one. */
const compareSlowness = (a: UnreadAnswer, b: UnreadAnswer, now: Millis): number =>
  b.unread * b.waitingTime(now) - a.unread * a.waitingTime(now) || b.unread - a.unread || b.id - a.id
