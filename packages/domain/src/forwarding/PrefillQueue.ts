/** What one engine has to read, and how far it has got. */
import type { Millis } from '../types.js'
import type { Assignment } from './FleetAssignments.js'

/** A prompt, or a part of one, that is not read yet. */
export interface PendingPrefill {
  readonly assignment: Assignment
  /** Whether it is a part of a prompt that several engines read. */
  readonly isSegment: boolean
  /** Reading time that is left on a sound engine. */
  readonly remaining: Millis
}

interface QueueEntry {
  readonly assignment: Assignment
  readonly isSegment: boolean
  remaining: Millis
}

/** Reading time assumed to be left of a prompt that should have been read by now. */
const OVERDUE_REMAINDER: Millis = 10

/** Follows the reading of one engine: parts of divided prompts first, the newest of them before all; then whole prompts in turn. */
export class PrefillQueue {
  #segments: QueueEntry[] = []
  #wholePrompts: QueueEntry[] = []
  #advancedTo: Millis

  /** @param now - time */
  constructor (now: Millis) {
    this.#advancedTo = now
  }

  get isEmpty (): boolean {
    return this.#segments.length === 0 && this.#wholePrompts.length === 0
  }

  /**
   * Adds a prompt of this engine, or its part of a divided one.
   *
   * @param assignment - whose prompt it is
   * @param now - time
   */
  add (assignment: Assignment, now: Millis): void {
    this.advance(now)
    const isSegment = assignment.helpers.length > 0
    const entry = { assignment, isSegment, remaining: assignment.prefillTime }
    if (isSegment) this.#segments.unshift(entry)
    else this.#wholePrompts.push(entry)
  }

  /**
   * Removes what belongs to a request.
   *
   * @param assignment - the request
   * @param now - time
   */
  remove (assignment: Assignment, now: Millis): void {
    this.advance(now)
    const belongsToOther = ({ assignment: { id } }: QueueEntry): boolean => id !== assignment.id
    this.#segments = this.#segments.filter(belongsToOther)
    this.#wholePrompts = this.#wholePrompts.filter(belongsToOther)
  }

  /**
   * Lets the time since the last call pass.
   *
   * @param now - time
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

  /** @returns what is to be read, in the order in which it is read */
  pending (): PendingPrefill[] {
    return this.#inOrder().map(({ assignment, isSegment, remaining }) => ({ assignment, isSegment, remaining: Math.max(remaining, OVERDUE_REMAINDER) }))
  }

  #inOrder (): QueueEntry[] {
    return [...this.#segments, ...this.#wholePrompts]
  }
}
