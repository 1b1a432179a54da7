/** HTTP server for operators and the command line. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { listen } from '../edge/listen.js'
import type { DaemonFacade } from './DaemonFacade.js'
import { answerAdminRequest, errorAnswer } from './adminRoutes.js'
import type { AdminAnswer } from './adminRoutes.js'

/** Maximum time until the headers of a request are received. */
const HEADERS_TIMEOUT_MS = 5_000

/** Serves the admin address of a node. */
export class AdminServer {
  readonly #server: Server
  readonly #daemon: DaemonFacade
  readonly #secrets: readonly string[]

  /**
   * @param daemon - the daemon that is reported on and drained
   * @param secrets - the accepted admin secrets; empty if the address needs none
   */
  constructor (daemon: DaemonFacade, secrets: readonly string[]) {
    this.#daemon = daemon
    this.#secrets = secrets
    this.#server = createServer({ headersTimeout: HEADERS_TIMEOUT_MS }, (request, response) => { void this.#handle(request, response) })
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

  dispose (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.on('error', () => {})
    // admin requests have no body, so whatever is sent is discarded
    request.resume()
    const answer = await this.#answer(request)
    response.writeHead(answer.status, { ...answer.headers, 'content-length': Buffer.byteLength(answer.body) })
    response.end(answer.body)
  }

  async #answer (request: IncomingMessage): Promise<AdminAnswer> {
    const call = { method: request.method ?? 'GET', url: request.url ?? '/', authorization: request.headers.authorization }
    try {
      return await answerAdminRequest(this.#daemon, call, this.#secrets)
    } catch (error) {
      return errorAnswer(500, error instanceof Error ? error.message : 'unknown error')
    }
  }
}
