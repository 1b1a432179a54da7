/** Bounds what the connections of a server take that is not there for callers. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

import { ConnectionLimit } from './ConnectionLimit.js'
import { RequestFeed } from './entry/RequestFeed.js'

export interface ConnectionBounds {
  /** Largest number of connections. */
  readonly connections: number
  /** Largest request head in bytes. */
  readonly headBytes: number
}

/**
 * Keeps the number of connections bounded, in favour of new ones, and reads one request of each at a time. If all have a request, the oldest is closed.
 *
 * @param server - the server, before it listens
 * @param bounds - what its connections may take
 */
export const limitConnections = (server: Server, { connections, headBytes }: ConnectionBounds): void => {
  const feeds = new WeakMap<Socket, RequestFeed>()
  const busy = new Set<Socket>()
  const freeBusy = (): boolean => {
    const [oldest] = busy
    oldest?.resetAndDestroy()
    return oldest !== undefined
  }
  const limit = new ConnectionLimit({ limit: connections, onCutOff: () => {}, freeBusy })
  server.on('connection', (socket: Socket) => {
    const isQuiet = (): boolean => !busy.has(socket)
    feeds.set(socket, new RequestFeed({ socket, mayBegin: isQuiet, isQuiet, isRefused: () => false, onSentAhead: () => {}, maxHeadBytes: () => headBytes, onHeadTooLarge: () => socket.destroy() }))
    limit.add(socket)
  })
  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request
    const feed = feeds.get(socket)
    busy.add(socket)
    limit.began(socket)
    feed?.requestBegun(request)
    response.once('close', () => {
      busy.delete(socket)
      limit.becameIdle(socket)
      setImmediate(() => feed?.feed())
    })
  })
}
