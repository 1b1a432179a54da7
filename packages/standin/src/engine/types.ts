/** Types of the stand-in engine. */

export const Role = { Mixed: 'mixed', Prefill: 'prefill', Decode: 'decode', Idle: 'idle' } as const
export type Role = typeof Role[keyof typeof Role]

/** What becomes of a stream whose client vanished. */
export const DisconnectRule = {
  /** It runs to its end; memory is freed after the resume window. */
  Finish: 'finish',
  /** It keeps its memory until it is cancelled. */
  Hold: 'hold',
  /** It is cancelled at once. */
  Cancel: 'cancel'
} as const
export type DisconnectRule = typeof DisconnectRule[keyof typeof DisconnectRule]

/** Settings of an engine. Times in milliseconds. */
export interface EngineOptions {
  readonly name: string
  readonly model: string | null
  readonly version: string | null
  readonly adapters: readonly string[]
  readonly role: Role
  /** Accelerator memory in tokens. */
  readonly memoryTokens: number
  /** Room for imported segments, in tokens. */
  readonly hostTokens: number
  /** Sequences in one batch. */
  readonly slots: number
  readonly blockTokens: number
  /** New tokens in one step. */
  readonly chunkTokens: number
  readonly maxWaiting: number
  /** Fixed part of a step. */
  readonly stepMs: number
  /** Time of each new token in a step. */
  readonly newTokenMs: number
  /** Time of each context token of the sequences in a step. */
  readonly contextTokenMs: number
  readonly resumeWindowMs: number
  readonly loadLagMs: number
  readonly eventLagMs: number
  /** Share of cache events that are never published. */
  readonly eventDropRate: number
  readonly seed: number
  readonly checkFencing: boolean
  /** Time to load a model where no weight store is named. */
  readonly loadMs: number
  readonly weightStore: string | null
  readonly transferTokensPerSecond: number
  readonly onDisconnect: DisconnectRule
}

/** What the batch scheduler has to know of a sequence. */
export interface SequenceSpec {
  readonly id: string
  readonly promptTokens: number
  readonly maxTokens: number
  /** A smaller number goes first. */
  readonly priority: number
  /** Hashes of the prompt's whole blocks. */
  readonly hashes: readonly string[]
  /** Tokens that are already computed, in an imported segment. */
  readonly readyTokens: number
  /** Context outside this sequence's own memory: segments on other engines or in host memory. */
  readonly outsideTokens: number
  /** Whether its KV is held here already; such a sequence goes before waiting ones, which may wait for its memory. */
  readonly isResident: boolean
}

export const SequenceState = { Waiting: 'waiting', Prefill: 'prefill', Decode: 'decode', Done: 'done', Gone: 'gone' } as const
export type SequenceState = typeof SequenceState[keyof typeof SequenceState]

export const Submission = { Accepted: 'accepted', TooLong: 'too_long', NoCapacity: 'no_capacity' } as const
export type Submission = typeof Submission[keyof typeof Submission]
