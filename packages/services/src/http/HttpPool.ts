/** HTTP client with one keep-alive connection pool per address; the clients of a node share it. */
import type { Socket } from 'node:net'

import { Agent, buildConnector, Client, DecoratorHandler, request } from 'undici'
import type { Dispatcher } from 'undici'

import { BODY_IDLE_TIMEOUT_MS, CONNECT_TIMEOUT_MS, MAX_CONNECTIONS_PER_ADDRESS, HEADERS_TIMEOUT_MS, KEEP_ALIVE_MAX_MS, KEEP_ALIVE_MS } from './constants.js'
import { failed, success } from '../result.js'
import type { CallFailure } from '../errors.js'
import type { Millis } from '@bluebellhill/domain'
import type { Result } from '../result.js'

export interface HttpCall {
  /** `ip:port` */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers?: Record<string, string | string[]>
  readonly body?: string | Buffer | Uint8Array
  readonly signal?: AbortSignal
  /** Timeout for the response headers, including the wait for a connection. */
  readonly timeout?: Millis
  /** Longest time between two chunks of the response body. */
  readonly idleTimeout?: Millis
  /** Time after the response headers within which the body has to be complete; unbounded if absent. */
  readonly bodyTimeout?: Millis
  /** Called immediately before the first byte of the request is written. */
  readonly onSending?: () => void
  /**
   * Whether the call gets a connection of its own, which is closed after it. A second copy of an answer that a server sends late on a
   * connection in use again would pass for the answer to the next call.
   */
  readonly hasOwnConnection?: boolean
}

export interface HttpResponse {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly body: Dispatcher.ResponseData['body']
}

/** Whether the client has begun to write a request to a socket. */
interface SendState {
  isSent: boolean
  readonly onSending?: () => void
  /** Error of the own connection of the call. It is kept because undici reports an answer without a length as complete after a reset. */
  connectionError: Error | null
}

/** Records when a request begins to be written, and aborts the request if the client tries to write it a second time. */
class SendTracker implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler
  readonly #sendState: SendState

  constructor (handler: Dispatcher.DispatchHandler, sendState: SendState) {
    this.#handler = new DecoratorHandler(handler)
    this.#sendState = sendState
  }

  onRequestStart (controller: Dispatcher.DispatchController, context: unknown): void {
    if (this.#sendState.isSent) {
      controller.abort(new Error('the connection broke after the request was written'))
      return
    }
    this.#sendState.isSent = true
    this.#sendState.onSending?.()
    this.#handler.onRequestStart?.(controller, context)
  }

  onRequestUpgrade (...args: Parameters<NonNullable<Dispatcher.DispatchHandler['onRequestUpgrade']>>): void {
    this.#handler.onRequestUpgrade?.(...args)
  }

  onResponseStart (...args: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseStart']>>): void {
    this.#handler.onResponseStart?.(...args)
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#handler.onResponseData?.(controller, chunk)
  }

  onResponseEnd (controller: Dispatcher.DispatchController, trailers: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseEnd']>>[1]): void {
    const { connectionError } = this.#sendState
    if (connectionError === null) this.#handler.onResponseEnd?.(controller, trailers)
    else this.#handler.onResponseError?.(controller, connectionError)
  }

  onResponseError (controller: Dispatcher.DispatchController, error: Error): void {
    this.#handler.onResponseError?.(controller, error)
  }
}

const trackSending: Dispatcher.DispatcherComposeInterceptor = (dispatch) => (options, handler) =>
  dispatch(options, new SendTracker(handler, (options as { opaque?: SendState }).opaque ?? { isSent: false, connectionError: null }))

/** HTTP client with one connection pool per address. */
export class HttpPool {
  readonly #agent: Agent
  readonly #dispatcher: Dispatcher
  readonly #connectTimeout: Millis
  /** Clients of the calls with connections of their own. */
  readonly #ownClients = new Set<Client>()

