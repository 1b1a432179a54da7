/** Failures of calls to other systems, with whether the system may have executed the call. */
import { assertNever, Ran } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'

export type CallFailure =
  /** No byte of the request was sent: the connection was refused, was reset, or timed out before the request was written. */
  | { readonly type: 'not_sent', readonly reason: string }
  /** The server reported that it did not start the call. */
  | { readonly type: 'not_started', readonly status: number, readonly code: string, readonly retryAfter: Millis | null, readonly reason: string }
  /** Bytes were sent, and the connection broke or a timeout expired before a response arrived. */
  | { readonly type: 'interrupted', readonly reason: string }
  /** The server returned an error without reporting whether the call started. */
  | { readonly type: 'rejected', readonly status: number, readonly code: string, readonly retryAfter: Millis | null, readonly reason: string }
  /** The server returned a response that violates the protocol. */
  | { readonly type: 'malformed', readonly reason: string }

/**
 * Derives from a failure whether the server executed the call.
 *
 * @param failure - how the call failed
 * @returns `no` only if no byte was sent or the server reported that it did not start the call
 */
export const deriveRan = (failure: CallFailure): Ran => {
  switch (failure.type) {
    case 'not_sent':
    case 'not_started':
      return Ran.No
    case 'interrupted':
    case 'rejected':
    case 'malformed':
      return Ran.Unknown
    default:
      return assertNever(failure)
  }
}

/**
 * Describes a failure in one line for logs and the time line of a request.
 *
 * @param failure - how the call failed
 * @returns the failure type and the reason, without any content of the request or the response
 */
export const describeFailure = (failure: CallFailure): string => `${failure.type}: ${failure.reason}`
