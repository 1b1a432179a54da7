/** Why a call to an outside system failed, and what is known about its execution there. */
import { assertNever, Ran } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'

export type CallFailure =
  /** No byte of the call left: connection refused, reset or timed out before the request was written. */
  | { readonly type: 'not_sent', readonly reason: string }
  /** The server said that it did not start the call. */
  | { readonly type: 'not_started', readonly status: number, readonly code: string, readonly retryAfter: Millis | null, readonly reason: string }
  /** Bytes left, and the connection broke or the time ran out before an answer. */
  | { readonly type: 'interrupted', readonly reason: string }
  /** The server answered with an error and did not say whether the call started. */
  | { readonly type: 'rejected', readonly status: number, readonly code: string, readonly retryAfter: Millis | null, readonly reason: string }
  /** The server answered with something that the protocol does not allow. */
  | { readonly type: 'malformed', readonly reason: string }

/**
 * Derives whether the call was executed.
 *
 * @param failure - how the call failed
 * @returns `no` only where no byte left or the server said that it did not start
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
 * Describes a failure in one line, for logs and the time line.
 *
 * @param failure - how the call failed
 * @returns the kind and the reason; never a request's or an answer's content
 */
export const describeFailure = (failure: CallFailure): string => `${failure.type}: ${failure.reason}`
