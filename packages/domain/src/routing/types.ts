/** Inputs and results of choosing a dispatcher. */
import type { DispatchSummary } from '../dispatch/types.js'
import type { FailureDomain, Millis, NodeId, OutcomeKind, Tokens } from '../types.js'

/** Returns a number in [0, 1) from a seeded generator. */
export type UniformRandom = () => number

/** Properties of a dispatch order that determine which dispatcher it is sent to. */
export interface RoutingCriteria {
  readonly model: string
  readonly promptTokens: Tokens
  readonly maxTokens: Tokens
  readonly prefix: readonly string[]
  /** Time until the request's deadline. */
  readonly remaining: Millis
}

/** The last gossiped state of one dispatcher. */
export interface DispatcherState {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  /** Time at which this node received the summaries. */
  readonly receivedAt: Millis
  readonly summaries: readonly DispatchSummary[]
}

/** Why no dispatcher was chosen. */
export interface RoutingRefusal {
  readonly kind: OutcomeKind
  readonly retryAfter: Millis
  readonly reason: string
}
