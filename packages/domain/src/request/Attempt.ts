/** State of one attempt of a request: its grant, its resumes and whether tokens arrived. */
import type { Grant } from '../dispatch/types.js'
import type { AttemptId, Millis, NodeId, Tokens } from '../types.js'

/** One attempt to run a request on one backend server; resuming it after a broken connection continues the same attempt. */
export class Attempt {
  readonly id: AttemptId
  /** Tokens that the caller had received when the attempt started; token offsets of the attempt are relative to it. */
  readonly baseOffset: Tokens
  #grant: Grant | null = null
  #dispatcher: NodeId | null = null
  #expiresAt: Millis = 0
  #resumes = 0
  #hasReceivedTokens = false

  /**
   * @param id - identifies the attempt to the dispatcher and the backend server
   * @param baseOffset - tokens that the caller has already received
   */
  constructor (id: AttemptId, baseOffset: Tokens) {
    this.id = id
    this.baseOffset = baseOffset
  }

  get grant (): Grant | null {
    return this.#grant
  }

  get dispatcher (): NodeId | null {
    return this.#dispatcher
  }

  /** Number of times that the attempt was resumed on its runner. */
  get resumes (): number {
    return this.#resumes
  }

  /** Whether the request accepted at least one chunk of this attempt. */
  get hasReceivedTokens (): boolean {
    return this.#hasReceivedTokens
  }

  /** Records the grant for the attempt and computes when it expires. */
  assign (dispatcher: NodeId, grant: Grant, now: Millis): void {
    this.#dispatcher = dispatcher
    this.#grant = grant
    this.#expiresAt = now + grant.validFor
  }

  /** @returns whether the validity of the grant has ended at `now` */
  isExpired (now: Millis): boolean {
    return now >= this.#expiresAt
  }

  countResume (): void {
    this.#resumes += 1
  }

  markTokensReceived (): void {
    this.#hasReceivedTokens = true
  }
}
