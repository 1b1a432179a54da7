/** Gives the HTTP parser of a caller's connection one request head at a time, so that what is sent ahead stays unparsed. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

const HEAD_END = '\r\n\r\n'

/** Bytes of the end of a head that may already have been given to the parser while the rest is missing. */
const HEAD_END_OVERLAP = HEAD_END.length - 1

/** Bytes of an incomplete head that the parser gets, so that it measures the time since the head began; it keeps each field of a head as objects. */
const HEAD_OPENING_BYTES = 512

const EMPTY = Buffer.alloc(0)
const CARRIAGE_RETURN = 13
const LINE_FEED = 10

export interface RequestFeedOptions {
  readonly socket: Socket
  /** Returns whether the connection may begin another request. */
  readonly mayBegin: () => boolean
  /** Returns whether no request of the connection is open. */
  readonly isQuiet: () => boolean
  /** Returns whether nothing that arrives is a request any more. */
  readonly isRefused: () => boolean
  /** Called when bytes wait because the connection may not begin another request. */
  readonly onSentAhead: () => void
  /** Returns the largest request head in bytes. */
  readonly maxHeadBytes: () => number
  /** Called when an incomplete head is larger than that. */
  readonly onHeadTooLarge: () => void
}

/**
 * Replaces `push` of a caller's socket, through which all bytes come that have been read, and `_read`, with which more are asked for. Node.js would parse a whole read at once, which may hold hundreds of
 * requests, and keeps each with its answer until the earlier ones are answered. Here the next head waits as bytes until its turn has come, and a head that is
 * not complete waits as bytes but for its first part.
 */
export class RequestFeed {
  readonly #options: RequestFeedOptions
  readonly #push: (chunk: Buffer | null) => boolean
  readonly #read: (size: number) => void
  /** Bytes that have been read and not been given to the parser. */
  #waiting: Buffer = EMPTY
  /** Bytes of an incomplete head that the parser has. */
  #begunBytes = 0
  /** Last bytes of these. */
  #begunEnd: Buffer = EMPTY
  /** Request whose body is being read; null between requests. */
  #request: IncomingMessage | null = null
  /** Bytes of that body that are missing; null if it comes in chunks. */
  #missingBodyBytes: number | null = null
  #hasEnded = false
  #isReadStopped = false
  #isFeeding = false

  /** @param options - the connection, and its limits */
  constructor (options: RequestFeedOptions) {
    const { socket } = options
    this.#options = options
    this.#push = socket.push.bind(socket) as (chunk: Buffer | null) => boolean
    socket.push = (chunk: Buffer | null) => chunk === null ? this.#end() : this.#receive(chunk)
    this.#read = socket._read.bind(socket)
    socket._read = (size: number) => { if (this.#takesMore) this.#read(size); else this.#isReadStopped = true }
    // A listener for data makes Node.js give the bytes to the stream, and not to its parser directly.
    socket.on('data', () => {})
    socket.on('resume', () => this.feed())
  }

  /** Bytes that belong to no request yet whose head the parser has read. */
  get pendingBytes (): number {
    return this.#waiting.length + this.#begunBytes
  }

  /** Whether bytes wait because the connection may not begin another request. */
  get isSentAhead (): boolean {
    return this.#request === null && this.#waiting.length > 0 && !this.#options.mayBegin()
  }

  /** @param request - the request whose head the parser has just read */
  requestBegun (request: IncomingMessage): void {
    const { 'content-length': length, 'transfer-encoding': coding } = request.headers
    this.#request = request
    this.#missingBodyBytes = coding === undefined ? Number(length ?? 0) : null
    this.#begunBytes = 0
    this.#begunEnd = EMPTY
  }

  /** Gives the parser what it may have by now. */
  feed (): void {
    if (this.#isFeeding) return
    this.#isFeeding = true
    for (let length = this.#nextLength(); length > 0; length = this.#nextLength()) this.#give(length)
    this.#isFeeding = false
    if (this.#hasEnded && this.#isDrained) this.#push(null)
    else if (this.#isReadStopped && this.#takesMore) this.#readOn()
  }

  #receive (chunk: Buffer): boolean {
    this.#waiting = this.#waiting.length === 0 ? chunk : Buffer.concat([this.#waiting, chunk])
    this.feed()
    if (this.isSentAhead) this.#options.onSentAhead()
    this.#isReadStopped = !this.#takesMore
    return !this.#isReadStopped
  }

  /** The end of the connection comes behind what was read before it. */
  #end (): boolean {
    this.#hasEnded = true
    return this.#isDrained && this.#push(null)
  }

  #readOn (): void {
    const { socket } = this.#options
    this.#isReadStopped = false
    if (!socket.destroyed) this.#read(0)
  }

  /** Whether nothing waits but a head that is not complete. */
  get #isDrained (): boolean {
    return this.#waiting.length === 0 || (this.#isAwaitingHead && this.#nextLength() === 0)
  }

  get #takesMore (): boolean {
    return this.#isDrained && this.#canPush
  }

  get #isAwaitingHead (): boolean {
    return this.#request === null && this.#options.mayBegin()
  }

