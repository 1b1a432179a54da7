/** Limits the memory that all answers in progress take together. */
import type { SharedBytes } from '@bluebellhill/services'

import { MAX_COLLECTED_BYTES, UNCOUNTED_BYTES } from './answerLimits.js'

/** Counts the bytes that are reserved for the answers that a node collects. */
export class AnswerMemory implements SharedBytes {
  readonly uncounted = UNCOUNTED_BYTES
  #reserved = 0

  /**
   * @param bytes - further bytes for one answer
   * @returns whether they are reserved; if not, all answers together would exceed the limit
   */
  reserve (bytes: number): boolean {
    if (this.#reserved + bytes > MAX_COLLECTED_BYTES) return false
    this.#reserved += bytes
    return true
  }

  /** @param bytes - bytes that were reserved and are no longer needed */
  release (bytes: number): void {
    this.#reserved -= bytes
  }
}
