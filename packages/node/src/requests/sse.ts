/** Splits a stream of server-sent events (SSE) into the data of each event. */

const EVENT_END = '\n\n'
const DATA_PREFIX = 'data: '

/** Buffers the bytes of a stream and returns the data of each complete event. */
export class SseEventSplitter {
  readonly #decoder = new TextDecoder()
  readonly #maxEventLength: number
  #pending = ''

  /**
   * @param maxEventLength - maximum number of characters of an incomplete event
   */
  constructor (maxEventLength: number) {
    this.#maxEventLength = maxEventLength
  }

  /**
   * Adds the next bytes of the stream.
   *
   * @param bytes - bytes as received from the connection
   * @returns the data of each event that these bytes complete
   * @throws RangeError if an incomplete event exceeds the limit
   */
  push (bytes: Uint8Array): string[] {
    const events = (this.#pending + this.#decoder.decode(bytes, { stream: true })).split(EVENT_END)
    this.#pending = events.pop() ?? ''
    if (this.#pending.length > this.#maxEventLength) throw new RangeError('event over the limit')
    return events.filter((event) => event.startsWith(DATA_PREFIX)).map((event) => event.slice(DATA_PREFIX.length))
  }
}
