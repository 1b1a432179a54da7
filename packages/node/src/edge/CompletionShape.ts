/** The JSON shapes of the two OpenAI completion routes. */
import { assertNever } from '@bluebellhill/domain'

import { CallForm } from './types.js'
import type { Usage } from './types.js'

/** What every chunk and answer of one request carries. */
export interface AnswerHead {
  readonly id: string
  readonly model: string
  /** Seconds since 1970. */
  readonly created: number
}

/** Builds the chunks and whole answers of one completion route. */
export abstract class CompletionShape {
  /** A chunk with the next piece of text. */
  abstract chunk (head: AnswerHead, text: string): object
  /** The last chunk, with the reason why the answer ends. */
  abstract lastChunk (head: AnswerHead, finishReason: string): object
  /** The chunk that carries the usage and nothing else. */
  abstract usageChunk (head: AnswerHead, usage: Usage): object
  /** An answer that is not streamed. */
  abstract whole (head: AnswerHead, text: string, finishReason: string, usage: Usage): object
}

class TextShape extends CompletionShape {
  chunk (head: AnswerHead, text: string): object {
    return this.#body(head, [{ index: 0, text, logprobs: null, finish_reason: null }])
  }

  lastChunk (head: AnswerHead, finishReason: string): object {
    return this.#body(head, [{ index: 0, text: '', logprobs: null, finish_reason: finishReason }])
  }

  usageChunk (head: AnswerHead, usage: Usage): object {
    return { ...this.#body(head, []), usage: usageBody(usage) }
  }

  whole (head: AnswerHead, text: string, finishReason: string, usage: Usage): object {
    const choices = [{ index: 0, text, logprobs: null, finish_reason: finishReason }]
    return { ...this.#body(head, choices), usage: usageBody(usage) }
  }

  #body (head: AnswerHead, choices: readonly object[]): object {
    return { id: head.id, object: 'text_completion', created: head.created, model: head.model, choices }
  }
}

class ChatShape extends CompletionShape {
  chunk (head: AnswerHead, text: string): object {
    return this.#chunkBody(head, [{ index: 0, delta: { role: 'assistant', content: text }, finish_reason: null }])
  }

  lastChunk (head: AnswerHead, finishReason: string): object {
    return this.#chunkBody(head, [{ index: 0, delta: {}, finish_reason: finishReason }])
  }

  usageChunk (head: AnswerHead, usage: Usage): object {
    return { ...this.#chunkBody(head, []), usage: usageBody(usage) }
  }

  whole (head: AnswerHead, text: string, finishReason: string, usage: Usage): object {
    return {
      id: head.id,
      object: 'chat.completion',
      created: head.created,
      model: head.model,
      choices: [{ index: 0, message: { role: 'assistant', content: text, refusal: null }, logprobs: null, finish_reason: finishReason }],
      usage: usageBody(usage)
    }
  }

  #chunkBody (head: AnswerHead, choices: readonly object[]): object {
    return { id: head.id, object: 'chat.completion.chunk', created: head.created, model: head.model, choices }
  }
}

const usageBody = (usage: Usage): object => ({
  prompt_tokens: usage.promptTokens,
  completion_tokens: usage.completionTokens,
  total_tokens: usage.promptTokens + usage.completionTokens
})

const TEXT_SHAPE = new TextShape()
const CHAT_SHAPE = new ChatShape()

/**
 * Gives the shape of a completion route.
 *
 * @param form - which route was called
 */
export const shapeOf = (form: CallForm): CompletionShape => {
  switch (form) {
    case CallForm.Text: return TEXT_SHAPE
    case CallForm.Chat: return CHAT_SHAPE
    default: return assertNever(form)
  }
}
