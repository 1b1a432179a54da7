/** Writes the answers of completions to callers: as a stream of server-sent events, or as one JSON body. */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'

import type { Outcome } from '@bluebellhill/domain'

import { Answer } from '../requests/Answer.js'
import type { AnswerEnd } from '../requests/Answer.js'
import type { AnswerMetadata, CompletionShape } from './CompletionShape.js'
import { writeFailure, writeJson } from './response.js'
import { errorBody } from '@bluebellhill/protocol'

const STREAM_HEADERS = {
  'content-type': 'text/event-stream; charset=utf-8',
  'cache-control': 'no-cache'
} as const

const encodeSseEvent = (body: object): string => `data: ${JSON.stringify(body)}\n\n`

/**
 * Writes an answer as server-sent events. The headers are sent with the first text, so that a request which fails earlier
 * still gets the HTTP status of its error.
 */
export class StreamedCompletion extends Answer {
  readonly #response: ServerResponse
  readonly #metadata: AnswerMetadata
  readonly #shape: CompletionShape
  readonly #usageWanted: boolean

  constructor (response: ServerResponse, metadata: AnswerMetadata, shape: CompletionShape, usageWanted: boolean) {
    super()
    this.#response = response
    this.#metadata = metadata
    this.#shape = shape
    this.#usageWanted = usageWanted
  }

  writeText (text: string): boolean {
    this.#writeHeadersOnce()
    return this.#response.write(encodeSseEvent(this.#shape.chunk(this.#metadata, text)))
  }

  async drained (): Promise<void> {
    if (this.#response.destroyed || !this.#response.writableNeedDrain) return
    await Promise.race([once(this.#response, 'drain'), once(this.#response, 'close')])
  }

  end (end: AnswerEnd): void {
    this.#writeHeadersOnce()
    this.#response.write(encodeSseEvent(this.#shape.lastChunk(this.#metadata, end.finishReason)))
    if (this.#usageWanted) this.#response.write(encodeSseEvent(this.#shape.usageChunk(this.#metadata, end.usage)))
    this.#response.end('data: [DONE]\n\n')
  }

  fail (outcome: Outcome): void {
    if (!this.#response.headersSent) {
      writeFailure(this.#response, outcome, this.#metadata.id)
      return
    }
    this.#response.end(encodeSseEvent(errorBody(outcome, this.#metadata.id)))
  }

  #writeHeadersOnce (): void {
    if (!this.#response.headersSent) this.#response.writeHead(200, STREAM_HEADERS)
  }
}

/** Collects the text of an answer and sends it as one JSON body when it is complete. */
export class BufferedCompletion extends Answer {
  readonly #response: ServerResponse
  readonly #metadata: AnswerMetadata
  readonly #shape: CompletionShape
  readonly #texts: string[] = []

  constructor (response: ServerResponse, metadata: AnswerMetadata, shape: CompletionShape) {
    super()
    this.#response = response
    this.#metadata = metadata
    this.#shape = shape
  }

  writeText (text: string): boolean {
    this.#texts.push(text)
    return true
  }

  async drained (): Promise<void> {}

  end (end: AnswerEnd): void {
    writeJson(this.#response, 200, this.#shape.fullAnswer(this.#metadata, this.#texts.join(''), end.finishReason, end.usage))
  }

  fail (outcome: Outcome): void {
    writeFailure(this.#response, outcome, this.#metadata.id)
  }
}
