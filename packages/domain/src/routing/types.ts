/** What an entry node knows when it chooses a dispatcher. */
import type { DispatchSummary } from '../dispatch/types.js'
import type { FailureDomain, Millis, NodeId, OutcomeKind, Tokens } from '../types.js'

/** A number in [0, 1) from a seeded generator. */
export type UniformRandom = () => number

/** Facts of an order that decide where it goes. */
export interface OrderFacts {
  readonly model: string
  readonly promptTokens: Tokens
  readonly maxTokens: Tokens
  readonly prefix: readonly string[]
  readonly remaining: Millis
}

/** The gossiped state of one dispatcher. */
export interface DispatcherState {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  /** When this node received the summaries. */
  readonly receivedAt: Millis
  readonly summaries: readonly DispatchSummary[]
}

/** Why no dispatcher was chosen. */
export interface RoutingRefusal {
  readonly kind: OutcomeKind
  readonly retryAfter: Millis
  readonly reason: string
}
