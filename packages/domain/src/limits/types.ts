/** What nodes tell each other of the use of organisation limits. */
import type { Millis, NodeId, OrganisationId } from '../types.js'

/** Fleet-wide bounds of one organisation; null where there is none. */
export interface OrganisationBounds {
  /** Requests in progress at once. */
  readonly concurrent: number | null
  /** Prompt and answer tokens a second. */
  readonly tokensPerSecond: number | null
}

/** One node's demand for one organisation, as gossiped. */
export interface LimitDemand {
  readonly organisation: OrganisationId
  readonly node: NodeId
  /** Requests in progress. */
  readonly held: number
  /** Requests in progress or refused for the limit lately. */
  readonly concurrent: number
  /** Tokens a second asked for, refused ones included. */
  readonly tokensPerSecond: number
}

/** Why a request is above its organisation's limit. */
export interface LimitRefusal {
  readonly bound: 'concurrent' | 'tokens_per_second'
  readonly retryAfter: Millis
  readonly reason: string
}
