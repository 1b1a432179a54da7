/** One attempt of a request: its grant and what came of it. */
import type { Grant } from '../dispatch/types.js'
import type { AttemptId, Millis, NodeId, Tokens } from '../types.js'

/** State of the attempt in progress. */
export class Attempt {
  readonly id: AttemptId
  /** Tokens that the caller had when the attempt began; the attempt's own offsets count from here. */
  readonly base: Tokens
  #grant: Grant | null = null
  #dispatcher: NodeId | null = null
  #lapsesAt: Millis = 0
  #resumes = 0
  #answered = false

  /**
   * @param id - name of the attempt towards dispatcher and backend server
   * @param base - tokens that the caller has already
   */
  constructor (id: AttemptId, base: Tokens) {
    this.id = id
    this.base = base
  }

  get grant (): Grant | null {
    return this.#grant
  }

  get dispatcher (): NodeId | null {
    return this.#dispatcher
  }

  /** Times that the attempt was resumed on its runner. */
  get resumes (): number {
    return this.#resumes
  }

  /** Whether any token of the attempt arrived. */
  get answered (): boolean {
    return this.#answered
  }

  /** Takes the grant that the attempt runs under. */
  assign (dispatcher: NodeId, grant: Grant, now: Millis): void {
    this.#dispatcher = dispatcher
    this.#grant = grant
    this.#lapsesAt = now + grant.validFor
  }

  /** @returns whether the grant was not used in time */
  isLapsed (now: Millis): boolean {
    return now >= this.#lapsesAt
  }

  countResume (): void {
    this.#resumes += 1
  }

  markAnswered (): void {
    this.#answered = true
  }
}
