/** Events and effects of the dispatcher: the account of one node's runners and the queue before them. */
import type { AttemptId, FailureDomain, Millis, NodeId, OrganisationId, OutcomeKind, RequestId, RunnerId, Tokens } from '../types.js'

/** What a dispatcher has to know of a request to place it. */
export interface DispatchOrder {
  readonly attempt: AttemptId
  readonly request: RequestId
  /** The entry node that asks; answers go there. */
  readonly entry: NodeId
  readonly organisation: OrganisationId
  readonly model: string
  readonly version: string | null
  readonly adapter: string | null
  /** A smaller number is more urgent. */
  readonly urgency: number
  readonly promptTokens: Tokens
  readonly maxTokens: Tokens
  /** Chained hashes of the first blocks of the prompt, for prefix reuse. */
  readonly prefix: readonly string[]
  /** Time left until the request's deadline when it was received. */
  readonly remaining: Millis
  /** Runners that already failed this request. */
  readonly excluded: readonly RunnerId[]
}

/** The exact and the lagging parts of one runner's status. */
export interface RunnerReport {
  readonly model: string | null
  readonly version: string | null
  readonly adapters: readonly string[]
  readonly loading: boolean
  readonly totalTokens: Tokens
  readonly slots: number
  readonly blockTokens: Tokens
  readonly chunkTokens: Tokens
  /** Age of the load figures when the report was received. */
  readonly loadAge: Millis
  readonly running: number
  readonly waiting: number
  readonly freeTokens: Tokens
  readonly pendingPrefillTokens: Tokens
  /** Tokens a second; 0 while unknown. */
  readonly prefillRate: number
  /** Tokens a second of one stream; 0 while unknown. */
  readonly decodeRate: number
  /** Attempts that the engine holds memory or a stream for. */
  readonly held: readonly HeldAttempt[]
}

export interface HeldAttempt {
  readonly attempt: AttemptId
  readonly heldTokens: Tokens
  readonly age: Millis
}

/** A change of a runner's prefix cache. */
export type CacheEvent =
  | { readonly kind: 'stored', readonly blocks: readonly string[] }
  | { readonly kind: 'removed', readonly blocks: readonly string[] }
  | { readonly kind: 'cleared' }

export const ProgressKind = {
  Sent: 'sent',
  FirstToken: 'first_token',
  Streaming: 'streaming',
  Ended: 'ended',
  Failed: 'failed'
} as const
export type ProgressKind = typeof ProgressKind[keyof typeof ProgressKind]

export type DispatchEvent =
  | { readonly type: 'runner_assigned', readonly runner: RunnerId, readonly failureDomain: FailureDomain }
  | { readonly type: 'runner_removed', readonly runner: RunnerId }
  /** No new work for the runner; its streams finish. */
  | { readonly type: 'runner_leaving', readonly runner: RunnerId }
  /** No new work while it drains for a change of its model; unlike leaving, it may end. */
  | { readonly type: 'runner_draining', readonly runner: RunnerId, readonly draining: boolean }
  | { readonly type: 'runner_unreachable', readonly runner: RunnerId }
  | { readonly type: 'runner_reported', readonly runner: RunnerId, readonly report: RunnerReport }
  | { readonly type: 'cache_changed', readonly runner: RunnerId, readonly gap: boolean, readonly events: readonly CacheEvent[] }
  | { readonly type: 'ordered', readonly order: DispatchOrder }
  | { readonly type: 'withdrawn', readonly attempt: AttemptId }
  /** `runner` lets a new dispatcher take up an attempt that it did not grant. */
  | { readonly type: 'progressed', readonly attempt: AttemptId, readonly runner: RunnerId, readonly kind: ProgressKind, readonly generated: Tokens, readonly order: DispatchOrder | null }
  /** Summaries of the other live dispatchers of the same failure domain, as last gossiped. */
  | { readonly type: 'peers_summarised', readonly summaries: readonly DispatchSummary[] }
  | { readonly type: 'entry_lost', readonly entry: NodeId }
  | { readonly type: 'ticked' }

export interface Grant {
  readonly attempt: AttemptId
  readonly entry: NodeId
  readonly runner: RunnerId
  /** The entry node must have sent, or reported progress, within this time; otherwise the grant lapses. */
  readonly validFor: Millis
  /** Priority towards the engine; a smaller number goes first. */
  readonly priority: number
  /** Why this runner, for the time line. */
  readonly reason: string
  /** Members of a sequence group in order, for a prompt above one engine's memory; empty otherwise. */
  readonly group: readonly RunnerId[]
  /** Memory that is reserved on each member of the group. */
  readonly groupTokens?: readonly Tokens[]
}

export type DispatchEffect =
  | { readonly type: 'grant', readonly grant: Grant }
  | { readonly type: 'refuse', readonly attempt: AttemptId, readonly entry: NodeId, readonly kind: OutcomeKind, readonly retryAfter: Millis, readonly reason: string }
  /** Stop the stream and free its memory on the engine. */
  | { readonly type: 'cancel_on_runner', readonly runner: RunnerId, readonly attempt: AttemptId, readonly reason: string }
  /** Tell the entry node to give the runner up and ask again: the attempt makes way. */
  | { readonly type: 'recall', readonly attempt: AttemptId, readonly entry: NodeId, readonly reason: string }

/** One model's state at one dispatcher, gossiped to the entry nodes. */
export interface DispatchSummary {
  readonly model: string
  readonly runners: number
  readonly freeTokens: Tokens
  readonly freeSlots: number
  readonly largestPrompt: Tokens
  /** Expected wait in milliseconds by length class; the index is that of `LENGTH_CLASSES`. */
  readonly queueDelay: readonly Millis[]
  /** Tokens a second of all its runners together. */
  readonly prefillRate: number
  /** The dispatcher; with the number of its runners it gives the failure domain's runners for long work. */
  readonly node?: NodeId
  /** Prompt tokens a second that were asked of this dispatcher, by length class. */
  readonly demand?: readonly number[]
}
