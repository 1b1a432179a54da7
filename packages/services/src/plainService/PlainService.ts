/** A plain service that requests are routed to as they are. */
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
  /** Time until the head of the answer. */
  readonly timeout: Millis
  readonly idleTimeout?: Millis
  /** Runs right before the first byte leaves. */
  readonly onSending?: () => void
}

/** Any answer of the service, whatever its status, but for its word that the call did not start. */
export interface ServiceResponse {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly body: Readable
}

export abstract class PlainService {
  /** `ip:port` */
  abstract readonly address: string

  /**
   * Sends a call, at most once.
   *
   * @param call - what to send
   * @returns the service's answer; `not_started` where the service said that the call did not start
   */
  abstract call (call: ServiceCall): Promise<Result<ServiceResponse, CallFailure>>

  /** @returns whether the service accepts a connection and answers */
  abstract isHealthy (): Promise<boolean>
}
