/** Types of the load tool. Times in milliseconds. */

/** A caller's organisation. */
export interface LoadOrganisation {
  readonly name: string
  readonly apiKey: string
  /** Share of the arrivals, relative to the others. */
  readonly weight: number
}

/** Requests that arrive together on top of the others. */
export interface Burst {
  readonly atMs: number
  readonly count: number
  readonly minTokens: number
  readonly maxTokens: number
}

/** Calls to a plain service that run at most once. */
export interface OrderLoad {
  readonly service: string
  readonly perSecond: number
  /** Share that is sent to two nodes at about the same time with the same key. */
  readonly twiceShare: number
}

/** Rates of an engine without other load, for the slowdown. */
export interface NominalRates {
  readonly stepMs: number
  readonly newTokenMs: number
  readonly chunkTokens: number
}

export interface LoadOptions {
  readonly seed: number
  /** Addresses of the nodes, `ip:port`. */
  readonly targets: readonly string[]
  readonly organisations: readonly LoadOrganisation[]
  readonly model: string
  readonly perSecond: number
  readonly durationMs: number
  /** Most arrivals of any kind. */
  readonly maxRequests: number
  /** Requests with longer prompts are left out; the others stay the same. */
  readonly longestTokens: number
  /** Lengths drawn from the mix are cut to this. */
  readonly cutTokens: number
  readonly minAnswerTokens: number
  readonly maxAnswerTokens: number
  readonly bursts: readonly Burst[]
  readonly orders: OrderLoad | null
  /** Time limit told to the nodes. */
  readonly deadlineMs: number
  /** Time after the limit until a request counts as lost. */
  readonly graceMs: number
  /** Times that a request is sent again after a broken connection. */
  readonly retries: number
  /** Requests in progress beyond which arrivals are dropped and counted. */
  readonly maxInFlight: number
  readonly nominal: NominalRates
}

export const ArrivalKind = { Completion: 'completion', Order: 'order' } as const
export type ArrivalKind = typeof ArrivalKind[keyof typeof ArrivalKind]

/** One planned request. */
export interface Arrival {
  readonly id: number
  readonly kind: ArrivalKind
  readonly atMs: number
  /** Index into the organisations. */
  readonly organisation: number
  readonly promptTokens: number
  readonly maxTokens: number
  /** Sent to two nodes with one key. */
  readonly twice: boolean
}

/** What a caller learned of one call. */
export type CallOutcome =
  | { readonly type: 'answered', readonly firstTokenMs: number, readonly totalMs: number, readonly tokens: number }
  /** Not run, as the node says. */
  | { readonly type: 'refused', readonly code: string, readonly retryAfterMs: number | null, readonly totalMs: number }
  /** Ended by an error that does not say that nothing ran. */
  | { readonly type: 'failed', readonly code: string, readonly ran: string, readonly totalMs: number }
  /** The connection ended without a last word. */
  | { readonly type: 'broken', readonly reason: string, readonly totalMs: number }
  /** An answer that is not whole, not in order or not the caller's own. */
  | { readonly type: 'wrong', readonly reason: string, readonly totalMs: number }
  /** No last word within the time limit and the grace. */
  | { readonly type: 'late', readonly totalMs: number }

/** A finished request. */
export interface RequestRecord {
  readonly arrival: Arrival
  readonly outcome: CallOutcome
  /** First hex digits of the answer's tokens; null for an order. */
  readonly digest: string | null
  /** Key of an order; null for a completion. */
  readonly key: string | null
  readonly sends: number
}
