/** Records how much of one answer its caller has not read, and for how long. */
import type { Millis } from '../types.js'

/** Precision of the waiting time. Writes within it share a mark, so that the marks of an answer stay few. */
const MARK_PERIOD: Millis = 100

/** Bytes up to a position of an answer were written by a time. */
interface WriteMark {
  readonly at: Millis
  upTo: number
}

/** Unread bytes of one answer. */
export class UnreadAnswer {
  /** Time since which its server is held back; null if it is not. */
  heldSince: Millis | null = null
  readonly #marks: WriteMark[] = []
  #written = 0
  #unread = 0

  /** @param id - id of the answer */
  constructor (readonly id: number) {}

  /** Number of bytes that the caller has not read. */
  get unread (): number {
    return this.#unread
  }

  /**
   * @param written - bytes that have been written so far
   * @param unread - bytes of them, with their framing, that are still buffered
   * @param now - current time
   */
  observe (written: number, unread: number, now: Millis): void {
    if (written > this.#written) this.#mark(written, now)
    this.#written = written
    this.#unread = unread
    while (this.#marks[0] !== undefined && this.#marks[0].upTo <= written - unread) this.#marks.shift()
  }

  /** @returns for how long the oldest unread byte has waited */
  waitingTime (now: Millis): Millis {
    const [oldest] = this.#marks
    return oldest === undefined || this.#unread === 0 ? 0 : now - oldest.at
  }

  #mark (upTo: number, now: Millis): void {
    const last = this.#marks.at(-1)
    if (last !== undefined && now - last.at < MARK_PERIOD) last.upTo = upTo
    else this.#marks.push({ at: now, upTo })
  }
}
