/** Tracks the connections of callers, so that a stopping node closes only those on which nothing is left to receive or send. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

import type { Millis } from '@bluebellhill/domain'

import { waitingInputRead } from '../../clock/inputTurn.js'
import { ConnectionLimit } from '../ConnectionLimit.js'
import { RequestFeed } from './RequestFeed.js'

/** Time in which a caller can read why its connection is refused, before the connection is closed. */
const REFUSED_CLOSE_DELAY: Millis = 1_000

/** Time for which a stopping node keeps a connection open that was just accepted: its first request is on its way. */
const FIRST_REQUEST_PERIOD: Millis = 1_000

/** Requests that a connection may have open before its further ones wait. */
export const MAX_PIPELINED = 2

interface CallerConnection {
  readonly openedAt: Millis
  readonly feed: RequestFeed
  /** Responses that are not written to the operating system completely. */
  readonly openResponses: Set<ServerResponse>
  /** Requests whose head has been read. */
  requestCount: number
  /** Bytes that had been read when the last request was answered, without those that belong to the next one. */
  bytesAnswered: number
  /** Whether bytes have arrived that are no request, or a head that took too long: nothing more is accepted. */
  isRefused: boolean
  /** Whether its idle time was over when a part of a request had arrived. */
  hasExpired: boolean
}

export interface CallerConnectionsOptions {
  /** Monotonic clock. */
  readonly clock: () => Millis
  /** Returns whether requests may wait on so many connections that callers have sent ahead. */
  readonly hasRoomForSentAhead: (connections: number) => boolean
  /** Largest number of connections. */
  readonly limit: number
  /** Frees a connection whose request has not arrived completely, if there is one that stands still. */
  readonly freeBusy: () => boolean
  /** Called when a connection is closed in favour of others. */
  readonly onCutOff: (socket: Socket, reason: string) => void
  /** Returns the largest request head in bytes. */
  readonly maxHeadBytes: () => number
  /** Called when an incomplete head is larger than that. */
  readonly onHeadTooLarge: (socket: Socket) => void
}

/** Open connections of callers, with the number of responses that are not written completely. */
export class CallerConnections {
  readonly #connections = new Map<Socket, CallerConnection>()
  readonly #options: CallerConnectionsOptions
  readonly #limit: ConnectionLimit
  /** Connections on which requests wait that were sent ahead, in the order in which that began. */
  readonly #sentAhead = new Set<Socket>()
  #acceptedCount = 0

  /** @param options - clock, and limit of a request head */
  constructor (options: CallerConnectionsOptions) {
    this.#options = options
    this.#limit = new ConnectionLimit(options)
  }

  /** Number of connections that were ever added. */
  get acceptedCount (): number {
    return this.#acceptedCount
  }

  /** Adds a connection until it is closed. */
  add (socket: Socket): void {
    this.#acceptedCount += 1
    const connection: CallerConnection = { openedAt: this.#options.clock(), feed: this.#createFeed(socket), openResponses: new Set(), requestCount: 0, bytesAnswered: 0, isRefused: false, hasExpired: false }
    this.#connections.set(socket, connection)
    socket.once('close', () => this.#closed(socket))
    this.#limit.add(socket)
  }

  #createFeed (socket: Socket): RequestFeed {
    const { maxHeadBytes, onHeadTooLarge } = this.#options
    const openCount = (): number => this.#connections.get(socket)?.openResponses.size ?? 0
    return new RequestFeed({
      socket,
      mayBegin: () => openCount() <= MAX_PIPELINED,
      isQuiet: () => openCount() === 0,
      isRefused: () => this.isRefused(socket),
      onSentAhead: () => this.#sentAheadOn(socket),
      maxHeadBytes,
      onHeadTooLarge: () => onHeadTooLarge(socket)
    })
  }

  /**
   * Marks the connection of a request as busy until the response is written to the operating system. While a connection is busy with several requests,
   * its further ones wait.
   *
   * @param request - the request, whose head has just been read
   * @param response - its response
   */
  track (request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request
    const connection = this.#connections.get(socket)
    if (connection === undefined) return
    connection.openResponses.add(response)
    this.#limit.began(socket)
    connection.requestCount += 1
    connection.feed.requestBegun(request)
    response.once('close', () => {
      const { feed } = connection
      connection.openResponses.delete(response)
      connection.bytesAnswered = socket.bytesRead - feed.pendingBytes
      connection.hasExpired = false
      if (connection.openResponses.size === 0) this.#limit.becameIdle(socket)
      // The other connections get their turn before the next request of this one.
      if (feed.pendingBytes > 0) setImmediate(() => this.#feed(socket, feed))
    })
  }

  #feed (socket: Socket, feed: RequestFeed): void {
    feed.feed()
    if (!feed.isSentAhead) this.#sentAhead.delete(socket)
  }

  /** What waits takes memory, and the operating system receives more of it: too many such connections are closed, the oldest first. */
  #sentAheadOn (socket: Socket): void {
    const { hasRoomForSentAhead, onCutOff } = this.#options
    this.#sentAhead.add(socket)
    if (hasRoomForSentAhead(this.#sentAhead.size)) return
    const [oldest = socket] = this.#sentAhead
    this.#sentAhead.delete(oldest)
    onCutOff(oldest, 'requests wait on too many connections that were sent ahead')
    oldest.resetAndDestroy()
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
   * @returns the number of requests whose head has been read on it
   */
  requestCount (socket: Socket): number {
    return this.#connections.get(socket)?.requestCount ?? 0
  }

  /** The response to a request that came before the last one was answered has no socket yet, and would never learn that the connection is closed. */
  #closed (socket: Socket): void {
    const waiting = [...this.#connections.get(socket)?.openResponses ?? []].filter((response) => response.socket === null)
    this.#connections.delete(socket)
    this.#sentAhead.delete(socket)
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
    const now = this.#options.clock()
    for (const [socket, connection] of this.#connections) {
      const awaitsFirst = connection.bytesAnswered === 0 && now - connection.openedAt < FIRST_REQUEST_PERIOD
      if (isIdle(socket, connection) && !awaitsFirst) socket.destroy()
    }
  }
}

const isIdle = (socket: Socket, { openResponses, bytesAnswered }: CallerConnection): boolean =>
  openResponses.size === 0 && socket.bytesRead === bytesAnswered
