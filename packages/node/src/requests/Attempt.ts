/** Interfaces of an attempt, which sends a request once to one backend server, and of its listener. */
import type { AttemptId, Grant, Ran, SendMode, Tokens } from '@bluebellhill/domain'

import type { AnswerEnd } from './Answer.js'

/** What an attempt sends, and to which backend server. */
export interface AttemptSpec {
  readonly attempt: AttemptId
  readonly grant: Grant
  /** The backend server's `ip:port`. */
  readonly address: string
  /** Addresses of the members of the sequence group, in order; empty if the grant has no group. */
  readonly groupAddresses: readonly string[]
  readonly mode: SendMode
  /** Number of tokens that the caller already has. */
  readonly generated: Tokens
}

/** Why an attempt ended without a complete answer. */
export interface AttemptFailure {
  /** Whether the backend server executed the request. */
  readonly started: Ran
  /** Whether the stream can be resumed from an offset on the same backend server. */
  readonly resumable: boolean
  readonly reason: string
  /** Milliseconds to wait before a retry, as the backend server requested; null if it did not. */
  readonly retryAfter: number | null
}

/** How the request handled a chunk of the answer. */
export const ChunkResult = {
  /** The chunk was written to the caller, and the next one can follow at once. */
  Accepted: 'flowing',
  /** The chunk was written, and the attempt must wait for `drained` before the next one. */
  Backpressure: 'full',
  /** The chunk was not written, because the request does not accept it. */
  Dropped: 'dropped'
} as const
export type ChunkResult = typeof ChunkResult[keyof typeof ChunkResult]

/** Receives the events of an attempt. */
export interface AttemptListener {
  /** Called right before the first byte is sent to the backend server. */
  sending (attempt: AttemptId): void
  /** Called for each chunk of the answer, with the index of its first token and its number of tokens. */
  chunkReceived (attempt: AttemptId, offset: Tokens, count: Tokens, text: string): ChunkResult
  /** Called when the stream of this attempt contains a chunk of another request. */
  foreignChunkReceived (attempt: AttemptId): void
  completed (attempt: AttemptId, end: AnswerEnd): void
  broken (attempt: AttemptId, failure: AttemptFailure): void
  /** Resolves when the caller's connection accepts more text. */
  drained (): Promise<void>
}

/** Sends one request to a backend server and runs until it completes, breaks or is aborted. */
export abstract class Attempt {
  /** Sends the request and reads the answer. The promise never rejects: the listener receives every result. */
  abstract run (): Promise<void>

  /** Closes the connection; the listener receives no further events. */
  abstract abort (): void
}
