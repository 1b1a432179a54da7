/** A completion call to a model engine. */
import { Ran, SendMode } from '@bluebellhill/domain'
import type { Tokens } from '@bluebellhill/domain'
import { describeFailure, deriveRan } from '@bluebellhill/services'
import type { CallFailure, ModelEngine } from '@bluebellhill/services'
import { z } from 'zod'

import type { Usage } from '../edge/types.js'
import { Attempt, ChunkFate } from './Attempt.js'
import type { AttemptListener, AttemptOrder, Break } from './Attempt.js'
import { EventSplitter } from './sse.js'

const END_MARK = '[DONE]'
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

/** Bodies that a completion call may send. */
export interface CompletionBody {
  /**
   * Writes the JSON body of one try.
   *
   * @param order - the try
   * @returns the body
   */
  encode (order: AttemptOrder): string
}

/** Sends one completion call and checks every chunk of its stream. */
export class CompletionAttempt extends Attempt {
  readonly #engine: ModelEngine
  readonly #order: AttemptOrder
  readonly #body: CompletionBody
  readonly #listener: AttemptListener
  readonly #timeout: number
  readonly #controller = new AbortController()
  readonly #splitter = new EventSplitter(MAX_EVENT_CHARACTERS)
  #next: Tokens
  #finishReason: string | null = null
  #usage: Usage | null = null
  #ended = false

  /**
   * @param engine - the engine that was granted
   * @param order - the try
   * @param start - index, in the engine's own count, of the first token that the caller lacks
   * @param body - the request's body
   * @param listener - told of everything
   * @param timeout - milliseconds that are left to the request
   */
  constructor (engine: ModelEngine, order: AttemptOrder, start: Tokens, body: CompletionBody, listener: AttemptListener, timeout: number) {
    super()
    this.#engine = engine
    this.#order = order
    this.#next = start
    this.#body = body
    this.#listener = listener
    this.#timeout = timeout
  }

  async run (): Promise<void> {
    const result = await this.#engine.complete({
      body: this.#body.encode(this.#order),
      signal: this.#controller.signal,
      timeout: this.#timeout,
      idleTimeout: this.#timeout,
      onSending: () => this.#sending()
    })
    if (!result.ok) return this.#break(failureBreak(result.failure))
    try {
      await this.#read(result.value.body)
      this.#endOfStream()
    } catch (error) {
      this.#break({ started: Ran.Yes, resumable: true, reason: `stream broke: ${messageOf(error)}`, retryAfter: null })
    }
  }

  abort (): void {
    this.#ended = true
    this.#controller.abort()
  }

  #sending (): void {
    if (this.#order.mode !== SendMode.Resume) this.#listener.sending(this.#order.attempt)
  }

  async #read (body: AsyncIterable<Uint8Array>): Promise<void> {
    for await (const bytes of body) {
      for (const data of this.#splitter.push(bytes)) {
        if (this.#ended) return
        const fate = this.#take(data)
        if (fate === ChunkFate.Full) await this.#listener.drained()
      }
      if (this.#ended) return
    }
  }

  #take (data: string): ChunkFate {
    if (data === END_MARK) {
      this.#endMark()
      return ChunkFate.Flowing
    }
    const parsed = chunkSchema.safeParse(JSON.parse(data))
    if (!parsed.success) throw new Error('chunk does not follow the protocol')
    return this.#takeChunk(parsed.data)
  }

  #takeChunk (chunk: Chunk): ChunkFate {
    if (chunk.error !== undefined) throw new Error(`engine error ${chunk.error.code ?? ''} ${chunk.error.message ?? ''}`)
    if (chunk.id !== this.#order.attempt) {
      this.#listener.crossed(this.#order.attempt)
      return ChunkFate.Flowing
    }
    if (chunk.usage != null) this.#usage = { promptTokens: chunk.usage.prompt_tokens, completionTokens: chunk.usage.completion_tokens }
    const choice = chunk.choices[0]
    if (choice === undefined) return ChunkFate.Flowing
    if (choice.finish_reason != null) this.#finishReason = choice.finish_reason
    return choice.text === '' ? ChunkFate.Flowing : this.#takeText(chunk.offset ?? this.#next, chunk.tokens ?? 1, choice.text)
  }

  #takeText (offset: Tokens, count: Tokens, text: string): ChunkFate {
    if (offset + count <= this.#next) return ChunkFate.Flowing
    if (offset !== this.#next) throw new Error(`expected token ${this.#next}, got ${offset}`)
    this.#next += count
    return this.#listener.chunk(this.#order.attempt, offset, count, text)
  }

  #endMark (): void {
    if (this.#finishReason === null) throw new Error('end mark without a finish reason')
    const usage = { promptTokens: this.#usage?.promptTokens ?? 0, completionTokens: this.#usage?.completionTokens ?? this.#next }
    this.#ended = true
    this.#listener.completed(this.#order.attempt, { finishReason: this.#finishReason, usage })
  }

  #endOfStream (): void {
    this.#break({ started: Ran.Yes, resumable: true, reason: 'stream ended early', retryAfter: null })
  }

  #break (reason: Break): void {
    if (this.#ended) return
    this.abort()
    this.#listener.broken(this.#order.attempt, reason)
  }
}

const failureBreak = (failure: CallFailure): Break => ({
  started: deriveRan(failure),
  resumable: failure.type === 'interrupted' || failure.type === 'malformed',
  reason: describeFailure(failure),
  retryAfter: 'retryAfter' in failure ? failure.retryAfter : null
})

const messageOf = (error: unknown): string => error instanceof Error ? error.message : String(error)
