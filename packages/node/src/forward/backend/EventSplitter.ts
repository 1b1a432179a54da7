/** Splits a stream of server-sent events into complete events. */
import { BoundedBuffer } from '@bluebellhill/services'

import { MAX_EVENT_BYTES } from './answerLimits.js'

/** A complete event, including the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer
  /** Null if the event has no id. */
  readonly id: string | null
  /** Whether it has a field; false for comments and blank lines only, which servers may send while they make no progress. */
  readonly hasContent: boolean
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

/** A line that is neither blank nor a comment. */
const FIELD_LINE = /^[^:\r\n]/m
const ID_LINE = /^id: ?(.*?)\r?$/m

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
  readonly #incomplete = new BoundedBuffer(MAX_EVENT_BYTES)

  /** Number of bytes of an event that is not complete yet. */
  get pendingBytes (): number {
    return this.#incomplete.length
  }

  /**
   * @param chunk - next bytes of the stream
   * @returns the events that are completed by them; null if an event is longer than events may be
   */
  push (chunk: Buffer): StreamEvent[] | null {
    const events: StreamEvent[] = []
    let start = 0
    for (let index = chunk.indexOf(LINE_FEED); index !== -1; index = chunk.indexOf(LINE_FEED, index + 1)) {
      if (!this.#endsEvent(chunk, start, index)) continue
      const event = this.#complete(chunk.subarray(start, index + 1))
      if (event === null) return null
      events.push(event)
      start = index + 1
    }
    return this.#incomplete.append(chunk.subarray(start)) ? events : null
  }

  /** An event ends with a blank line: a line feed that follows another one, with a carriage return between them or not. */
  #endsEvent (chunk: Buffer, start: number, index: number): boolean {
    const last = this.#byteBefore(chunk, start, index, 1)
    if (last !== CARRIAGE_RETURN) return last === LINE_FEED
    return this.#byteBefore(chunk, start, index, 2) === LINE_FEED
  }

  /** Looks up a byte of the event, which may have begun in earlier chunks. */
  #byteBefore (chunk: Buffer, start: number, index: number, distance: number): number | undefined {
    const position = index - distance
    return position >= start ? chunk[position] : this.#incomplete.fromEnd(start - position)
  }

  #complete (lastBytes: Buffer): StreamEvent | null {
    if (this.#incomplete.length === 0) return lastBytes.length <= MAX_EVENT_BYTES ? parseEvent(lastBytes) : null
    return this.#incomplete.append(lastBytes) ? parseEvent(this.#incomplete.take()) : null
  }
}

const parseEvent = (bytes: Buffer): StreamEvent => {
  const text = bytes.toString('utf8')
  return { bytes, id: ID_LINE.exec(text)?.[1] ?? null, hasContent: FIELD_LINE.test(text) }
}
