/** The way from a running request back to its caller. */
import type { Outcome } from '@bluebellhill/domain'

import type { Usage } from '../edge/types.js'

/** The end of a whole answer as the backend server gave it. */
export interface AnswerEnd {
  readonly finishReason: string
  readonly usage: Usage
}

/** Where the answer of one request goes. A request calls `end` or `fail` exactly once. */
export abstract class Answer {
  /**
   * Passes the next piece of text on.
   *
   * @returns false where the caller reads more slowly than the answer comes; then `drained` is to be awaited
   */
  abstract writeText (text: string): boolean

  /** Resolves when the caller can take more. */
  abstract drained (): Promise<void>

  /** Ends a whole answer. */
  abstract end (end: AnswerEnd): void

  /** Ends with a refusal or a failure. */
  abstract fail (outcome: Outcome): void
}

/** An answer that can be kept and given again to a caller who repeats the request. */
export abstract class ReplayableAnswer extends Answer {
  /** The whole answer as a text, after `end`; null before. */
  abstract recorded (): string | null

  /** Answers with what an earlier request recorded. */
  abstract replay (recorded: string): void
}
