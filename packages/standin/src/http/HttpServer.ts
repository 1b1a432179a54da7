/** An HTTP/1.1 server on a loopback address that can be taken down and brought back on the same port. */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

import type { Disposable } from '../Disposables.js'
import { sendJson } from './messages.js'
import type { Exchange, Routes } from './types.js'

const KEEP_ALIVE_MS = 120_000
const BACKLOG = 1_024

/** Serves a route table; owns its connections. */
export class HttpServer implements Disposable {
  private readonly sockets = new Set<Socket>()
  private server: Server | null = null
  private port = 0
  private reopening: NodeJS.Timeout | null = null

  /**
   * @param host - IP address to listen on
   * @param routes - handlers by `METHOD /path`
   */
  constructor (private readonly host: string, private readonly routes: Routes) {}

  /** `ip:port` of the listener. */
  get address (): string {
    return `${this.host}:${this.port}`
  }

  /**
   * Starts to listen.
   *
   * @param port - 0 for any free one
   * @returns the address, `ip:port`
   * @throws when the port is taken
   */
  async listen (port: number): Promise<string> {
    const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0, headersTimeout: 0 })
    server.on('request', (request, response) => { void this.serve({ request, response, url: new URL(request.url ?? '/', 'http://standin') }) })
    server.on('connection', (socket) => this.track(socket))
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen({ port, host: this.host, backlog: BACKLOG }, resolve)
    })
    this.server = server
    this.port = (server.address() as AddressInfo).port
    return this.address
  }

  /**
   * Refuses connections and cuts the open ones, then listens again on the same port.
   *
   * @param forMs - how long to be away, in milliseconds
   */
  goDown (forMs: number): void {
    if (this.reopening) return
    this.close()
    this.reopening = setTimeout(() => {
      this.reopening = null
      void this.listen(this.port)
    }, forMs)
  }

  /** Cuts every open connection. */
  cutConnections (): void {
    for (const socket of this.sockets) socket.destroy()
  }

  dispose (): void {
    if (this.reopening) clearTimeout(this.reopening)
    this.close()
  }

  private close (): void {
    this.server?.close()
    this.server = null
    this.cutConnections()
  }

  private track (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('error', () => socket.destroy())
  }

  private async serve (exchange: Exchange): Promise<void> {
    const { request, response, url } = exchange
    const handler = this.routes[`${request.method} ${url.pathname}`] ?? this.routes['*']
    response.on('error', () => response.destroy())
    if (!handler) {
      sendJson(response, 404, { error: { code: 'unknown_route' } })
      return
    }
    try {
      await handler(exchange)
    } catch (error) {
      if (response.headersSent) response.destroy()
      else sendJson(response, 400, { error: { code: 'bad_request', message: String(error) } })
    }
  }
}
