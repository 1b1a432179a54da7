/** Types of the small HTTP layer that all stand-ins share. */
import type { IncomingMessage, ServerResponse } from 'node:http'

/** One received request. */
export interface Exchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly url: URL
}

export type Handler = (exchange: Exchange) => void | Promise<void>

/** Handlers by `METHOD /path`; `*` takes what no other entry takes. */
export type Routes = Readonly<Record<string, Handler>>
