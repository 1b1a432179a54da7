/** Specification, events and effects of one request at its entry node. */
import type { Grant } from '../dispatch/types.js'
import type { AttemptId, Millis, NodeId, OrganisationId, Outcome, OutcomeKind, RequestId, RunnerId, Ran, Tokens } from '../types.js'

/** A request as it was admitted. */
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
  /** Whether the request may be sent again although an earlier attempt may have run it. Other requests fail in that case. */
  readonly idempotent: boolean
  readonly admittedAt: Millis
  readonly deadline: Millis
}

export type RequestEvent =
  | { readonly type: 'admitted' }
  | { readonly type: 'granted', readonly dispatcher: NodeId, readonly grant: Grant }
  | { readonly type: 'refused', readonly attempt: AttemptId, readonly kind: OutcomeKind, readonly retryAfter: Millis, readonly reason: string, readonly dispatcher?: NodeId }
  /** The dispatcher that was asked for a grant did not answer or cannot be reached. */
  | { readonly type: 'dispatcher_lost', readonly attempt: AttemptId, readonly dispatcher?: NodeId }
  /** A dispatcher asks to cancel the attempt and to request a new grant: another request needs the runner, or another dispatcher is faster. */
  | { readonly type: 'recalled', readonly attempt: AttemptId }
  /** The first byte of the attempt is about to be sent to the backend server. */
  | { readonly type: 'sending', readonly attempt: AttemptId }
  /** The backend server sent its last token, a finish reason and the end marker; `generated` counts from the attempt's first token. */
  | { readonly type: 'completed', readonly attempt: AttemptId, readonly generated: Tokens }
  /** The attempt failed; `started` is whether the server executed it, as the server reported or as the state of the connection shows. */
  | { readonly type: 'broken', readonly attempt: AttemptId, readonly started: Ran, readonly resumable: boolean, readonly reason: string, readonly retryAfter: Millis | null }
  | { readonly type: 'caller_gone' }
  | { readonly type: 'timer' }

export type RequestEffect =
  /** Ask a dispatcher for a grant. The code that carries out the effect chooses the dispatcher, preferably none of `avoid`. */
  | { readonly type: 'seek', readonly attempt: AttemptId, readonly excluded: readonly RunnerId[], readonly generated: Tokens, readonly remaining: Millis, readonly avoid: readonly NodeId[] }
  | { readonly type: 'send', readonly attempt: AttemptId, readonly grant: Grant, readonly dispatcher: NodeId, readonly mode: SendMode, readonly generated: Tokens }
  | { readonly type: 'cancel', readonly attempt: AttemptId, readonly runner: RunnerId | null, readonly dispatcher: NodeId | null, readonly reason: string }
  | { readonly type: 'finish', readonly outcome: Outcome }
  | { readonly type: 'set_timer', readonly at: Millis }

/** What an attempt sends to the backend server. */
export const SendMode = {
  /** Send the prompt as the caller sent it. */
  Fresh: 'fresh',
  /** Continue the same attempt on the same runner, from the offset at which its connection broke. */
  Resume: 'resume',
  /** Start a new attempt with the prompt followed by the tokens that the caller already has. */
  Continue: 'continue'
} as const
export type SendMode = typeof SendMode[keyof typeof SendMode]
