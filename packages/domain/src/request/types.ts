/** Events and effects of one request at the entry node that owns it. */
import type { Grant } from '../dispatch/types.js'
import type { AttemptId, Millis, NodeId, OrganisationId, Outcome, OutcomeKind, RequestId, RunnerId, Ran, Tokens } from '../types.js'

/** What is known of a request when it is admitted. */
export interface RequestSpec {
  readonly id: RequestId
  readonly organisation: OrganisationId
  readonly template: string
  readonly model: string
  readonly version: string | null
  readonly adapter: string | null
  readonly urgency: number
  readonly promptTokens: Tokens
  readonly maxTokens: Tokens
  readonly prefix: readonly string[]
  /** A call that is not idempotent is never sent again once bytes have left. */
  readonly idempotent: boolean
  readonly admittedAt: Millis
  readonly deadline: Millis
}

export type RequestEvent =
  | { readonly type: 'admitted' }
  | { readonly type: 'granted', readonly dispatcher: NodeId, readonly grant: Grant }
  | { readonly type: 'refused', readonly attempt: AttemptId, readonly kind: OutcomeKind, readonly retryAfter: Millis, readonly reason: string, readonly dispatcher?: NodeId }
  /** The dispatcher did not answer or cannot be reached. */
  | { readonly type: 'dispatcher_lost', readonly attempt: AttemptId, readonly dispatcher?: NodeId }
  | { readonly type: 'recalled', readonly attempt: AttemptId }
  /** The first byte of the attempt is about to leave for the backend server. */
  | { readonly type: 'sending', readonly attempt: AttemptId }
  /** The backend server sent the last token with a finish reason and the end mark; `generated` counts from the attempt's first token. */
  | { readonly type: 'completed', readonly attempt: AttemptId, readonly generated: Tokens }
  /** The attempt broke; `started` is what the server said or what the connection shows. */
  | { readonly type: 'broken', readonly attempt: AttemptId, readonly started: Ran, readonly resumable: boolean, readonly reason: string, readonly retryAfter: Millis | null }
  | { readonly type: 'caller_gone' }
  | { readonly type: 'timer' }

export type RequestEffect =
  /** Ask a dispatcher for a grant; the caller of the aggregate chooses which. */
  | { readonly type: 'seek', readonly attempt: AttemptId, readonly excluded: readonly RunnerId[], readonly generated: Tokens, readonly remaining: Millis, readonly avoid: readonly NodeId[] }
  | { readonly type: 'send', readonly attempt: AttemptId, readonly grant: Grant, readonly dispatcher: NodeId, readonly mode: SendMode, readonly generated: Tokens }
  | { readonly type: 'cancel', readonly attempt: AttemptId, readonly runner: RunnerId | null, readonly dispatcher: NodeId | null, readonly reason: string }
  | { readonly type: 'finish', readonly outcome: Outcome }
  | { readonly type: 'set_timer', readonly at: Millis }

export const SendMode = {
  /** The prompt as the caller sent it. */
  Fresh: 'fresh',
  /** The same attempt on the same runner, from the offset where its connection broke. */
  Resume: 'resume',
  /** Another runner: the prompt followed by the tokens already sent to the caller. */
  Continue: 'continue'
} as const
export type SendMode = typeof SendMode[keyof typeof SendMode]
