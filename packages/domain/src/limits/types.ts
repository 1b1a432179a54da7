/** Bounds of organisations, the demand that nodes gossip for dividing them, and refusals. */
import type { Millis, NodeId, OrganisationId } from '../types.js'

/** Fleet-wide bounds of one organisation; null means unlimited. */
export interface OrganisationBounds {
  /** Concurrent requests. */
  readonly concurrent: number | null
  /** Prompt and answer tokens per second. */
  readonly tokensPerSecond: number | null
}

/** One node's gossiped demand for one organisation. */
export interface LimitDemand {
  readonly organisation: OrganisationId
  readonly node: NodeId
  /** Requests in progress at the node. */
  readonly held: number
  /** Requests in progress, plus those recently refused because of the limit of concurrent requests. */
  readonly concurrent: number
  /** Tokens per second that callers requested, including those of refused requests. */
  readonly tokensPerSecond: number
  /** Concurrent requests that the node may have in progress; absent if they are not limited, or in a demand of an earlier build. */
  readonly claim?: number
}

/** The bound that a request would exceed, and when to retry. */
export interface LimitRefusal {
  readonly bound: 'concurrent' | 'tokens_per_second'
  readonly retryAfter: Millis
  readonly reason: string
}
