/** One try of a request at a backend server. */
import type { AttemptId, Grant, Ran, SendMode, Tokens } from '@bluebellhill/domain'

import type { AnswerEnd } from './Answer.js'

/** What an attempt has to send. */
export interface AttemptSpec {
  readonly attempt: AttemptId
  readonly grant: Grant
  /** The backend server's `ip:port`. */
  readonly address: string
  /** Addresses of the grant's sequence group in order; empty without one. */
  readonly groupAddresses: readonly string[]
  readonly mode: SendMode
  /** Tokens that the caller already has. */
  readonly generated: Tokens
}

/** Why an attempt did not bring the whole answer. */
export interface AttemptFailure {
  readonly started: Ran
  readonly resumable: boolean
  readonly reason: string
  /** Milliseconds after which the backend server wants to be asked again, where it said so. */
  readonly retryAfter: number | null
}

/** What became of a piece of the answer. */
export const ChunkResult = {
  /** Passed on; the caller keeps up. */
  Accepted: 'flowing',
  /** Passed on; `drained` is to be awaited before the next. */
  Backpressure: 'full',
  /** Not passed on: the attempt is not wanted any more. */
  Dropped: 'dropped'
} as const
export type ChunkResult = typeof ChunkResult[keyof typeof ChunkResult]

/** What an attempt tells the request that it serves. */
export interface AttemptListener {
  /** The first byte is about to leave. */
  sending (attempt: AttemptId): void
  /** A piece of the answer came. */
  chunkReceived (attempt: AttemptId, offset: Tokens, count: Tokens, text: string): ChunkResult
  /** A chunk of another request came on this attempt's stream. */
  foreignChunkReceived (attempt: AttemptId): void
  completed (attempt: AttemptId, end: AnswerEnd): void
  broken (attempt: AttemptId, failure: AttemptFailure): void
  /** Resolves when the caller can take more. */
  drained (): Promise<void>
}

/** A try that runs until it has completed, is broken or is aborted. */
export abstract class Attempt {
  /** Sends the request and reads the answer. Never rejects: everything is told to the listener. */
  abstract run (): Promise<void>

  /** Drops the connection; nothing more is told to the listener. */
  abstract abort (): void
}
