/** Base classes of the HTTP routes for callers. */
import type { IncomingMessage, ServerResponse } from 'node:http'

import type { AuthenticatedCaller } from './OrganisationDirectory.js'

/** An HTTP request of a caller with its response and its parsed target. */
export interface EdgeCall {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly path: string
  /** The query string with its question mark, or an empty string. */
  readonly query: string
}

/** Answers the calls of one route. */
export abstract class Route {
  /** @returns whether the route answers this method and path */
  abstract matches (method: string, path: string): boolean

  /**
   * Answers a call.
   *
   * @throws RefusedCall if the call is refused before its admission
   */
  abstract handle (call: EdgeCall): Promise<void>
}

/** A route that requires a valid API key. */
export abstract class AuthenticatedRoute extends Route {
  readonly #authenticate: (request: IncomingMessage) => AuthenticatedCaller

  constructor (authenticate: (request: IncomingMessage) => AuthenticatedCaller) {
    super()
    this.#authenticate = authenticate
  }

  async handle (call: EdgeCall): Promise<void> {
    await this.handleFor(this.#authenticate(call.request), call)
  }

  /** Answers a call whose API key is valid. */
  protected abstract handleFor (caller: AuthenticatedCaller, call: EdgeCall): Promise<void>
}
