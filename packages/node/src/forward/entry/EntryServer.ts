/** Accepts callers' HTTP requests, and forwards or refuses them. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { once } from 'node:events'
import { Server as TcpServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import { CallKind } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'
import { decodeCallerHeaders } from '@bluebellhill/platform'
import type { SocketAddress } from '@bluebellhill/platform'

import { waitingInputRead } from '../../clock/inputTurn.js'
import { errorText } from '../../log/index.js'
import type { AdmittedCall } from '../AdmittedCall.js'
import type { Forwarding } from '../Forwarding.js'
import { ErrorScope } from '../ForwardMetrics.js'
import { StartPhase } from '../StartTimes.js'
import type { ForwardingContext } from '../types.js'
import { PlainForwarding } from '../PlainForwarding.js'
import { StreamForwarding } from '../StreamForwarding.js'
import { RELAY_HEADER, SERVER_ANSWER } from '../relay/relayHeaders.js'
import { CloseCause, recordUnanswered, RequestStage } from '../unansweredRequests.js'
import { AnswerForecast } from '../stop/AnswerForecast.js'
import { NodeStop } from '../stop/NodeStop.js'
import { CallerConnections } from './CallerConnections.js'
import { breakConnection } from './breakConnection.js'
import { acceptHead, admit, headSize, readCallerBody, timeAllowed } from './admit.js'
import { answerMalformed, headTooLarge, malformedCause } from './malformedRequests.js'
import { RefusalCause, refuse } from './refusals.js'

/** Largest request head that the HTTP parser accepts; the configured limit is checked afterwards. */
const MAX_HEAD_BYTES = 128 * 1024

/** Bytes of a request head that its configured limit does not count: the version, the blank line and white space. */
const UNCOUNTED_HEAD_BYTES = 1_024

/** Interval at which connections are checked for timeouts. */
const CONNECTION_CHECK_PERIOD: Millis = 500

/** Interval at which idle connections are closed after `stop` was called. */
const IDLE_SWEEP_PERIOD: Millis = 200

/** Interval at which a stopping node checks whether the requests that other nodes have passed on are answered. */
const RELAYED_CHECK_PERIOD: Millis = 20

/** Time after `stop` in which the head of a request on an open connection is still accepted; a later one is refused without reading its body. */
const ACCEPT_PERIOD_AFTER_STOP: Millis = 2_000

/** Time in which the callers of requests that the end of the stop grace has ended can read what they are told, before their connections are closed. */
const WRITE_OUT_TIME: Millis = 200

const EXPECTATION_FAILED = 417

/** Length of the queue of connections that the operating system has established for the server, the default of Node.js. */
const CONNECTION_QUEUE = 511

/** Turns without a new connection after which none is waiting; the first may end before input is read. */
const QUIET_TURNS = 2

/** A request without a final answer. */
interface OpenRequest {
  readonly request: IncomingMessage
  readonly arrivedAt: Millis
  /** Null until the request is read. */
  forwarding: Forwarding | null
  /** Whether the end of the stop grace has ended it. */
  isCutOff: boolean
}

/** HTTP server for callers. */
export class EntryServer {
  readonly #server: Server
  readonly #context: ForwardingContext
  readonly #openRequests = new Map<ServerResponse, OpenRequest>()
  readonly #connections: CallerConnections
  readonly #stop: NodeStop
  #isClosed = false

