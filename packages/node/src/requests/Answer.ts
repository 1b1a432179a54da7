/** Interface through which a running request writes its answer to the caller. */
import type { Outcome } from '@bluebellhill/domain'

import type { Usage } from '../edge/types.js'

/** Finish reason and token usage of a complete answer, as the backend server reported them. */
export interface AnswerEnd {
  readonly finishReason: string
  readonly usage: Usage
}

/** Receives the answer of one request. The request calls `end` or `fail` exactly once. */
export abstract class Answer {
  /**
   * Writes the next chunk of text to the caller.
   *
   * @returns false if the write buffer is full because the caller reads too slowly; wait for `drained` before the next write
   */
  abstract writeText (text: string): boolean

  /** Resolves when the write buffer accepts more text. */
  abstract drained (): Promise<void>

  /** Ends a complete answer. */
  abstract end (end: AnswerEnd): void

  /** Ends the answer with a refusal or a failure. */
  abstract fail (outcome: Outcome): void
}

/** An answer that can be recorded and replayed when the caller repeats the request with the same idempotency key. */
export abstract class ReplayableAnswer extends Answer {
  /** Returns the complete answer as text after `end`, or null before. */
  abstract recorded (): string | null

  /** Writes the recorded answer of an earlier request to the caller and ends. */
  abstract replay (recorded: string): void
}
