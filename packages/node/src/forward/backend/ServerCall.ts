/** One attempt at a backend server, on a connection of its own. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Socket } from 'node:net'

import { buildConnector, Client } from 'undici'
import type { Dispatcher } from 'undici'

import type { Millis } from '@bluebellhill/domain'

/** What is sent. */
export interface ServerCallRequest {
  /** `ip:port` */
  readonly address: string
  readonly method: string
  readonly path: string
  /** Names and values by turns. */
  readonly headers: readonly string[]
  readonly body: Buffer
  /** Time to open the connection. */
  readonly connectTimeout: Millis
}

/** Head of an answer. */
export interface AnswerHead {
  readonly status: number
  /** Names in lower case. */
  readonly headers: IncomingHttpHeaders
  /** Names and values by turns, as they came. */
  readonly rawHeaders: readonly string[]
}

/** Told what the backend server answers; after `ended` and `broke` nothing follows. */
export interface ServerCallListener {
  onHead (head: AnswerHead): void
  onData (chunk: Buffer): void
  /** The answer is whole. */
  onEnd (): void
  /** `sent` is false only where no byte of the request left. */
  onFailure (mayBeSent: boolean, reason: string): void
}

/**
 * Sends one request and reports its answer. The connection is closed afterwards: bytes that a server sends behind its
 * answer can never be taken for the answer of another request.
 */
export class ServerCall implements Dispatcher.DispatchHandler {
  readonly #client: Client
  readonly #listener: ServerCallListener
  #mayBeSent = false
  #isFinished = false
  /** Error of the connection; undici takes an answer without a length for whole when its connection is reset. */
  #connectionError: Error | null = null

  /**
   * @param request - what is sent where
   * @param listener - told what comes back
   */
  constructor (request: ServerCallRequest, listener: ServerCallListener) {
    this.#listener = listener
    this.#client = new Client(`http://${request.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
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

  /** Whether bytes of the request may have left. */
  get mayBeSent (): boolean {
    return this.#mayBeSent
  }

  /** Closes the connection, so that the server stops working; the listener hears nothing more. */
  abort (): void {
    if (this.#isFinished) return
    this.#isFinished = true
    this.#closeClient()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#mayBeSent || this.#isFinished) {
      controller.abort(new Error('the request was given up before it was sent'))
      return
    }
    this.#mayBeSent = true
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (this.#isFinished || status < 200) return
    this.#listener.onHead({ status, headers, rawHeaders: rawHeadersOf(controller.rawHeaders, headers) })
  }

  onResponseData (_: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#isFinished) this.#listener.onData(chunk)
  }

  onResponseEnd (): void {
    if (this.#isFinished) return
    this.#isFinished = true
    this.#closeClient()
    if (this.#connectionError === null) this.#listener.onEnd()
    else this.#listener.onFailure(this.#mayBeSent, describeError(this.#connectionError))
  }

  onResponseError (_: Dispatcher.DispatchController, error: Error): void {
    if (this.#isFinished) return
    this.#isFinished = true
    this.#closeClient()
    this.#listener.onFailure(this.#mayBeSent, describeError(error))
  }

  #createConnector (timeout: Millis): buildConnector.connector {
    const connect = buildConnector({ timeout })
    return (options, callback) => connect(options, (...result) => {
      const [, socket] = result
      if (socket != null) this.#watchForReset(socket)
      callback(...result)
    })
  }

  /** Listens before the client does, which may declare the answer whole. */
  #watchForReset (socket: Socket): void {
    socket.prependOnceListener('error', (error: Error) => { this.#connectionError = error })
    socket.prependOnceListener('end', () => {
      // libuv reports an end where a reset arrives together with bytes; a connection that was reset has no peer any more.
      if (socket.remoteAddress === undefined) this.#connectionError = new Error('ECONNRESET the connection was reset behind the last byte')
    })
  }

  #closeClient (): void {
    // The outcome of closing does not matter: the answer has been judged already.
    this.#client.destroy().catch(() => {})
  }
}

const rawHeadersOf = (raw: Dispatcher.DispatchController['rawHeaders'], headers: IncomingHttpHeaders): string[] => {
  if (Array.isArray(raw)) return raw.map((bytes) => bytes.toString('latin1'))
  return Object.entries(headers).flatMap(([name, value]) => [value ?? []].flat().flatMap((single) => [name, single]))
}

const describeError = (error: Error): string => {
  const code = (error as NodeJS.ErrnoException).code
  return code === undefined ? error.message : `${code} ${error.message}`
}
