/** Records the answer of a completion while it is sent, so that it can be replayed to a repeated call. */
import type { Outcome } from '@bluebellhill/domain'
import { z } from 'zod'

import { ReplayableAnswer } from '../requests/Answer.js'
import type { Answer, AnswerEnd } from '../requests/Answer.js'

const recordSchema = z.object({
  text: z.string(),
  finishReason: z.string(),
  promptTokens: z.number(),
  completionTokens: z.number()
})

/** Passes a completion on to another answer and records its text. */
export class RecordingCompletion extends ReplayableAnswer {
  readonly #inner: Answer
  readonly #texts: string[] = []
  #end: AnswerEnd | null = null

  /** @param inner - writes the answer to the caller */
  constructor (inner: Answer) {
    super()
    this.#inner = inner
  }

  writeText (text: string): boolean {
    this.#texts.push(text)
    return this.#inner.writeText(text)
  }

  async drained (): Promise<void> {
    await this.#inner.drained()
  }

  end (end: AnswerEnd): void {
    this.#end = end
    this.#inner.end(end)
  }

  fail (outcome: Outcome): void {
    this.#inner.fail(outcome)
  }

  recorded (): string | null {
    if (this.#end === null) return null
    const { finishReason, usage } = this.#end
    return JSON.stringify({ text: this.#texts.join(''), finishReason, ...usage })
  }

  replay (recorded: string): void {
    const { text, finishReason, promptTokens, completionTokens } = recordSchema.parse(JSON.parse(recorded))
    this.#inner.writeText(text)
    this.#inner.end({ finishReason, usage: { promptTokens, completionTokens } })
  }
}
