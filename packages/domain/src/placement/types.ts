/** Types of placement: wanted models, reported runners, engine commands, events, effects and limits. */
import type { Millis, RunnerId } from '../types.js'

export const EngineRole = {
  Mixed: 'mixed',
  Prefill: 'prefill',
  Decode: 'decode',
  Idle: 'idle'
} as const
export type EngineRole = typeof EngineRole[keyof typeof EngineRole]

/** A model that the templates require in a failure domain. */
export interface WantedModel {
  readonly model: string
  readonly version: string
  readonly adapters: readonly string[]
  readonly role: EngineRole
  /** Number of runners that keep the model loaded even without traffic. */
  readonly warmCopies: number
  /** A smaller number is more urgent. */
  readonly urgency: number
  /** Size of the weights, in bytes. */
  readonly weightBytes: number
}

/** A model in one version, loaded or being loaded. */
export interface LoadedModel {
  readonly model: string
  readonly version: string
}

/** State of a runner as its engine last reported it. */
export interface PlacedRunner {
  readonly runner: RunnerId
  readonly loaded: LoadedModel | null
  readonly loading: LoadedModel | null
  readonly adapters: readonly string[]
  readonly role: EngineRole
  /** Number of streams that it runs and of KV segments that it keeps for other engines; reports give at most 1. */
  readonly streams: number
  readonly leaving: boolean
}

/** A command to an engine. Each names the wanted state, so that carrying it out twice has the same result as once. */
export type EngineCommand =
  | { readonly kind: 'load', readonly model: string, readonly version: string }
  | { readonly kind: 'load_adapter', readonly adapter: string }
  | { readonly kind: 'unload_adapter', readonly adapter: string }
  | { readonly kind: 'role', readonly role: EngineRole }
  | { readonly kind: 'unload' }

export type EngineCommandResult =
  | { readonly kind: 'accepted' }
  /** A leader with a later lease has already sent a command. */
  | { readonly kind: 'stale_fencing', readonly current: number }
  | { readonly kind: 'failed', readonly reason: string }

export type PlacementEvent =
  | { readonly type: 'ticked' }
  /** `sentAt` is the time at which the request for the lease was sent. */
  | { readonly type: 'lease_granted', readonly token: string, readonly revision: number, readonly sentAt: Millis }
  | { readonly type: 'lease_renewed', readonly token: string, readonly sentAt: Millis }
  /** Another node holds the lease, or this node's lease no longer exists. */
  | { readonly type: 'lease_refused', readonly token: string }
  /** The store did not answer; the lease may or may not have been granted. */
  | { readonly type: 'lease_unanswered', readonly token: string }
  /** Only a few members of a failure domain request the lease, so that not all of them call the store. */
  | { readonly type: 'candidacy_changed', readonly isCandidate: boolean }
  | { readonly type: 'wants_changed', readonly wantedModels: readonly WantedModel[] }
  /** `runners` is the number of runners that the model's current traffic keeps busy. */
  | { readonly type: 'traffic_reported', readonly model: string, readonly runners: number }
  | { readonly type: 'runner_reported', readonly runner: PlacedRunner }
  | { readonly type: 'runner_removed', readonly runner: RunnerId }
  | { readonly type: 'order_answered', readonly runner: RunnerId, readonly fencing: number, readonly result: EngineCommandResult }

export type PlacementEffect =
  | { readonly type: 'acquire_lease', readonly token: string, readonly lifetime: Millis }
  | { readonly type: 'renew_lease', readonly token: string }
  | { readonly type: 'release_lease', readonly token: string }
  /** The sender checks `PlacementPlan.maySend` right before it sends the command. */
  | { readonly type: 'order', readonly runner: RunnerId, readonly fencing: number, readonly command: EngineCommand, readonly reason: string }
  /** The runner receives no new work until its model has changed. */
  | { readonly type: 'drain', readonly runner: RunnerId, readonly reason: string }
  | { readonly type: 'undrain', readonly runner: RunnerId }
  | { readonly type: 'led', readonly fencing: number }
  | { readonly type: 'stepped_down', readonly reason: string }

/** Time limits of leadership, in milliseconds. */
export interface LeaseTimings {
  /** Lifetime of the lease in the store. */
  readonly lifetime: Millis
  /** Safety margin for clock drift and for commands in flight. */
  readonly margin: Millis
  readonly renewPeriod: Millis
  readonly retryPeriod: Millis
  /** A longer gap between two ticks means that this process was paused. */
  readonly pauseThreshold: Millis
}

/** Limits of placement. */
export interface PlacementLimits {
  readonly concurrentLoads: number
  /** Bytes per second that the weight store provides to this failure domain. */
  readonly weightStoreRate: number
  /** Time after which a command whose effect is not reported is sent again. */
  readonly commandRetry: Millis
  /** Maximum time to wait for the streams of a runner whose model is about to change. */
  readonly drainTimeout: Millis
  /** Time for which reported traffic counts; after it, the runners that the traffic needed may get another model. */
  readonly idleAfter: Millis
  /** Fraction of a model's runners that may be out of service while its version changes; at least one runner. */
  readonly rollingShare: number
  /** Time after which a runner that did not report receives no commands. */
  readonly reportLifetime: Millis
}
