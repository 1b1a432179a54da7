/** Wanted models, runners as reported, events and effects of placement. */
import type { Millis, RunnerId } from '../types.js'

export const EngineRole = {
  Mixed: 'mixed',
  Prefill: 'prefill',
  Decode: 'decode',
  Idle: 'idle'
} as const
export type EngineRole = typeof EngineRole[keyof typeof EngineRole]

/** What the templates ask of a failure domain for one model. */
export interface WantedModel {
  readonly model: string
  readonly version: string
  readonly adapters: readonly string[]
  readonly role: EngineRole
  /** Runners that hold the model also without traffic. */
  readonly warmCopies: number
  /** A smaller number is more urgent. */
  readonly urgency: number
  /** Size of the weights, in bytes. */
  readonly weightBytes: number
}

/** A model of one version that is being loaded. */
export interface LoadedModel {
  readonly model: string
  readonly version: string
}

/** A runner as its engine last reported itself. */
export interface PlacedRunner {
  readonly runner: RunnerId
  readonly loaded: LoadedModel | null
  readonly loading: LoadedModel | null
  readonly adapters: readonly string[]
  readonly role: EngineRole
  /** Streams that it runs or holds. */
  readonly streams: number
  readonly leaving: boolean
}

/** An order to an engine; each names the wanted state, so that carrying it out twice changes nothing. */
export type EngineCommand =
  | { readonly kind: 'load', readonly model: string, readonly version: string }
  | { readonly kind: 'load_adapter', readonly adapter: string }
  | { readonly kind: 'unload_adapter', readonly adapter: string }
  | { readonly kind: 'role', readonly role: EngineRole }
  | { readonly kind: 'unload' }

export type EngineCommandResult =
  | { readonly kind: 'accepted' }
  /** A leader with a later lease has given an order already. */
  | { readonly kind: 'stale_fencing', readonly current: number }
  | { readonly kind: 'failed', readonly reason: string }

export type PlacementEvent =
  | { readonly type: 'ticked' }
  /** `sentAt` is the time at which the request for the lease left. */
  | { readonly type: 'lease_granted', readonly token: string, readonly revision: number, readonly sentAt: Millis }
  | { readonly type: 'lease_renewed', readonly token: string, readonly sentAt: Millis }
  /** Another node holds the lease, or this node's lease is gone. */
  | { readonly type: 'lease_refused', readonly token: string }
  /** The store did not answer; the lease may or may not have been granted. */
  | { readonly type: 'lease_unanswered', readonly token: string }
  /** Only a few members of a failure domain ask for the lease, so that the store is not called by all. */
  | { readonly type: 'candidacy_changed', readonly isCandidate: boolean }
  | { readonly type: 'wants_changed', readonly wantedModels: readonly WantedModel[] }
  /** Runners that the model's present traffic keeps busy. */
  | { readonly type: 'traffic_reported', readonly model: string, readonly runners: number }
  | { readonly type: 'runner_reported', readonly runner: PlacedRunner }
  | { readonly type: 'runner_removed', readonly runner: RunnerId }
  | { readonly type: 'order_answered', readonly runner: RunnerId, readonly fencing: number, readonly result: EngineCommandResult }

export type PlacementEffect =
  | { readonly type: 'acquire_lease', readonly token: string, readonly lifetime: Millis }
  | { readonly type: 'renew_lease', readonly token: string }
  | { readonly type: 'release_lease', readonly token: string }
  /** The sender checks `mayOrder` right before the order leaves. */
  | { readonly type: 'order', readonly runner: RunnerId, readonly fencing: number, readonly command: EngineCommand, readonly reason: string }
  /** The runner gets no new work until its model is changed. */
  | { readonly type: 'drain', readonly runner: RunnerId, readonly reason: string }
  | { readonly type: 'undrain', readonly runner: RunnerId }
  | { readonly type: 'led', readonly fencing: number }
  | { readonly type: 'stepped_down', readonly reason: string }

/** Time limits of leadership, in milliseconds. */
export interface LeaseTimings {
  /** Lifetime of the lease in the store. */
  readonly lifetime: Millis
  /** Safety margin for the drift of clocks and for orders under way. */
  readonly margin: Millis
  readonly renewPeriod: Millis
  readonly retryPeriod: Millis
  /** A longer gap between two ticks means that this process was paused. */
  readonly pauseThreshold: Millis
}

/** Limits of placement. */
export interface PlacementLimits {
  readonly concurrentLoads: number
  /** Bytes a second that the weight store gives to this failure domain. */
  readonly weightStoreRate: number
  /** Time after which an order whose effect is not reported is given again. */
  readonly commandRetry: Millis
  /** Longest wait for the streams of a runner whose model is to change. */
  readonly drainTimeout: Millis
  /** Traffic is remembered for this long before its runners give way. */
  readonly idleAfter: Millis
  /** Share of a model's runners that may be out of service while its version changes; at least one. */
  readonly rollingShare: number
  /** A runner that did not report for this long gets no order. */
  readonly reportLifetime: Millis
}
