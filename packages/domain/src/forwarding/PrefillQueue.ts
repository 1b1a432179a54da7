/** Estimates the progress of the prefills on one engine. */
import type { Millis } from '../types.js'
import type { Assignment } from './assignment.js'

/** A prompt, or a segment of one, that is not prefilled yet. */
export interface PendingPrefill {
  readonly assignment: Assignment
  /** Whether it is a segment of a prompt that several engines prefill. */
  readonly isSegment: boolean
  /** Remaining prefill time on an engine at its published speed. */
  readonly remaining: Millis
}

interface QueueEntry {
  readonly assignment: Assignment
  readonly isSegment: boolean
  remaining: Millis
}

/** Remaining prefill time assumed for a prompt that should be prefilled by now. */
const OVERDUE_REMAINDER: Millis = 10

/**
 * Pending prefills of one engine: segments of divided prompts come first, the newest before the others, then whole prompts in
 * order of arrival.
 */
export class PrefillQueue {
  #segments: QueueEntry[] = []
  #wholePrompts: QueueEntry[] = []
  #advancedTo: Millis

  /** @param now - current time */
  constructor (now: Millis) {
    this.#advancedTo = now
  }

  get isEmpty (): boolean {
    return this.#segments.length === 0 && this.#wholePrompts.length === 0
  }

  /**
   * Adds a whole prompt, or this engine's segment of a divided prompt.
   *
   * @param assignment - the request that the prompt belongs to
   * @param now - current time
   */
  add (assignment: Assignment, now: Millis): void {
    this.advance(now)
    const isSegment = assignment.helpers.length > 0
    const entry = { assignment, isSegment, remaining: assignment.prefillTime }
    if (isSegment) this.#segments.unshift(entry)
    else this.#wholePrompts.push(entry)
  }

  /**
   * Removes the prompt or segment of a request.
   *
   * @param assignment - the request
   * @param now - current time
   */
  remove (assignment: Assignment, now: Millis): void {
    this.advance(now)
    const belongsToOther = ({ assignment: { id } }: QueueEntry): boolean => id !== assignment.id
    this.#segments = this.#segments.filter(belongsToOther)
    this.#wholePrompts = this.#wholePrompts.filter(belongsToOther)
  }

  /**
   * Deducts the time since the last call from the remaining prefill times, in processing order.
   *
   * @param now - current time
   */
  advance (now: Millis): void {
    let elapsed = Math.max(0, now - this.#advancedTo)
    this.#advancedTo = Math.max(now, this.#advancedTo)
    for (const entry of this.#inOrder()) {
      const processed = Math.min(elapsed, entry.remaining)
      entry.remaining -= processed
      elapsed -= processed
    }
  }

  /** @returns the pending prefills in processing order */
  pending (): PendingPrefill[] {
    return this.#inOrder().map(({ assignment, isSegment, remaining }) => ({ assignment, isSegment, remaining: Math.max(remaining, OVERDUE_REMAINDER) }))
  }

  #inOrder (): QueueEntry[] {
    return [...this.#segments, ...this.#wholePrompts]
  }
}
