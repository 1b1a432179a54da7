/** Keeps the number of connections of a server bounded, in favour of new ones. */
import type { Socket } from 'node:net'

export interface ConnectionLimitOptions {
  /** Largest number of connections. */
  readonly limit: number
  /** Called when a connection is closed in favour of another one, or of those that are busy. */
  readonly onCutOff: (socket: Socket, reason: string) => void
  /** Makes a busy connection free, if it can, when all are busy. */
  readonly freeBusy: () => boolean
}

/** Closes connections without a request: first those that never had one, then those that have been idle for longest. */
export class ConnectionLimit {
  readonly #options: ConnectionLimitOptions
  readonly #all = new Set<Socket>()
  /** Connections that never had a request, the oldest first. */
  readonly #unused = new Set<Socket>()
  /** Other connections without a request, those first that have been idle for longest. */
  readonly #idle = new Set<Socket>()

  /** @param options - the limit, and what is done beyond it */
  constructor (options: ConnectionLimitOptions) {
    this.#options = options
  }

  /** Adds a connection until it is closed, and closes another one if there are too many. */
  add (socket: Socket): void {
    this.#all.add(socket)
    this.#unused.add(socket)
    socket.once('close', () => this.#remove(socket))
    if (this.#all.size > this.#options.limit) this.#makeRoom(socket)
  }

  /** A request has arrived. */
  began (socket: Socket): void {
    this.#unused.delete(socket)
    this.#idle.delete(socket)
  }

  /** No request of the connection is open any more. */
  becameIdle (socket: Socket): void {
    if (this.#all.has(socket)) this.#idle.add(socket)
  }

  #makeRoom (added: Socket): void {
    const { freeBusy, onCutOff } = this.#options
    const [oldest = added] = this.#unused
    const [idlest] = this.#idle
    const chosen = oldest === added ? idlest : oldest
    if (chosen === undefined && freeBusy()) return
    const closed = chosen ?? added
    onCutOff(closed, `more than ${this.#options.limit} connections`)
    this.#remove(closed)
    closed.resetAndDestroy()
  }

  #remove (socket: Socket): void {
    this.#all.delete(socket)
    this.#unused.delete(socket)
    this.#idle.delete(socket)
  }
}
