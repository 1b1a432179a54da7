/** Splits a stream of server-sent events into complete events. */

/** A complete event, including the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer
  /** Null if the event has no id. */
  readonly id: string | null
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_LINE = /^id: ?(.*?)\r?$/m

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
  #incomplete: Buffer = Buffer.alloc(0)

  /** Number of bytes of an event that is not complete yet. */
  get pendingBytes (): number {
    return this.#incomplete.length
  }

  /**
   * @param chunk - next bytes of the stream
   * @returns the events that are completed by them
   */
  push (chunk: Buffer): StreamEvent[] {
    const bytes = this.#incomplete.length === 0 ? chunk : Buffer.concat([this.#incomplete, chunk])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = findEventEnd(bytes, start); end !== -1; end = findEventEnd(bytes, start)) {
      events.push(parseEvent(bytes.subarray(start, end)))
      start = end
    }
    this.#incomplete = Buffer.from(bytes.subarray(start))
    return events
  }
}

const parseEvent = (bytes: Buffer): StreamEvent => ({ bytes, id: ID_LINE.exec(bytes.toString('utf8'))?.[1] ?? null })

/** @returns the index after the next blank line; -1 if there is none */
const findEventEnd = (bytes: Buffer, from: number): number => {
  for (let index = bytes.indexOf(LINE_FEED, from); index !== -1; index = bytes.indexOf(LINE_FEED, index + 1)) {
    const next = bytes[index + 1] === CARRIAGE_RETURN ? index + 2 : index + 1
    if (bytes[next] === LINE_FEED) return next + 1
  }
  return -1
}
