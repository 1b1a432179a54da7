/** What the parts of the node's buffers ask of the account that they share. */

/** Memory for the bodies of callers' requests. */
export interface BodyMemory {
  /** @returns whether so many bytes are reserved */
  reserveBody (bytes: number): boolean
  releaseBody (bytes: number): void
}

/** An answer that counts against the buffers, known by its id. */
export interface CountedAnswer {
  readonly id: number
}

/** Counts what callers have not read yet. */
export interface AnswerAccount<Answer extends CountedAnswer> {
  /** Whether anything is counted. */
  readonly isLimited: boolean
  /** @returns an id for an answer */
  nextId (): number
  /** Called when bytes of the answer have been written. */
  written (answer: Answer): void
  /** Called when the connection of the answer is closed. */
  closed (answer: Answer): void
}
