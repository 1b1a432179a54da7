/** What one engine has to read, and how far it has got. */
import type { Millis } from '../types.js'
import type { Work } from './FleetWork.js'

/** A prompt, or a part of one, that is not read yet. */
export interface PendingReading {
  readonly work: Work
  /** Whether it is a part of a prompt that several engines read. */
  readonly isPart: boolean
  /** Reading time that is left on a sound engine. */
  readonly left: Millis
}

interface Item {
  readonly work: Work
  readonly isPart: boolean
  left: Millis
}

/** Reading time assumed to be left of a prompt that should have been read by now. */
const OVERDUE_READING: Millis = 10

/** Follows the reading of one engine: parts of divided prompts first, the newest of them before all; then whole prompts in turn. */
export class ReadingQueue {
  #parts: Item[] = []
  #whole: Item[] = []
  #advancedTo: Millis

  /** @param now - time */
  constructor (now: Millis) {
    this.#advancedTo = now
  }

  get isEmpty (): boolean {
    return this.#parts.length === 0 && this.#whole.length === 0
  }

  /**
   * Adds a prompt of this engine, or its part of a divided one.
   *
   * @param work - whose prompt it is
   * @param now - time
   */
  add (work: Work, now: Millis): void {
    this.advance(now)
    const isPart = work.helpers.length > 0
    const item = { work, isPart, left: work.part }
    if (isPart) this.#parts.unshift(item)
    else this.#whole.push(item)
  }

  /**
   * Removes what belongs to a request.
   *
   * @param work - the request
   * @param now - time
   */
  remove (work: Work, now: Millis): void {
    this.advance(now)
    const others = ({ work: { id } }: Item): boolean => id !== work.id
    this.#parts = this.#parts.filter(others)
    this.#whole = this.#whole.filter(others)
  }

  /**
   * Lets the time since the last call pass.
   *
   * @param now - time
   */
  advance (now: Millis): void {
    let passed = Math.max(0, now - this.#advancedTo)
    this.#advancedTo = Math.max(now, this.#advancedTo)
    for (const item of this.#order()) {
      const read = Math.min(passed, item.left)
      item.left -= read
      passed -= read
    }
  }

  /** @returns what is to be read, in the order in which it is read */
  pending (): PendingReading[] {
    return this.#order().map(({ work, isPart, left }) => ({ work, isPart, left: Math.max(left, OVERDUE_READING) }))
  }

  #order (): Item[] {
    return [...this.#parts, ...this.#whole]
  }
}
