/** Requests, status and commands of a model engine. */
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
  /** Time at which the engine measured the load, in milliseconds since the epoch. */
  readonly asOf: number
  readonly running: number
  readonly waiting: number
  readonly freeTokens: number
  readonly pendingPrefillTokens: number
  /** Prefill throughput in tokens per second; 0 if unknown. */
  readonly prefillTokensPerSecond: number
  /** Decode throughput of one stream in tokens per second; 0 if unknown. */
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

/** Status of an engine. `load` is that of an earlier time (`load.asOf`); `streams` and `segments` are exact. */
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
  /** First sequence number that the response covers. */
  readonly from: number
  /** Value for `after` in the next call. */
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
  /** The engine has received a newer fencing number. */
  | { readonly accepted: false, readonly currentFencing: number }

export interface CompletionCall {
  /** Complete JSON body of the completion request. */
  readonly body: string | Buffer | Uint8Array
  /** Aborts the call and its stream. */
  readonly signal?: AbortSignal
  /** Timeout for the response headers. */
  readonly timeout?: Millis
  /** Longest time between two chunks of the stream. */
  readonly idleTimeout?: Millis
  /** Called immediately before the first byte of the request is written. */
  readonly onSending?: () => void
}

/** Response headers and raw event stream of a completion. */
export interface CompletionStream {
  readonly headers: Record<string, string | string[] | undefined>
  readonly body: Readable
}

export interface SegmentPrefill {
  readonly requestId: string
  readonly segmentId: string
  /** Text of this segment. */
  readonly prompt: string
  /** Ids of the preceding segments, in order of the prompt; they have been imported into this engine. */
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