  /** Whether the parser gets bytes within the call of `push`: the connection is not paused. */
  get #canPush (): boolean {
    const { socket } = this.#options
    return !socket.destroyed && socket.readableFlowing === true && socket.readableLength === 0
  }

  #give (length: number): void {
    const bytes = this.#waiting.subarray(0, length)
    this.#waiting = length === this.#waiting.length ? EMPTY : this.#waiting.subarray(length)
    if (this.#request === null) this.#beginHead(bytes)
    else if (this.#missingBodyBytes !== null) this.#missingBodyBytes -= length
    this.#push(bytes)
    if (this.#request?.complete === true) this.#request = null
  }

  #beginHead (bytes: Buffer): void {
    if (this.#begunBytes === 0 && countBlankBytes(bytes) === bytes.length) return
    this.#begunBytes += bytes.length
    this.#begunEnd = Buffer.concat([this.#begunEnd, bytes]).subarray(-HEAD_END_OVERLAP)
  }

  /** Returns how many bytes the parser gets next, which hold the end of one head at most; 0 if it has to wait. */
  #nextLength (): number {
    if (this.#options.isRefused()) this.#waiting = EMPTY
    if (this.#waiting.length === 0 || !this.#canPush) return 0
    if (this.#request === null) return this.#options.mayBegin() ? this.#nextHeadLength() : 0
    if (this.#missingBodyBytes === null) return lengthThroughBlankLine(this.#waiting)
    return Math.min(this.#waiting.length, Math.max(1, this.#missingBodyBytes))
  }

  #nextHeadLength (): number {
    if (this.#begunBytes === 0) {
      const blankBytes = countBlankBytes(this.#waiting)
      if (blankBytes > 0) return blankBytes
    }
    const text = this.#begunEnd.length === 0 ? this.#waiting : Buffer.concat([this.#begunEnd, this.#waiting])
    const end = text.indexOf(HEAD_END)
    if (end >= 0) return end + HEAD_END.length - this.#begunEnd.length
    if (this.pendingBytes > this.#options.maxHeadBytes()) {
      this.#options.onHeadTooLarge()
      return 0
    }
    return this.#begunBytes === 0 && this.#options.isQuiet() ? Math.min(HEAD_OPENING_BYTES, this.#waiting.length) : 0
  }
}

/** The blank line ends a body in chunks, or stands within it. */
const lengthThroughBlankLine = (bytes: Buffer): number => {
  const end = bytes.indexOf(HEAD_END)
  return end < 0 ? bytes.length : end + HEAD_END.length
}

/** Blank lines may come before a request. */
const countBlankBytes = (bytes: Buffer): number => {
  const first = bytes.findIndex((byte) => byte !== CARRIAGE_RETURN && byte !== LINE_FEED)
  return first < 0 ? bytes.length : first
}
