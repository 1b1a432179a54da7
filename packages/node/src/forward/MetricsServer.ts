/** Serves the Prometheus metrics of a node over HTTP. */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { once } from 'node:events'

import type { Registry } from 'prom-client'

import { limitConnections } from './limitConnections.js'

/** Path at which the metrics are served. */
export const METRICS_PATH = '/metrics'

/** More than those who collect metrics need. */
const BOUNDS = { connections: 32, headBytes: 16 * 1_024 }

/** Answers requests for `METRICS_PATH` with the metrics in the Prometheus text format. */
export class MetricsServer {
  readonly #server: Server

  /** @param registry - the metrics */
  constructor (registry: Registry) {
    this.#server = createServer((request, response) => {
      if (request.url !== METRICS_PATH) {
        response.writeHead(404).end()
        return
      }
      registry.metrics().then(
        (text) => response.writeHead(200, { 'content-type': registry.contentType }).end(text),
        (error: unknown) => response.writeHead(500).end(String(error))
      )
    })
    limitConnections(this.#server, BOUNDS)
  }

  async start (host: string, port: number): Promise<void> {
    this.#server.listen(port, host)
    await once(this.#server, 'listening')
  }

  dispose (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
