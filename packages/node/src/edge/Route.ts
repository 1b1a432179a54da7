/** One route of the caller interface. */
import type { IncomingMessage, ServerResponse } from 'node:http'

import type { AuthenticatedCaller } from './OrganisationDirectory.js'

/** A caller's request with what the edge already knows of it. */
export interface EdgeCall {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly path: string
  /** The path's query with its question mark, or an empty text. */
  readonly query: string
}

/** Answers the calls of one route. */
export abstract class Route {
  /** @returns whether the route answers this method and path */
  abstract matches (method: string, path: string): boolean

  /**
   * Answers a call.
   *
   * @throws RefusedCall where the call is refused before its admission
   */
  abstract handle (call: EdgeCall): Promise<void>
}

/** A route that only known organisations may call. */
export abstract class AuthenticatedRoute extends Route {
  readonly #authenticate: (request: IncomingMessage) => AuthenticatedCaller

  constructor (authenticate: (request: IncomingMessage) => AuthenticatedCaller) {
    super()
    this.#authenticate = authenticate
  }

  async handle (call: EdgeCall): Promise<void> {
    await this.handleFor(this.#authenticate(call.request), call)
  }

  /** Answers a call of an organisation. */
  protected abstract handleFor (caller: AuthenticatedCaller, call: EdgeCall): Promise<void>
}
