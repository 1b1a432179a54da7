/** Sends one attempt to a backend server, on a connection of its own. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Socket } from 'node:net'

import { buildConnector, Client, errors } from 'undici'
import type { Dispatcher } from 'undici'

import type { Millis } from '@bluebellhill/domain'

import { ReadTurns } from '../ReadTurns.js'
import { MAX_FRAMING_BYTES } from './answerLimits.js'
import { SlicedSocket } from './SlicedSocket.js'

const FIRST_FAILURE_STATUS = 300

const CUT_SHORT_REASON = 'an answer without a length ended while the request was being sent'

const OVERSIZE_REASON = `more than ${MAX_FRAMING_BYTES} bytes without any of the body`

/** Request to a backend server. */
export interface ServerCallRequest {
  /** `ip:port` */
  readonly address: string
  readonly method: string
  readonly path: string
  /** Alternating names and values. */
  readonly headers: readonly string[]
  readonly body: Buffer
  /** Timeout for opening the connection. */
  readonly connectTimeout: Millis
}

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number
  /** Headers by name in lower case. */
  readonly headers: IncomingHttpHeaders
  /** Alternating names and values, unchanged. */
  readonly rawHeaders: readonly string[]
}

/** Receives the answer of a backend server; no method is called after `onEnd`, `onFailure` or `onOversize`. */
export interface ServerCallListener {
  onHead (head: AnswerHead): void
  onData (chunk: Buffer): void
  /** Called when the answer is complete. */
  onEnd (): void
  /** Called when the attempt fails; `mayBeSent` is false only if no byte of the request was sent. */
  onFailure (mayBeSent: boolean, reason: string): void
  /** Called when the server sends more than the limits allow without any byte of a body; the connection is closed. */
  onOversize (reason: string): void
}

/**
 * Sends one request and reports its answer. The connection is closed afterwards, so that bytes which a server sends after
 * its answer cannot be read as the answer to another request.
 */
export class ServerCall implements Dispatcher.DispatchHandler {
  readonly #client: Client
  readonly #listener: ServerCallListener
  #mayBeSent = false
  #isFinished = false
  /** Error of the connection. It is kept because undici reports an answer without a length as complete after a reset. */
  #connectionError: Error | null = null
  #socket: SlicedSocket | null = null
  /** Whether the present answer is a success that only the end of the connection completes, and began while the request was being sent. */
  #isCutShort = false
  /** Bytes that had been parsed with the last head or piece of the body. */
  #bytesAtLastProgress = 0
  #isBrokenOff = false
  #isHeld = false

