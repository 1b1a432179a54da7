/** Interface through which a request gets grants from dispatchers and reports the progress of its attempts to them. */
import type { AttemptId, DispatchOrder, Grant, Millis, NodeId, OutcomeKind, ProgressKind, RunnerId, Tokens } from '@bluebellhill/domain'

/**
 * Result of a dispatch order, which is an entry node's request to a dispatcher for a runner.
 *
 * `lost` means that the dispatcher could not be reached or did not answer.
 */
export type OrderResult =
  | { readonly type: 'granted', readonly dispatcher: NodeId, readonly grant: Grant, readonly address: string, readonly groupAddresses: readonly string[] }
  | { readonly type: 'refused', readonly kind: OutcomeKind, readonly retryAfter: Millis, readonly reason: string, readonly dispatcher: NodeId | null }
  | { readonly type: 'lost', readonly dispatcher: NodeId, readonly reason: string }

/** Progress report on one attempt. */
export interface AttemptProgress {
  readonly attempt: AttemptId
  readonly runner: RunnerId
  readonly kind: ProgressKind
  readonly generated: Tokens
  readonly order: DispatchOrder
}

/** Acquires grants from dispatchers and reports the progress of attempts. */
export abstract class DispatchClient {
  /**
   * Asks a dispatcher for a grant.
   *
   * @param order - the dispatch order
   * @param avoid - dispatchers that refused this request or did not answer; chosen only if there is no other
   * @param signal - withdraws the order when aborted
   * @returns the result; the promise never rejects
   */
  abstract acquire (order: DispatchOrder, avoid: readonly NodeId[], signal: AbortSignal): Promise<OrderResult>

  /**
   * Reports the progress of an attempt to the node that currently dispatches for its runner.
   *
   * @returns whether the dispatcher recalls the attempt, which must then give up its runner
   */
  abstract report (progress: AttemptProgress): Promise<boolean>
}
