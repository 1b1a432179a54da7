/** What a model engine takes and reports. */
import type { Millis } from '@bluebellhill/domain'
import type { Readable } from 'node:stream'

export const EngineRole = {
  Mixed: 'mixed',
  Prefill: 'prefill',
  Decode: 'decode',
  Idle: 'idle'
} as const
export type EngineRole = typeof EngineRole[keyof typeof EngineRole]

export interface EngineLoad {
  /** When the figures were true, in milliseconds since the epoch. */
  readonly asOf: number
  readonly running: number
  readonly waiting: number
  readonly freeTokens: number
  readonly pendingPrefillTokens: number
  /** Tokens a second; 0 while unknown. */
  readonly prefillTokensPerSecond: number
  /** Tokens a second of one stream; 0 while unknown. */
  readonly decodeTokensPerSecond: number
}

export interface EngineStream {
  readonly requestId: string
  readonly promptTokens: number
  readonly generated: number
  readonly heldTokens: number
  readonly age: Millis
}

export interface EngineSegment {
  readonly id: string
  readonly requestId: string
  readonly tokens: number
  readonly age: Millis
}

/** `load` lags; `streams` and `segments` are exact. */
export interface EngineStatus {
  readonly model: string | null
  readonly version: string | null
  readonly adapters: readonly string[]
  readonly role: EngineRole
  readonly loading: { readonly model: string, readonly version: string, readonly remaining: Millis } | null
  readonly capacity: { readonly tokens: number, readonly slots: number, readonly blockTokens: number, readonly chunkTokens: number }
  readonly load: EngineLoad
  readonly streams: readonly EngineStream[]
  readonly segments: readonly EngineSegment[]
}

export interface EngineCacheEvent {
  readonly seq: number
  readonly kind: 'stored' | 'removed' | 'cleared'
  readonly blocks: readonly string[]
}

export interface EngineCacheEvents {
  /** First sequence number that the answer covers. */
  readonly from: number
  /** Sequence number to ask after next. */
  readonly next: number
  readonly events: readonly EngineCacheEvent[]
}

export type EngineCommand =
  | { readonly kind: 'load', readonly model: string, readonly version: string }
  | { readonly kind: 'load_adapter', readonly adapter: string }
  | { readonly kind: 'unload_adapter', readonly adapter: string }
  | { readonly kind: 'role', readonly role: EngineRole }
  | { readonly kind: 'unload' }

export type CommandResult =
  | { readonly accepted: true }
  /** The engine knows a newer fencing number. */
  | { readonly accepted: false, readonly currentFencing: number }

export interface CompletionCall {
  /** The JSON body of the completion call, whole. */
  readonly body: string | Buffer | Uint8Array
  /** Ends the call and its stream. */
  readonly signal?: AbortSignal
  /** Time until the head of the answer. */
  readonly timeout?: Millis
  /** Time between two pieces of the stream. */
  readonly idleTimeout?: Millis
  /** Runs right before the first byte leaves. */
  readonly onSending?: () => void
}

/** The raw event stream of a completion. */
export interface CompletionStream {
  readonly headers: Record<string, string | string[] | undefined>
  readonly body: Readable
}

export interface SegmentPrefill {
  readonly requestId: string
  readonly segmentId: string
  /** This segment's text. */
  readonly prompt: string
  /** Segments imported here before, in order. */
  readonly contextSegments: readonly string[]
  readonly model: string
  readonly version: string | null
  readonly priority: number
  readonly signal?: AbortSignal
  readonly timeout?: Millis
}

export interface ExportedSegment {
  readonly tokens: number
  readonly bytes: Buffer
}
