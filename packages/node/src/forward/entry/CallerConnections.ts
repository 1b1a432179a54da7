/** Tracks the connections of callers, so that a stopping node closes only those on which nothing is left to receive or send. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

import type { Millis } from '@bluebellhill/domain'

import { waitingInputRead } from '../../clock/inputTurn.js'

/** Time in which a caller can read why its connection is refused, before the connection is closed. */
const REFUSED_CLOSE_DELAY: Millis = 1_000

/** Time for which a stopping node keeps a connection open that was just accepted: its first request is on its way. */
const FIRST_REQUEST_PERIOD: Millis = 1_000

/** Requests that a connection may have open before its further ones stay unread. */
export const MAX_PIPELINED = 32

interface CallerConnection {
  readonly openedAt: Millis
  /** Responses that are not written to the operating system completely. */
  readonly openResponses: Set<ServerResponse>
  /** Requests whose head has been read. */
  requestCount: number
  /** Value of `socket.bytesRead` when the last request was answered; further bytes belong to the next request. */
  bytesAnswered: number
  /** Whether bytes have arrived that are no request, or a head that took too long: nothing more is accepted. */
  isRefused: boolean
  /** Whether its idle time was over when a part of a request had arrived. */
  hasExpired: boolean
  /** Whether nothing is read from it, because it has too many open requests. */
  isHeld: boolean
  /** Value of `socket.bytesRead` when it was last held; null if it never was. */
  bytesHeld: number | null
}

/** Open connections of callers, with the number of responses that are not written completely. */
export class CallerConnections {
  readonly #connections = new Map<Socket, CallerConnection>()
  #acceptedCount = 0

  /** @param clock - monotonic clock */
  constructor (private readonly clock: () => Millis) {}

  /** Number of connections that were ever added. */
  get acceptedCount (): number {
    return this.#acceptedCount
  }

  /** Adds a connection until it is closed. */
  add (socket: Socket): void {
    this.#acceptedCount += 1
    const connection: CallerConnection = { openedAt: this.clock(), openResponses: new Set(), requestCount: 0, bytesAnswered: 0, isRefused: false, hasExpired: false, isHeld: false, bytesHeld: null }
    this.#connections.set(socket, connection)
    // The HTTP server resumes a connection whenever it reads the body of a request.
    socket.on('resume', () => { if (connection.isHeld) socket.pause() })
    socket.once('close', () => this.#closed(socket))
  }

  /**
   * Marks the connection of a response as busy until the response is written to the operating system. A connection with many busy responses
   * is held: nothing more is read from it until some of them are written.
   *
   * @param socket - connection of the request
   * @param response - its response
   */
  track (socket: Socket, response: ServerResponse): void {
    const connection = this.#connections.get(socket)
    if (connection === undefined) return
    connection.openResponses.add(response)
    connection.requestCount += 1
    if (connection.openResponses.size > MAX_PIPELINED) hold(socket, connection)
    response.once('close', () => {
      connection.openResponses.delete(response)
      connection.bytesAnswered = socket.bytesRead
      connection.hasExpired = false
      if (connection.openResponses.size <= MAX_PIPELINED) release(socket, connection)
    })
  }

  /**
   * Announces that a connection closes after its last open response, so that the caller opens another one for its next request. Those before it
   * keep the connection: Node.js closes it behind the first answer that announces its end, and further ones would be lost.
   *
   * @param socket - the connection
   * @param response - a response of it, which is the only one if the connection was not added
   */
  closeAfterLast (socket: Socket, response: ServerResponse): void {
    const open = [...this.#connections.get(socket)?.openResponses ?? [response]].filter(({ headersSent }) => !headersSent)
    const last = open.pop()
    for (const earlier of open) earlier.removeHeader('connection')
    last?.setHeader('connection', 'close')
  }

  /**
   * @param socket - a connection
   * @returns whether an answer in progress has announced that it closes, so that no later one reaches the caller
   */
  isClosing (socket: Socket): boolean {
    const open = this.#connections.get(socket)?.openResponses ?? []
    return [...open].some((response) => response.headersSent && response.getHeader('connection') === 'close')
  }

  /**
   * @param socket - a connection
   * @returns whether nothing was read from it since it was held: a request whose head is not complete is not late then
   */
  isUnread (socket: Socket): boolean {
    const connection = this.#connections.get(socket)
    return connection !== undefined && (connection.isHeld || connection.bytesHeld === socket.bytesRead)
  }

  /**
   * @param socket - a connection
   * @returns the number of requests whose head has been read on it
   */
  requestCount (socket: Socket): number {
    return this.#connections.get(socket)?.requestCount ?? 0
  }

  /** The response to a request that came before the last one was answered has no socket yet, and would never learn that the connection is closed. */
  #closed (socket: Socket): void {
    const waiting = [...this.#connections.get(socket)?.openResponses ?? []].filter((response) => response.socket === null)
    this.#connections.delete(socket)
    for (const response of waiting) {
      response.destroy()
      response.emit('close')
    }
  }

  /**
   * Accepts no more requests on a connection, and closes it some time after its answer.
   *
   * @param socket - the connection
   * @returns whether the connection can be told why: not if that was done before, or if an answer is being sent
   */
  refuse (socket: Socket): boolean {
    const connection = this.#connections.get(socket)
    if (connection === undefined || connection.isRefused) return false
    connection.isRefused = true
    if (connection.openResponses.size > 0) return false
    const timer = setTimeout(() => socket.destroy(), REFUSED_CLOSE_DELAY)
    socket.once('close', () => clearTimeout(timer))
    return true
  }

  /**
   * @param socket - a connection
   * @returns whether no more requests are accepted on it
   */
  isRefused (socket: Socket): boolean {
    return this.#connections.get(socket)?.isRefused === true
  }

  /**
   * Closes an idle connection whose time is over, unless a request has arrived that waits to be read.
   *
   * @param socket - the connection
   * @param headTimeout - time in which a request has to begin of which bytes have arrived
   */
  async closeExpired (socket: Socket, headTimeout: Millis): Promise<void> {
    await waitingInputRead()
    const connection = this.#connections.get(socket)
    if (connection === undefined || connection.openResponses.size > 0) return
    if (isIdle(socket, connection) || connection.hasExpired) {
      socket.destroy()
      return
    }
    connection.hasExpired = true
    socket.setTimeout(headTimeout)
  }

  /** Closes the connections that have no open response and receive no request, except those that were just accepted. */
  closeIdle (): void {
    const now = this.clock()
    for (const [socket, connection] of this.#connections) {
      const awaitsFirst = connection.bytesAnswered === 0 && now - connection.openedAt < FIRST_REQUEST_PERIOD
      if (isIdle(socket, connection) && !awaitsFirst) socket.destroy()
    }
  }
}

const isIdle = (socket: Socket, { openResponses, bytesAnswered }: CallerConnection): boolean =>
  openResponses.size === 0 && socket.bytesRead === bytesAnswered

/** The requests that were read together with the last one are taken before the connection is paused. */
const hold = (socket: Socket, connection: CallerConnection): void => {
  if (connection.isHeld) return
  connection.isHeld = true
  process.nextTick(() => { if (connection.isHeld) socket.pause() })
}

const release = (socket: Socket, connection: CallerConnection): void => {
  if (!connection.isHeld) return
  connection.isHeld = false
  connection.bytesHeld = socket.bytesRead
  if (!socket.destroyed) socket.resume()
}