  /**
   * @param context - objects that all requests share
   * @param connectionLimit - largest number of connections
   */
  constructor (context: Omit<ForwardingContext, 'stop' | 'forecast'>, connectionLimit = Infinity) {
    this.#stop = new NodeStop(context.clock)
    this.#context = { ...context, stop: this.#stop, forecast: new AnswerForecast() }
    this.#connections = new CallerConnections({
      clock: context.clock,
      limit: connectionLimit,
      freeBusy: () => context.buffers.giveUpStalledBody(),
      hasRoomForSentAhead: (connections) => context.buffers.hasRoomForSentAhead(connections),
      onCutOff: (socket, reason) => this.#connectionCutOff(socket, reason),
      maxHeadBytes: () => this.#maxHeadBytes(),
      onHeadTooLarge: (socket) => this.#refuseMalformed(headTooLarge(), socket)
    })
    this.#server = createServer({ maxHeaderSize: MAX_HEAD_BYTES, connectionsCheckingInterval: CONNECTION_CHECK_PERIOD, requestTimeout: 0, noDelay: true }, (request, response) => {
      void this.#serve(request, response, false)
    })
    this.#server.on('connection', (socket) => this.#connections.add(socket))
    this.#server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => this.#refuseExpectation(request, response))
    this.#server.on('timeout', (socket) => { void this.#connections.closeExpired(socket, this.#server.headersTimeout) })
    context.fleetState.onChange(() => this.#applyLimits())
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => { void this.#refuseUnlessRead(error, socket) })
  }

  /** Number of requests that have no final answer yet. */
  get openRequests (): number {
    return this.#openRequests.size
  }

  /** @returns the number of requests that the end of the stop grace has ended, by how far they had come */
  cutOffByStage (): ReadonlyMap<RequestStage, number> {
    return this.#stop.cutOffByStage()
  }

  /**
   * @param address - address to listen at; port 0 selects a free port
   * @returns the port
   */
  async start ({ host, port }: SocketAddress): Promise<number> {
    this.#server.listen(port, host)
    await once(this.#server, 'listening')
    return (this.#server.address() as AddressInfo).port
  }

  /**
   * Accepts no more connections, and waits until requests in progress have finished.
   *
   * @param grace - time after which the requests without an answer are ended
   * @param writeOutTime - time after that in which the callers can read what they are told, before all connections are closed
   */
  async stop (grace: Millis, writeOutTime: Millis = WRITE_OUT_TIME): Promise<void> {
    this.#stop.begin(grace)
    for (const [response, { request, forwarding }] of this.#openRequests) {
      this.#connections.closeAfterLast(request.socket, response)
      forwarding?.nodeStopping()
    }
    const graceEnd = setTimeout(() => { void this.#endGrace(writeOutTime) }, grace)
    const closed = once(this.#server, 'close')
    await this.#queueAccepted()
    // http.Server.close() would also reset connections whose answer has ended but is not written to the socket yet.
    TcpServer.prototype.close.call(this.#server)
    await this.#closeIdle()
    const idleSweep = setInterval(() => { void this.#closeIdle() }, IDLE_SWEEP_PERIOD)
    await closed
    // The other nodes may not have heard of the stop yet when the last request is answered.
    do await sleep(Math.min(grace, RELAYED_CHECK_PERIOD))
    while (this.#openRequests.size > 0 && !this.#isClosed)
    clearInterval(idleSweep)
    clearTimeout(graceEnd)
  }

  /** Closes the connections without a request. One may have arrived while this process was held up. */
  async #closeIdle (): Promise<void> {
    await waitingInputRead()
    this.#connections.closeIdle()
  }

  /** Requests that have arrived may wait on connections that are not accepted yet; one is accepted in each turn of the event loop, while the grace lasts. */
  async #queueAccepted (): Promise<void> {
    let quietTurns = 0
    for (let turns = 0; turns < CONNECTION_QUEUE && quietTurns < QUIET_TURNS && this.#stop.timeLeft > 0; turns += 1) {
      const { acceptedCount } = this.#connections
      await waitingInputRead()
      quietTurns = this.#connections.acceptedCount === acceptedCount ? quietTurns + 1 : 0
    }
  }

  /** Ends all requests without an answer, and then closes all connections. What has arrived while this process was held up is read first. */
  async #endGrace (writeOutTime: Millis): Promise<void> {
    await waitingInputRead()
    for (const [response, open] of this.#openRequests) if (open.forwarding?.isOver !== true) this.#cutOff(open, response)
    await sleep(writeOutTime)
    this.#closeAll()
  }

  #cutOff (open: OpenRequest, response: ServerResponse): void {
    const { request, arrivedAt, forwarding } = open
    open.isCutOff = true
    this.#stop.cutOff(forwarding?.stage ?? RequestStage.Reading)
    if (forwarding !== null) {
      forwarding.breakOff()
      return
    }
    const { attemptId } = decodeCallerHeaders(request.headers)
    recordUnanswered(this.#context, { id: attemptId, stage: RequestStage.Reading, cause: CloseCause.StopGraceOver, problem: '', took: this.#context.clock() - arrivedAt })
    this.#refuse(request, response, RefusalCause.Stopping)
  }

  /** Closes all connections, also those on which an answer has not been read completely. */
  #closeAll (): void {
    this.#isClosed = true
    for (const { forwarding, isCutOff } of this.#openRequests.values()) {
      if (forwarding === null || isCutOff) continue
      this.#stop.cutOff(forwarding.stage)
      forwarding.recordUnread()
    }
    this.#server.closeAllConnections()
  }

  #applyLimits (): void {
    const limits = this.#context.fleetState.routeTable?.deployment.limits
    if (limits === undefined) return
    this.#server.keepAliveTimeout = limits.idleTimeout
    // Bytes that begin no request end the timeout above, in Node.js 20, and this one takes its place. It means nothing while a request is open.
    this.#server.timeout = limits.idleTimeout
    this.#server.headersTimeout = limits.headerTimeout
  }

  /** Serves a request that another node passes on for a caller, on a connection that this server does not listen to. */
  async serveRelayed (request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.setHeader(RELAY_HEADER, SERVER_ANSWER)
    await this.#serve(request, response, true)
  }

  async #serve (request: IncomingMessage, response: ServerResponse, isRelayed: boolean): Promise<void> {
    if (this.#connections.isRefused(request.socket)) {
      request.socket.destroy()
      return
    }
    const arrivedAt = this.#context.clock()
    const open: OpenRequest = { request, arrivedAt, forwarding: null, isCutOff: false }
    this.#openRequests.set(response, open)
    this.#connections.track(request, response)
    response.once('close', () => { this.#openRequests.delete(response) })
    if (this.#stop.isUnderWay) this.#connections.closeAfterLast(request.socket, response)
    try {
      const cause = await this.#forward(open, response, isRelayed)
      if (cause !== null) this.#refuse(request, response, cause)
    } catch (error) {
      this.#failInternally(request, response, error)
    }
  }

  /** An error of this node ends this request, and not the process with all others. It may have been sent, so that it gets no status. */
  #failInternally (request: IncomingMessage, response: ServerResponse, error: unknown): void {
    const { log, metrics } = this.#context
    log.error('request.failed_internally', { request: decodeCallerHeaders(request.headers).attemptId ?? undefined, reason: errorText(error) })
    metrics.errorContained(ErrorScope.Request)
    breakConnection(response)
  }

  /** @returns why the request is refused; null if it is being forwarded or the caller has disconnected */
  async #forward (open: OpenRequest, response: ServerResponse, isRelayed: boolean): Promise<RefusalCause | null> {
    const { request, arrivedAt } = open
    if (this.#connections.isClosing(request.socket)) return RefusalCause.Stopping
    const table = this.#context.fleetState.routeTable
    if (table === null) return RefusalCause.Starting
    this.#context.startTimes.reached(StartPhase.RequestAccepted)
    if ((this.#stop.after(arrivedAt) ?? 0) > ACCEPT_PERIOD_AFTER_STOP) return RefusalCause.Stopping
    const { buffers } = this.#context
    if (!buffers.openRequest(this.#openRequests.size, headSize(request), response)) return RefusalCause.NodeMemory
    const head = acceptHead(request, table, isRelayed)
    if (!head.ok) return head.failure
    if (!buffers.hasRoomForBody(Number(request.headers['content-length'] ?? 0))) return RefusalCause.NodeMemory
    const body = await readCallerBody(request, table.deployment.limits, timeAllowed(head.value), buffers.openBody(response), this.#context.readTurns)
    // The end of the stop grace may have refused it meanwhile: it must not be sent.
    if (body === null || response.destroyed || response.writableEnded) return null
    if (!body.ok) return body.failure
    const call = admit(request, head.value, body.value, table, arrivedAt)
    if (!call.ok) return call.failure
    if (isRelayed && this.#context.relay.checks.isUnreachable(call.value.service.name)) return RefusalCause.Unreachable
    if (this.#stop.isUnderWay && !this.#canAnswer(call.value)) return RefusalCause.Stopping
    open.forwarding = call.value.route.kind === CallKind.Stream
      ? new StreamForwarding(this.#context, call.value, response)
      : new PlainForwarding(this.#context, call.value, response)
    open.forwarding.start()
    return null
  }

  /** Returns whether a stopping node will still be there to answer a request that has just been read; another node can take it otherwise. */
  #canAnswer (call: AdmittedCall): boolean {
    const { clock, log, forecast } = this.#context
    const { id, route, service, arrivedAt, deadlineAt, isRelayed } = call
    const now = clock()
    const longest = forecast.longest(call)
    const isTaken = now <= this.#stop.latestStart(call, longest)
    log.info('request.read_after_stop', {
      request: id,
      route: route.name,
      service: service.name,
      head_after_ms: Math.round(this.#stop.after(arrivedAt) ?? 0),
      read_after_ms: Math.round(this.#stop.after(now) ?? 0),
      left_ms: Math.round(this.#stop.timeLeft),
      deadline_in_ms: Math.round(deadlineAt - now),
      longest_ms: longest === null ? undefined : Math.round(longest),
      taken: isTaken,
      relayed: isRelayed || undefined
    })
    return isTaken
  }

  #connectionCutOff (socket: Socket, reason: string): void {
    const { log, metrics } = this.#context
    metrics.callerCutOff()
    log.warn('caller.cut_off', { reason, bytes_read: socket.bytesRead, requests: this.#connections.requestCount(socket) })
  }

  /** Larger heads are refused before they are complete. */
  #maxHeadBytes (): number {
    const limits = this.#context.fleetState.routeTable?.deployment.limits
    return limits === undefined ? MAX_HEAD_BYTES : Math.min(MAX_HEAD_BYTES, limits.headerBytes + UNCOUNTED_HEAD_BYTES)
  }

  /** A body that is announced with an unknown expectation is not read. */
  #refuseExpectation (request: IncomingMessage, response: ServerResponse): void {
    this.#connections.track(request, response)
    response.writeHead(EXPECTATION_FAILED, { connection: 'close', 'content-length': 0 }).end()
  }

  /** A head that seems late may only wait to be read, because this process was held up. */
  async #refuseUnlessRead (error: NodeJS.ErrnoException, socket: Socket): Promise<void> {
    if (malformedCause(error) === RefusalCause.HeadTimeout) {
      const requests = this.#connections.requestCount(socket)
      await waitingInputRead()
      if (this.#connections.requestCount(socket) > requests) return
    }
    this.#refuseMalformed(error, socket)
  }

  #refuseMalformed (error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    const { log, metrics, fleetState } = this.#context
    const cause = malformedCause(error)
    const isKnown = this.#connections.isRefused(socket)
    const isAnswerable = this.#connections.refuse(socket)
    // A caller who has ended its connection waits for no answer.
    if (!isAnswerable && socket.readableEnded) socket.destroy()
    if (isKnown) return
    metrics.requestRefused(cause)
    log.info('request.refused', {
      cause, reason: error.message, bytes_read: socket.bytesRead, answered: isAnswerable, configuration: fleetState.configurationVersion, configuration_age_ms: Math.round(fleetState.configurationAge)
    })
    if (isAnswerable) answerMalformed(cause, socket)
  }

  #refuse (request: IncomingMessage, response: ServerResponse, cause: RefusalCause): void {
    const { log, metrics, fleetState, buffers } = this.#context
    metrics.requestRefused(cause)
    log.info('request.refused', {
      request: decodeCallerHeaders(request.headers).attemptId ?? undefined, cause, host: request.headers.host, path: request.url, configuration: fleetState.configurationVersion, configuration_age_ms: Math.round(fleetState.configurationAge), ...(cause === RefusalCause.NodeMemory ? { open_requests: this.#openRequests.size, ...buffers.describe() } : {})
    })
    if (!request.complete) this.#connections.closeAfterLast(request.socket, response)
    refuse(response, cause)
  }
}