  /**
   * @param connections - maximum number of connections to one address
   * @param connectTimeout - timeout for opening a connection
   */
  constructor (connections: number = MAX_CONNECTIONS_PER_ADDRESS, connectTimeout: Millis = CONNECT_TIMEOUT_MS) {
    this.#connectTimeout = connectTimeout
    this.#agent = new Agent({
      connections,
      pipelining: 1,
      connect: { timeout: connectTimeout },
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MAX_MS
    })
    this.#dispatcher = this.#agent.compose(trackSending)
  }

  /**
   * Sends a request at most once.
   *
   * @param call - the request
   * @returns status, headers and unread body, or a failure: `not_sent` if no byte of the request was written, otherwise `interrupted`
   */
  async send (call: HttpCall): Promise<Result<HttpResponse, CallFailure>> {
    const sendState: SendState = { isSent: false, onSending: call.onSending, connectionError: null }
    const timeoutController = new AbortController()
    const stopTimer = call.timeout === undefined ? null : startTimer(call.timeout, () => timeoutController.abort(new Error(`no response within ${call.timeout} ms`)))
    const abortSignal = call.signal === undefined ? timeoutController.signal : AbortSignal.any([call.signal, timeoutController.signal])
    try {
      const response = await request(`http://${call.address}${call.path}`, {
        dispatcher: call.hasOwnConnection === true ? this.#openClient(call.address, sendState) : this.#dispatcher,
        reset: call.hasOwnConnection,
        method: call.method as Dispatcher.HttpMethod,
        headers: call.headers,
        body: call.body,
        signal: abortSignal,
        headersTimeout: HEADERS_TIMEOUT_MS,
        bodyTimeout: call.idleTimeout ?? BODY_IDLE_TIMEOUT_MS,
        opaque: sendState
      })
      if (call.bodyTimeout !== undefined) limitBody(response.body, call.bodyTimeout)
      return success({ status: response.statusCode, headers: response.headers, body: response.body })
    } catch (error) {
      return failed({ type: sendState.isSent ? 'interrupted' : 'not_sent', reason: errorMessage(error) })
    } finally {
      stopTimer?.()
    }
  }

  /** Closes all connections; requests in progress fail. */
  async dispose (): Promise<void> {
    await Promise.all([this.#agent, ...this.#ownClients].map(async (dispatcher) => { await dispatcher.destroy() }))
  }

  #openClient (address: string, sendState: SendState): Dispatcher {
    const connect = buildConnector({ timeout: this.#connectTimeout })
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (options, callback) => connect(options, (...result) => {
        const [, socket] = result
        if (socket != null) watchForReset(socket, sendState)
        callback(...result)
      })
    })
    this.#ownClients.add(client)
    const forget = (): void => { this.#ownClients.delete(client) }
    client.once('disconnect', forget)
    client.once('connectionError', forget)
    return client.compose(trackSending)
  }
}

/** Adds listeners that run before those of undici, which may report the answer as complete. */
const watchForReset = (socket: Socket, sendState: SendState): void => {
  socket.prependOnceListener('error', (error: Error) => { sendState.connectionError = error })
  socket.prependOnceListener('end', () => {
    // libuv reports an end if a reset arrives together with bytes; a socket that was reset has no remote address.
    if (socket.remoteAddress === undefined) sendState.connectionError = new Error('ECONNRESET the connection was reset after the last byte')
  })
}

/** Calls back after a time, once input that has arrived is read: after the process was held up, expired timers run first. Returns what stops the timer. */
const startTimer = (time: Millis, callback: () => void): (() => void) => {
  let immediate: NodeJS.Immediate | undefined
  const timer = setTimeout(() => { immediate = setImmediate(callback) }, time)
  return () => {
    clearTimeout(timer)
    clearImmediate(immediate)
  }
}

/** A body that is not complete in time ends with an error, and its connection is closed. */
const limitBody = (body: Dispatcher.ResponseData['body'], time: Millis): void => {
  const stopTimer = startTimer(time, () => { body.destroy(new Error(`the body was not complete within ${time} ms`)) })
  body.once('close', stopTimer)
}

const errorMessage = (error: unknown): string => {
  if (!(error instanceof Error)) return String(error)
  const code = (error as NodeJS.ErrnoException).code
  return typeof code === 'string' ? `${code} ${error.message}` : error.message
}
