/** HTTP client with one keep-alive connection pool per address; the clients of a node share it. */
import { Agent, DecoratorHandler, request } from 'undici'
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
  /** Called immediately before the first byte of the request is written. */
  readonly onSending?: () => void
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

  onResponseEnd (...args: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseEnd']>>): void {
    this.#handler.onResponseEnd?.(...args)
  }

  onResponseError (controller: Dispatcher.DispatchController, error: Error): void {
    this.#handler.onResponseError?.(controller, error)
  }
}

const trackSending: Dispatcher.DispatcherComposeInterceptor = (dispatch) => (options, handler) =>
  dispatch(options, new SendTracker(handler, (options as { opaque?: SendState }).opaque ?? { isSent: false }))

/** HTTP client with one connection pool per address. */
export class HttpPool {
  readonly #agent: Agent
  readonly #dispatcher: Dispatcher

  /**
   * @param connections - maximum number of connections to one address
   * @param connectTimeout - timeout for opening a connection
   */
  constructor (connections: number = MAX_CONNECTIONS_PER_ADDRESS, connectTimeout: Millis = CONNECT_TIMEOUT_MS) {
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
    const sendState: SendState = { isSent: false, onSending: call.onSending }
    const timeoutController = new AbortController()
    const stopTimer = call.timeout === undefined ? null : startTimer(call.timeout, () => timeoutController.abort(new Error(`no response within ${call.timeout} ms`)))
    const abortSignal = call.signal === undefined ? timeoutController.signal : AbortSignal.any([call.signal, timeoutController.signal])
    try {
      const response = await request(`http://${call.address}${call.path}`, {
        dispatcher: this.#dispatcher,
        method: call.method as Dispatcher.HttpMethod,
        headers: call.headers,
        body: call.body,
        signal: abortSignal,
        headersTimeout: HEADERS_TIMEOUT_MS,
        bodyTimeout: call.idleTimeout ?? BODY_IDLE_TIMEOUT_MS,
        opaque: sendState
      })
      return success({ status: response.statusCode, headers: response.headers, body: response.body })
    } catch (error) {
      return failed({ type: sendState.isSent ? 'interrupted' : 'not_sent', reason: errorMessage(error) })
    } finally {
      stopTimer?.()
    }
  }

  /** Closes all connections; requests in progress fail. */
  async dispose (): Promise<void> {
    await this.#agent.destroy()
  }
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

const errorMessage = (error: unknown): string => {
  if (!(error instanceof Error)) return String(error)
  const code = (error as NodeJS.ErrnoException).code
  return typeof code === 'string' ? `${code} ${error.message}` : error.message
}
