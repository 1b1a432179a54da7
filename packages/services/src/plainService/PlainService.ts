/** Interface of a plain service, an HTTP backend server without a model; requests are forwarded to it unchanged. */
import type { CallFailure } from '../errors.js'
import type { Millis } from '@bluebellhill/domain'
import type { Readable } from 'node:stream'
import type { Result } from '../result.js'

export interface ServiceCall {
  readonly method: string
  /** Path with query, beginning with `/`. */
  readonly path: string
  readonly headers: Record<string, string | string[]>
  readonly body?: string | Buffer | Uint8Array
  readonly signal?: AbortSignal
  /** Timeout for the response headers. */
  readonly timeout: Millis
  readonly idleTimeout?: Millis
  /** Called immediately before the first byte of the request is written. */
  readonly onSending?: () => void
}

/** Response of the service with any status, except a response which reports that the call did not start; that one is a failure. */
export interface ServiceResponse {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly body: Readable
}

export abstract class PlainService {
  /** `ip:port` of the service */
  abstract readonly address: string

  /**
   * Sends a call at most once.
   *
   * @param call - the request to forward
   * @returns the response; the failure `not_started` if the service reported that it did not start the call
   */
  abstract call (call: ServiceCall): Promise<Result<ServiceResponse, CallFailure>>

  /** @returns whether the service responds to its health check with a status below 500 */
  abstract isHealthy (): Promise<boolean>
}
