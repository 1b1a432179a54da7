/** Events and effects of a dispatcher, which queues orders and grants the runners of one node. */
import type { AttemptId, FailureDomain, Millis, NodeId, OrganisationId, OutcomeKind, RequestId, RunnerId, Tokens } from '../types.js'

/** Dispatch order: the request of an entry node to a dispatcher for a runner. */
export interface DispatchOrder {
  readonly attempt: AttemptId
  readonly request: RequestId
  /** Entry node that sent the order and receives the grant or refusal. */
  readonly entry: NodeId
  readonly organisation: OrganisationId
  readonly model: string
  readonly version: string | null
  readonly adapter: string | null
  /** A smaller number is more urgent. */
  readonly urgency: number
  readonly promptTokens: Tokens
  readonly maxTokens: Tokens
  /** Chained hashes of the prompt's first blocks, for the lookup in prefix caches. */
  readonly prefix: readonly string[]
  /** Time between the arrival of the order and the deadline of the request. */
  readonly remaining: Millis
  /** Runners on which an attempt of this request already failed. */
  readonly excluded: readonly RunnerId[]
}

/** Status of one runner; `running`, `waiting`, `freeTokens` and `pendingPrefillTokens` lag behind by `loadAge`. */
export interface RunnerReport {
  readonly model: string | null
  readonly version: string | null
  readonly adapters: readonly string[]
  readonly loading: boolean
  readonly totalTokens: Tokens
  readonly slots: number
  readonly blockTokens: Tokens
  readonly chunkTokens: Tokens
  /** Age of the load figures at the time when the report was received. */
  readonly loadAge: Millis
  readonly running: number
  readonly waiting: number
  readonly freeTokens: Tokens
  readonly pendingPrefillTokens: Tokens
  /** Prefill rate in tokens per second; 0 while unknown. */
  readonly prefillRate: number
  /** Decode rate of one stream in tokens per second; 0 while unknown. */
  readonly decodeRate: number
  /** Attempts for which the engine has KV cache memory or an open stream. */
  readonly held: readonly HeldAttempt[]
}

/** An attempt that an engine reports. */
export interface HeldAttempt {
  readonly attempt: AttemptId
  readonly heldTokens: Tokens
  /** Time since the engine accepted the attempt. */
  readonly age: Millis
}

/** A change of a runner's prefix cache. */
export type CacheEvent =
  | { readonly kind: 'stored', readonly blocks: readonly string[] }
  | { readonly kind: 'removed', readonly blocks: readonly string[] }
  | { readonly kind: 'cleared' }

/** Phase of an attempt that its entry node reports. */
export const ProgressKind = {
  Sent: 'sent',
  FirstToken: 'first_token',
  Streaming: 'streaming',
  Ended: 'ended',
  Failed: 'failed'
} as const
export type ProgressKind = typeof ProgressKind[keyof typeof ProgressKind]

/** Input of a dispatcher. */
export type DispatchEvent =
  | { readonly type: 'runner_assigned', readonly runner: RunnerId, readonly failureDomain: FailureDomain }
  | { readonly type: 'runner_removed', readonly runner: RunnerId }
  /** The runner gets no new orders; its open streams finish. */
  | { readonly type: 'runner_leaving', readonly runner: RunnerId }
  /** The runner gets no new orders until its model is changed; `draining: false` ends this state. */
  | { readonly type: 'runner_draining', readonly runner: RunnerId, readonly draining: boolean }
  | { readonly type: 'runner_unreachable', readonly runner: RunnerId }
  | { readonly type: 'runner_reported', readonly runner: RunnerId, readonly report: RunnerReport }
  | { readonly type: 'cache_changed', readonly runner: RunnerId, readonly gap: boolean, readonly events: readonly CacheEvent[] }
  | { readonly type: 'ordered', readonly order: DispatchOrder }
  | { readonly type: 'withdrawn', readonly attempt: AttemptId }
  /** Progress report of an entry node; with `order`, a new dispatcher of `runner` can adopt an attempt that it did not grant. */
  | { readonly type: 'progressed', readonly attempt: AttemptId, readonly runner: RunnerId, readonly kind: ProgressKind, readonly generated: Tokens, readonly order: DispatchOrder | null }
  /** Last gossiped summaries of the other live dispatchers of the failure domain. */
  | { readonly type: 'peers_summarised', readonly summaries: readonly DispatchSummary[] }
  | { readonly type: 'entry_lost', readonly entry: NodeId }
  | { readonly type: 'ticked' }

/** Permission to send one attempt to one runner. */
export interface Grant {
  readonly attempt: AttemptId
  readonly entry: NodeId
  readonly runner: RunnerId
  /** The grant expires unless the entry node sends the attempt or reports progress within this time. */
  readonly validFor: Millis
  /** Priority by which the engine schedules the attempt; a smaller number goes first. */
  readonly priority: number
  /** Reason for the choice of the runner, for the time line. */
  readonly reason: string
  /** Ordered members of the sequence group, if the prompt exceeds the memory of one engine; otherwise empty. */
  readonly group: readonly RunnerId[]
  /** Tokens of memory that are reserved on each member of the group. */
  readonly groupTokens?: readonly Tokens[]
}

/** Output of a dispatcher, which its node executes. */
export type DispatchEffect =
  | { readonly type: 'grant', readonly grant: Grant }
  | { readonly type: 'refuse', readonly attempt: AttemptId, readonly entry: NodeId, readonly kind: OutcomeKind, readonly retryAfter: Millis, readonly reason: string }
  /** The engine must stop the attempt and release its KV cache memory. */
  | { readonly type: 'cancel_on_runner', readonly runner: RunnerId, readonly attempt: AttemptId, readonly reason: string }
  /** The entry node must stop the attempt, or withdraw the waiting order, and send a new dispatch order. */
  | { readonly type: 'recall', readonly attempt: AttemptId, readonly entry: NodeId, readonly reason: string }

/** State of one model at one dispatcher, gossiped to entry nodes and other dispatchers. */
export interface DispatchSummary {
  readonly model: string
  readonly runners: number
  readonly freeTokens: Tokens
  readonly freeSlots: number
  /** Memory of the largest runner, in tokens. */
  readonly largestPrompt: Tokens
  /** Expected wait by length class, indexed like `LENGTH_CLASSES`. */
  readonly queueDelay: readonly Millis[]
  /** Prefill rate of all its runners together, in tokens per second. */
  readonly prefillRate: number
  /** Node of the dispatcher; with its number of runners, peers compute which runners belong to which band. */
  readonly node?: NodeId
  /** Demand on this dispatcher in prompt tokens per second, by length class. */
  readonly demand?: readonly number[]
}
