/** Splits a stream of server-sent events into the data of each event. */

const EVENT_END = '\n\n'
const DATA_PREFIX = 'data: '

/** Collects bytes and gives the data of every event that is complete. */
export class EventSplitter {
  readonly #decoder = new TextDecoder()
  readonly #maxPending: number
  #pending = ''

  /**
   * @param maxPending - the longest event, in characters, that is waited for
   */
  constructor (maxPending: number) {
    this.#maxPending = maxPending
  }

  /**
   * Takes the next bytes.
   *
   * @param bytes - as they came from the connection
   * @returns the data of each event that is now complete
   * @throws RangeError where an event is longer than the limit
   */
  push (bytes: Uint8Array): string[] {
    const parts = (this.#pending + this.#decoder.decode(bytes, { stream: true })).split(EVENT_END)
    this.#pending = parts.pop() ?? ''
    if (this.#pending.length > this.#maxPending) throw new RangeError('event over the limit')
    return parts.filter((part) => part.startsWith(DATA_PREFIX)).map((part) => part.slice(DATA_PREFIX.length))
  }
}
