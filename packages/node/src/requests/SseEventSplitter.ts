/** Splits a stream of server-sent events into the data of each event. */

const EVENT_END = '\n\n'
const DATA_PREFIX = 'data: '

/** Collects bytes and gives the data of every event that is complete. */
export class SseEventSplitter {
  readonly #decoder = new TextDecoder()
  readonly #maxEventLength: number
  #pending = ''

  /**
   * @param maxEventLength - the longest event, in characters, that is waited for
   */
  constructor (maxEventLength: number) {
    this.#maxEventLength = maxEventLength
  }

  /**
   * Takes the next bytes.
   *
   * @param bytes - as they came from the connection
   * @returns the data of each event that is now complete
   * @throws RangeError where an event is longer than the limit
   */
  push (bytes: Uint8Array): string[] {
    const events = (this.#pending + this.#decoder.decode(bytes, { stream: true })).split(EVENT_END)
    this.#pending = events.pop() ?? ''
    if (this.#pending.length > this.#maxEventLength) throw new RangeError('event over the limit')
    return events.filter((part) => part.startsWith(DATA_PREFIX)).map((event) => event.slice(DATA_PREFIX.length))
  }
}
