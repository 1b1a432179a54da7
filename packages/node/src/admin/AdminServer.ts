/** The HTTP server for operators and the command line. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { listen } from '../edge/listen.js'
import { writeJson } from '../edge/response.js'
import { QueryError } from '../timeline/index.js'

/** One call of the admin interface. */
export interface AdminCall {
  readonly query: URLSearchParams
}

/** One endpoint of the admin interface. */
export interface AdminEndpoint {
  readonly method: string
  readonly path: string
  /** @returns what is written as JSON */
  readonly answer: (call: AdminCall) => object | Promise<object>
}

const BASE = 'http://admin'

/** Answers the admin endpoints. */
export class AdminServer {
  readonly #server: Server
  readonly #endpoints: readonly AdminEndpoint[]

  constructor (endpoints: readonly AdminEndpoint[]) {
    this.#endpoints = endpoints
    this.#server = createServer((request, response) => { void this.#handle(request, response) })
  }

  /**
   * Starts to listen.
   *
   * @param address - `ip:port`; port 0 takes a free one
   * @returns the address in use
   */
  async listen (address: string): Promise<string> {
    return await listen(this.#server, address)
  }

  dispose (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const url = new URL(request.url ?? '/', BASE)
      const endpoint = this.#endpoints.find((each) => each.method === request.method && each.path === url.pathname)
      if (endpoint === undefined) return writeJson(response, 404, { error: { message: 'no such admin endpoint' } })
      writeJson(response, 200, await endpoint.answer({ query: url.searchParams }))
    } catch (error) {
      const message = error instanceof Error ? error.message : 'unknown error'
      writeJson(response, error instanceof QueryError ? 400 : 500, { error: { message } })
    }
  }
}
