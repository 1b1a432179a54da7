/** JSON answers of a node's admin address, shared by the daemon and the command line. */
import type { Millis, Tokens } from '@bluebellhill/domain'

import type { EncodedEvent, EncodedStamp, MemberState, RunnerState } from './timeline/index.js'

/** Paths of the admin address. */
export const AdminPath = {
  TimeLine: '/admin/timeline',
  Histograms: '/admin/metrics/histograms',
  Status: '/admin/status',
  Drain: '/admin/drain',
  Runners: '/admin/runners',
  Configuration: '/admin/configuration'
} as const
export type AdminPath = typeof AdminPath[keyof typeof AdminPath]

/** Greatest number of events in one answer of the time line. */
export const MAX_TIMELINE_EVENTS = 20_000

/** Answer of `GET /admin/timeline`. */
export interface TimeLineReply {
  readonly node: string
  readonly failureDomain: string
  /** The node's clock when it answered. */
  readonly now: EncodedStamp
  /** Events that the ring has overwritten since the node started. */
  readonly overwritten: number
  /** True where more events match than were returned. */
  readonly truncated: boolean
  readonly events: readonly EncodedEvent[]
}

/** Unit of a histogram's values. */
export const HistogramUnit = {
  Millis: 'ms',
  /** A ratio of 1 is stored as 1,000. */
  Thousandths: 'thousandths'
} as const
export type HistogramUnit = typeof HistogramUnit[keyof typeof HistogramUnit]

/** Names of the histograms that a node keeps. */
export const HistogramName = {
  FirstToken: 'first_token',
  ShortSlowdown: 'short_slowdown',
  QueueDelay: 'queue_delay'
} as const
export type HistogramName = typeof HistogramName[keyof typeof HistogramName]

export interface EncodedHistogram {
  readonly name: HistogramName
  /** The length class of the prompts; `all` where the histogram is not broken down. */
  readonly length: string
  readonly unit: HistogramUnit
  readonly count: number
  /** The histogram in hdr-histogram-js's compressed base64 form. */
  readonly encoded: string
}

export interface CounterValue {
  readonly name: string
  readonly labels: Readonly<Record<string, string>>
  readonly value: number
}

/** Answer of `GET /admin/metrics/histograms`. */
export interface HistogramsReply {
  readonly node: string
  readonly failureDomain: string
  readonly uptime: Millis
  readonly histograms: readonly EncodedHistogram[]
  readonly counters: readonly CounterValue[]
}

/** What a node is doing as a whole. */
export const NodeState = {
  Starting: 'starting',
  Ready: 'ready',
  Draining: 'draining',
  Stopped: 'stopped'
} as const
export type NodeState = typeof NodeState[keyof typeof NodeState]

export interface MemberStatus {
  readonly node: string
  readonly failureDomain: string
  readonly state: MemberState
  readonly incarnation: number
}

export interface ConfigurationStatus {
  /** Null for the fleet's own value. */
  readonly organisation: string | null
  readonly revision: string
  /** Wall time at which this node put it in force, in milliseconds since the epoch. */
  readonly installedAt: number
}

export interface PlatformStatus {
  readonly service: string
  readonly available: boolean
  /** Wall time of the last change, in milliseconds since the epoch. */
  readonly since: number
}

export interface LeaseStatus {
  readonly lease: string
  readonly fencing: string
}

/** Answer of `GET /admin/status`. */
export interface StatusReply {
  readonly node: string
  readonly failureDomain: string
  readonly version: string
  readonly state: NodeState
  readonly uptime: Millis
  readonly requestsInProgress: number
  readonly ordersQueued: number
  readonly members: readonly MemberStatus[]
  readonly configurations: readonly ConfigurationStatus[]
  readonly platform: readonly PlatformStatus[]
  /** Leases that this node holds. */
  readonly leases: readonly LeaseStatus[]
  readonly clock: EncodedStamp
  /** Peers' stamps that were too far ahead to be followed. */
  readonly distrustedStamps: number
  readonly memoryBytes: number
}

export interface RunnerStatus {
  readonly runner: string
  readonly address: string
  readonly failureDomain: string
  readonly state: RunnerState
  readonly model: string | null
  readonly version: string | null
  readonly role: string
  readonly slots: number
  readonly running: number
  readonly waiting: number
  readonly freeTokens: Tokens
  readonly totalTokens: Tokens
  /** Tokens a second; 0 while unknown. */
  readonly prefillRate: number
  /** Tokens a second of one stream; 0 while unknown. */
  readonly decodeRate: number
  /** Age of the last report; null before the first. */
  readonly reportAge: Millis | null
}

/** Answer of `GET /admin/runners`: the runners that this node dispatches. */
export interface RunnersReply {
  readonly node: string
  readonly failureDomain: string
  readonly runners: readonly RunnerStatus[]
}

/** Answer of `GET /admin/configuration`: the revision in force of each value. */
export interface ConfigurationReply {
  readonly node: string
  readonly revisions: Readonly<Record<string, number>>
}

/** Answer of `POST /admin/drain`. */
export interface DrainReply {
  readonly node: string
  readonly state: NodeState
  readonly requestsInProgress: number
}

/** Error answer of the admin address. */
export interface AdminError {
  readonly error: { readonly message: string }
}
