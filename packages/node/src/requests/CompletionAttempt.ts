/** Sends a completion call to a model engine and relays its event stream. */
import { Ran, SendMode } from '@bluebellhill/domain'
import type { Tokens } from '@bluebellhill/domain'
import { describeFailure, deriveRan } from '@bluebellhill/services'
import type { CallFailure, ModelEngine } from '@bluebellhill/services'
import { z } from 'zod'

import type { Usage } from '../edge/types.js'
import { Attempt, ChunkResult } from './Attempt.js'
import type { AttemptFailure, AttemptListener, AttemptSpec } from './Attempt.js'
import { SseEventSplitter } from './sse.js'

const DONE_MARKER = '[DONE]'
const MAX_EVENT_CHARACTERS = 1_048_576

const chunkSchema = z.object({
  id: z.string(),
  offset: z.number().int().min(0).optional(),
  tokens: z.number().int().min(0).optional(),
  choices: z.array(z.object({ text: z.string(), finish_reason: z.string().nullish() })).max(1).default([]),
  usage: z.object({ prompt_tokens: z.number().int().min(0), completion_tokens: z.number().int().min(0) }).nullish(),
  error: z.object({ message: z.string().optional(), code: z.string().optional() }).optional()
})

type Chunk = z.infer<typeof chunkSchema>

/** Encodes the body of a completion call. */
export interface CompletionBodyEncoder {
  /**
   * Encodes the JSON body of one attempt.
   *
   * @param spec - the attempt that the body is for
   * @returns the JSON text
   */
  encode (spec: AttemptSpec): string
}

/** Sends one completion call, checks that each chunk belongs to the attempt and follows the previous one, and relays the text. */
export class CompletionAttempt extends Attempt {
  readonly #engine: ModelEngine
  readonly #spec: AttemptSpec
  readonly #bodyEncoder: CompletionBodyEncoder
  readonly #listener: AttemptListener
  readonly #timeout: number
  readonly #controller = new AbortController()
  readonly #splitter = new SseEventSplitter(MAX_EVENT_CHARACTERS)
  #nextOffset: Tokens
  #finishReason: string | null = null
  #usage: Usage | null = null
  #hasEnded = false

  /**
   * @param engine - client of the engine that the dispatcher granted
   * @param spec - what to send and where
   * @param startOffset - index of the first token that the caller does not have, in the numbering of the engine's stream
   * @param bodyEncoder - encodes the body of the call
   * @param listener - receives the events of the attempt
   * @param timeout - milliseconds until the deadline of the request
   */
  constructor (engine: ModelEngine, spec: AttemptSpec, startOffset: Tokens, bodyEncoder: CompletionBodyEncoder, listener: AttemptListener, timeout: number) {
    super()
    this.#engine = engine
    this.#spec = spec
    this.#nextOffset = startOffset
    this.#bodyEncoder = bodyEncoder
    this.#listener = listener
    this.#timeout = timeout
  }

  async run (): Promise<void> {
    const result = await this.#engine.complete({
      body: this.#bodyEncoder.encode(this.#spec),
      signal: this.#controller.signal,
      timeout: this.#timeout,
      idleTimeout: this.#timeout,
      onSending: () => this.#onSending()
    })
    if (!result.ok) return this.#fail(attemptFailureOf(result.failure))
    try {
      await this.#readStream(result.value.body)
      this.#handleEndOfStream()
    } catch (error) {
      this.#fail({ started: Ran.Yes, resumable: true, reason: `stream broke: ${messageOf(error)}`, retryAfter: null })
    }
  }

  abort (): void {
    this.#hasEnded = true
    this.#controller.abort()
  }

  #onSending (): void {
    if (this.#spec.mode !== SendMode.Resume) this.#listener.sending(this.#spec.attempt)
  }

  async #readStream (body: AsyncIterable<Uint8Array>): Promise<void> {
    for await (const bytes of body) {
      for (const data of this.#splitter.push(bytes)) {
        if (this.#hasEnded) return
        const result = this.#handleEvent(data)
        if (result === ChunkResult.Backpressure) await this.#listener.drained()
      }
      if (this.#hasEnded) return
    }
  }

  #handleEvent (data: string): ChunkResult {
    if (data === DONE_MARKER) {
      this.#handleDoneMarker()
      return ChunkResult.Accepted
    }
    const parsed = chunkSchema.safeParse(JSON.parse(data))
    if (!parsed.success) throw new Error('chunk does not follow the protocol')
    return this.#handleChunk(parsed.data)
  }

  #handleChunk (chunk: Chunk): ChunkResult {
    if (chunk.error !== undefined) throw new Error(`engine error ${chunk.error.code ?? ''} ${chunk.error.message ?? ''}`)
    if (chunk.id !== this.#spec.attempt) {
      this.#listener.foreignChunkReceived(this.#spec.attempt)
      return ChunkResult.Accepted
    }
    if (chunk.usage != null) this.#usage = { promptTokens: chunk.usage.prompt_tokens, completionTokens: chunk.usage.completion_tokens }
    const choice = chunk.choices[0]
    if (choice === undefined) return ChunkResult.Accepted
    if (choice.finish_reason != null) this.#finishReason = choice.finish_reason
    return choice.text === '' ? ChunkResult.Accepted : this.#handleText(chunk.offset ?? this.#nextOffset, chunk.tokens ?? 1, choice.text)
  }

  #handleText (offset: Tokens, count: Tokens, text: string): ChunkResult {
    if (offset + count <= this.#nextOffset) return ChunkResult.Accepted
    if (offset !== this.#nextOffset) throw new Error(`expected token ${this.#nextOffset}, got ${offset}`)
    this.#nextOffset += count
    return this.#listener.chunkReceived(this.#spec.attempt, offset, count, text)
  }

  #handleDoneMarker (): void {
    if (this.#finishReason === null) throw new Error('end mark without a finish reason')
    const usage = { promptTokens: this.#usage?.promptTokens ?? 0, completionTokens: this.#usage?.completionTokens ?? this.#nextOffset }
    this.#hasEnded = true
    this.#listener.completed(this.#spec.attempt, { finishReason: this.#finishReason, usage })
  }

  #handleEndOfStream (): void {
    this.#fail({ started: Ran.Yes, resumable: true, reason: 'stream ended early', retryAfter: null })
  }

  #fail (failure: AttemptFailure): void {
    if (this.#hasEnded) return
    this.abort()
    this.#listener.broken(this.#spec.attempt, failure)
  }
}

const attemptFailureOf = (failure: CallFailure): AttemptFailure => ({
  started: deriveRan(failure),
  resumable: failure.type === 'interrupted' || failure.type === 'malformed',
  reason: describeFailure(failure),
  retryAfter: 'retryAfter' in failure ? failure.retryAfter : null
})

const messageOf = (error: unknown): string => error instanceof Error ? error.message : String(error)