  /**
   * @param request - address and contents of the request
   * @param listener - receives the answer
   * @param turns - turns in which the connections of this node are read
   */
  constructor (request: ServerCallRequest, listener: ServerCallListener, private readonly turns: ReadTurns = new ReadTurns()) {
    this.#listener = listener
    this.#client = new Client(`http://${request.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_FRAMING_BYTES,
      connect: this.#createConnector(request.connectTimeout)
    })
    this.#client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: [...request.headers],
      body: request.body.length > 0 ? request.body : null,
      reset: true
    }, this)
  }

  /** Whether bytes of the request may have been sent. */
  get mayBeSent (): boolean {
    return this.#mayBeSent
  }

  /** Whether the connection was closed or reset from outside. */
  get isBrokenOff (): boolean {
    return this.#isBrokenOff
  }

  /** Closes the connection, so that the server stops processing the request; the listener is not called afterwards. */
  abort (): void {
    if (this.#isFinished) return
    this.#isFinished = true
    this.#closeClient()
  }

  /**
   * Reads no more of the answer, so that the server waits, or goes on reading. Not to be released while data of the answer is being handled.
   *
   * @param isHeld - whether the answer is left unread
   */
  hold (isHeld: boolean): void {
    if (this.#isFinished || isHeld === this.#isHeld) return
    this.#isHeld = isHeld
    this.#socket?.hold(isHeld)
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#mayBeSent || this.#isFinished) {
      controller.abort(new Error('the request was aborted before it was sent'))
      return
    }
    this.#mayBeSent = true
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (this.#isFinished || status < 200) return
    this.#recordProgress()
    this.#isCutShort = status < FIRST_FAILURE_STATUS && !isFramed(status, headers) && this.#socket?.isWriting === true
    this.#listener.onHead({ status, headers, rawHeaders: rawHeadersOf(controller.rawHeaders, headers) })
  }

  onResponseData (_: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isFinished) return
    this.#recordProgress()
    this.#listener.onData(chunk)
  }

  onResponseEnd (): void {
    if (this.#isFinished) return
    this.#isFinished = true
    this.#closeClient()
    if (this.#connectionError !== null) this.#listener.onFailure(this.#mayBeSent, describeError(this.#connectionError))
    else if (this.#isCutShort) this.#listener.onFailure(this.#mayBeSent, CUT_SHORT_REASON)
    else this.#listener.onEnd()
  }

  onResponseError (_: Dispatcher.DispatchController, error: Error): void {
    if (this.#isFinished) return
    this.#isFinished = true
    this.#closeClient()
    if (error instanceof errors.HeadersOverflowError) this.#listener.onOversize(OVERSIZE_REASON)
    else this.#listener.onFailure(this.#mayBeSent, describeError(error))
  }

  #createConnector (timeout: Millis): buildConnector.connector {
    const connect = buildConnector({ timeout })
    return (options, callback) => connect(options, (...result) => {
      const [, socket] = result
      if (socket != null) {
        this.#watchForReset(socket)
        this.#socket = new SlicedSocket(socket, this.turns)
        this.#socket.hold(this.#isHeld)
      }
      callback(...result)
      if (socket != null) this.#limitFraming(socket)
    })
  }

  /** undici limits the headers of one head only: not their number, a status line, empty lines, or the framing of chunks. */
  #limitFraming (socket: Socket): void {
    // Added after the listener of undici, which has then parsed a slice of the bytes that have arrived.
    socket.on('readable', () => {
      if (this.#isFinished || this.#bytesTaken - this.#bytesAtLastProgress <= MAX_FRAMING_BYTES) return
      this.abort()
      this.#listener.onOversize(OVERSIZE_REASON)
    })
  }

  get #bytesTaken (): number {
    return this.#socket?.bytesTaken ?? 0
  }

  #recordProgress (): void {
    this.#bytesAtLastProgress = this.#bytesTaken
  }

  /** Adds listeners that run before those of undici, which may report the answer as complete. */
  #watchForReset (socket: Socket): void {
    socket.prependOnceListener('error', (error: Error) => {
      this.#isBrokenOff = true
      this.#connectionError = error
    })
    socket.prependOnceListener('end', () => {
      this.#isBrokenOff = true
      // libuv reports an end if a reset arrives together with bytes; a socket that was reset has no remote address.
      if (socket.remoteAddress === undefined) this.#connectionError = new Error('ECONNRESET the connection was reset after the last byte')
    })
  }

  #closeClient (): void {
    // Errors of closing do not matter: the result of the attempt is already decided.
    this.#client.destroy().catch(() => {})
  }
}

const NO_CONTENT = 204

/** Whether the head tells where the answer ends. */
const isFramed = (status: number, headers: IncomingHttpHeaders): boolean =>
  status === NO_CONTENT || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined

const rawHeadersOf = (raw: Dispatcher.DispatchController['rawHeaders'], headers: IncomingHttpHeaders): string[] => {
  if (Array.isArray(raw)) return raw.map((bytes) => bytes.toString('latin1'))
  return Object.entries(headers).flatMap(([name, value]) => [value ?? []].flat().flatMap((single) => [name, single]))
}

const describeError = (error: Error): string => {
  const code = (error as NodeJS.ErrnoException).code
  return code === undefined ? error.message : `${code} ${error.message}`
}
