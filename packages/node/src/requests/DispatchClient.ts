/** Takes a request's orders to dispatchers and reports the progress of attempts to them. */
import type { AttemptId, DispatchOrder, Grant, Millis, NodeId, OutcomeKind, ProgressKind, RunnerId, Tokens } from '@bluebellhill/domain'

/** What became of an order. */
export type OrderResult =
  | { readonly type: 'granted', readonly dispatcher: NodeId, readonly grant: Grant, readonly address: string, readonly groupAddresses: readonly string[] }
  | { readonly type: 'refused', readonly kind: OutcomeKind, readonly retryAfter: Millis, readonly reason: string, readonly dispatcher: NodeId | null }
  | { readonly type: 'lost', readonly dispatcher: NodeId, readonly reason: string }

/** A report on one attempt. */
export interface AttemptProgress {
  readonly attempt: AttemptId
  readonly runner: RunnerId
  readonly kind: ProgressKind
  readonly generated: Tokens
  readonly order: DispatchOrder
}

/** The way to the dispatchers. */
export abstract class DispatchClient {
  /**
   * Asks a dispatcher for a grant.
   *
   * @param order - what is to be placed
   * @param avoid - dispatchers that just failed
   * @param signal - aborted to withdraw the order
   * @returns the result; never rejects
   */
  abstract acquire (order: DispatchOrder, avoid: readonly NodeId[], signal: AbortSignal): Promise<OrderResult>

  /**
   * Reports on an attempt to the node that dispatches its runner now.
   *
   * @returns whether the attempt has to make way
   */
  abstract report (progress: AttemptProgress): Promise<boolean>
}
