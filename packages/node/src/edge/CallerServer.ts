/** HTTP server for callers: routes each call and answers calls that fail before a route has answered. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { randomUUID } from 'node:crypto'
import { Server as TcpServer } from 'node:net'
import type { Duplex } from 'node:stream'
import { setTimeout as sleep } from 'node:timers/promises'

import { OutcomeKind, Ran } from '@bluebellhill/domain'
import type { Millis, Outcome, RequestId } from '@bluebellhill/domain'
import { EventKind } from '@bluebellhill/protocol'

import type { Metrics } from '../metrics/index.js'
import type { TimeLine } from '../timeline/index.js'
import { discardBody } from './discardBody.js'
import { RefusedCall } from './errors.js'
import { listen } from './listen.js'
import { outcomeOfParserError, rawHttpResponse } from './protocolErrors.js'
import { writeFailure } from './response.js'
import type { EdgeCall, Route } from './Route.js'

const HEADERS_TIMEOUT_MS = 10_000
const MAX_HEADER_BYTES = 16_384
const MAX_TARGET_LENGTH = 4_096

/** Interval at which a stopping node checks whether all answers are written. */
const ANSWER_CHECK_PERIOD: Millis = 20

/** Passes each call to its route, and answers malformed, unknown and failed calls with a numbered error. */
export class CallerServer {
  readonly #server: Server
  readonly #routes: readonly Route[]
  readonly #timeLine: TimeLine
  readonly #metrics: Metrics
  /** Calls whose answers are not written to the operating system completely. */
  readonly #openCalls = new Set<ServerResponse>()

  constructor (routes: readonly Route[], timeLine: TimeLine, metrics: Metrics) {
    this.#routes = routes
    this.#timeLine = timeLine
    this.#metrics = metrics
    this.#server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, headersTimeout: HEADERS_TIMEOUT_MS }, (request, response) => {
      void this.#handle(request, response)
    })
    this.#server.on('checkExpectation', (request, response) => {
      this.#refuse(request, response, new RefusedCall(OutcomeKind.BadRequest, 'leave the Expect header out, or send "100-continue"'))
    })
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => this.#refuseMalformedBytes(error.code, socket))
  }

  /**
   * Starts to listen.
   *
   * @param address - `ip:port`; port 0 selects a free port
   * @returns the address with the port in use
   */
  async listen (address: string): Promise<string> {
    return await listen(this.#server, address)
  }

  /** Accepts no new connections. Calls in progress continue, and those that come on open connections get an answer until `dispose`. */
  stopListening (): void {
    // http.Server.close() would also reset connections whose answer has ended but is not written to the socket yet.
    TcpServer.prototype.close.call(this.#server)
  }

  /**
   * Waits until all answers are written, also those to calls that are still being read.
   *
   * @param limit - longest wait: a caller may read slowly, or never
   */
  async whenAnswered (limit: Millis): Promise<void> {
    const checks = Math.ceil(limit / ANSWER_CHECK_PERIOD)
    for (let check = 0; check < checks && this.#openCalls.size > 0; check += 1) await sleep(ANSWER_CHECK_PERIOD)
  }

  dispose (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.on('error', () => {})
    this.#openCalls.add(response)
    response.once('close', () => { this.#openCalls.delete(response) })
    try {
      const call = createEdgeCall(request, response)
      await this.#findRoute(request.method ?? 'GET', call.path).handle(call)
    } catch (error) {
      this.#refuse(request, response, error)
    }
  }

  #findRoute (method: string, path: string): Route {
    const route = this.#routes.find((each) => each.matches(method, path))
    if (route === undefined) throw new RefusedCall(OutcomeKind.UnknownRoute, `${method} ${path.slice(0, 100)}`)
    return route
  }

  /** Answers bytes that cannot be parsed as HTTP. There is no request, so the answer is written to the socket itself. */
  #refuseMalformedBytes (code: string | undefined, socket: Duplex): void {
    if (code === 'ECONNRESET' || !socket.writable) return void socket.destroy()
    const outcome = outcomeOfParserError(code)
    const requestId = this.#recordRefusal(outcome)
    socket.end(rawHttpResponse(outcome, requestId))
  }

  #recordRefusal (outcome: Outcome): RequestId {
    const requestId = `req-${randomUUID()}` as RequestId
    this.#metrics.countOutcome(outcome.kind, outcome.ran)
    this.#timeLine.record(EventKind.RequestRefused, { request: requestId }, outcome.detail ?? '', { code: outcome.kind, ran: outcome.ran, retryAfter: outcome.retryAfter ?? null })
    return requestId
  }

  #refuse (request: IncomingMessage, response: ServerResponse, error: unknown): void {
    const outcome = outcomeOfError(error)
    const requestId = this.#recordRefusal(outcome)
    writeFailure(response, outcome, requestId)
    if (!request.complete) discardBody(request)
  }
}

const createEdgeCall = (request: IncomingMessage, response: ServerResponse): EdgeCall => {
  const target = request.url ?? '/'
  if (target.length > MAX_TARGET_LENGTH) throw new RefusedCall(OutcomeKind.UnknownRoute, 'the path is too long')
  const queryStart = target.indexOf('?')
  const path = queryStart < 0 ? target : target.slice(0, queryStart)
  return { request, response, path, query: queryStart < 0 ? '' : target.slice(queryStart) }
}

const outcomeOfError = (error: unknown): Outcome => {
  if (!(error instanceof RefusedCall)) {
    return { kind: OutcomeKind.Internal, ran: Ran.Unknown, detail: error instanceof Error ? error.message : 'unknown error' }
  }
  const outcome = { kind: error.kind, ran: Ran.No, detail: error.message }
  return error.retryAfter === null ? outcome : { ...outcome, retryAfter: error.retryAfter }
}
