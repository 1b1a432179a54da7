/** Writes completion answers to a caller, streamed or whole. */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'

import type { Outcome } from '@bluebellhill/domain'

import { Answer } from '../requests/Answer.js'
import type { AnswerEnd } from '../requests/Answer.js'
import type { AnswerHead, CompletionShape } from './CompletionShape.js'
import { writeFailure, writeJson } from './response.js'
import { errorBody } from '@bluebellhill/protocol'

const STREAM_HEADERS = {
  'content-type': 'text/event-stream; charset=utf-8',
  'cache-control': 'no-cache'
} as const

const frame = (body: object): string => `data: ${JSON.stringify(body)}\n\n`

/** A streamed answer. Headers leave with the first text, so that a refusal still has its own status. */
export class StreamedCompletion extends Answer {
  readonly #response: ServerResponse
  readonly #head: AnswerHead
  readonly #shape: CompletionShape
  readonly #usageWanted: boolean

  constructor (response: ServerResponse, head: AnswerHead, shape: CompletionShape, usageWanted: boolean) {
    super()
    this.#response = response
    this.#head = head
    this.#shape = shape
    this.#usageWanted = usageWanted
  }

  writeText (text: string): boolean {
    this.#open()
    return this.#response.write(frame(this.#shape.chunk(this.#head, text)))
  }

  async drained (): Promise<void> {
    if (this.#response.destroyed || !this.#response.writableNeedDrain) return
    await Promise.race([once(this.#response, 'drain'), once(this.#response, 'close')])
  }

  end (end: AnswerEnd): void {
    this.#open()
    this.#response.write(frame(this.#shape.lastChunk(this.#head, end.finishReason)))
    if (this.#usageWanted) this.#response.write(frame(this.#shape.usageChunk(this.#head, end.usage)))
    this.#response.end('data: [DONE]\n\n')
  }

  fail (outcome: Outcome): void {
    if (!this.#response.headersSent) {
      writeFailure(this.#response, outcome, this.#head.id)
      return
    }
    this.#response.end(frame(errorBody(outcome, this.#head.id)))
  }

  #open (): void {
    if (!this.#response.headersSent) this.#response.writeHead(200, STREAM_HEADERS)
  }
}

/** An answer that is sent in one piece when it is whole. */
export class WholeCompletion extends Answer {
  readonly #response: ServerResponse
  readonly #head: AnswerHead
  readonly #shape: CompletionShape
  readonly #texts: string[] = []

  constructor (response: ServerResponse, head: AnswerHead, shape: CompletionShape) {
    super()
    this.#response = response
    this.#head = head
    this.#shape = shape
  }

  writeText (text: string): boolean {
    this.#texts.push(text)
    return true
  }

  async drained (): Promise<void> {}

  end (end: AnswerEnd): void {
    writeJson(this.#response, 200, this.#shape.whole(this.#head, this.#texts.join(''), end.finishReason, end.usage))
  }

  fail (outcome: Outcome): void {
    writeFailure(this.#response, outcome, this.#head.id)
  }
}
