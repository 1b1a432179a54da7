/** Serves the platform's readiness check: whether this node accepts callers. */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { once } from 'node:events'

import { READINESS_PATH } from '@bluebellhill/platform'
import type { SocketAddress } from '@bluebellhill/platform'

import { limitConnections } from '../limitConnections.js'

/** More than the platform needs. */
const BOUNDS = { connections: 32, headBytes: 16 * 1_024 }

/** Answers `READINESS_PATH` with 200 if the node accepts callers, else with 503. */
export class ReadinessServer {
  readonly #server: Server

  /** @param isReady - returns whether the node accepts callers */
  constructor (isReady: () => boolean) {
    this.#server = createServer((request, response) => {
      const status = request.url !== READINESS_PATH ? 404 : isReady() ? 200 : 503
      response.writeHead(status, { 'content-length': 0 })
      response.end()
    })
    limitConnections(this.#server, BOUNDS)
  }

  async start ({ host, port }: SocketAddress): Promise<void> {
    this.#server.listen(port, host)
    await once(this.#server, 'listening')
  }

  dispose (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
