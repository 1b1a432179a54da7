/** Builds the JSON bodies of the two OpenAI completion routes. */
import { assertNever } from '@bluebellhill/domain'

import { CallForm } from './types.js'
import type { Usage } from './types.js'

/** The fields that all chunks and the full answer of one request share. */
export interface AnswerMetadata {
  readonly id: string
  readonly model: string
  /** Time of creation in seconds since the Unix epoch. */
  readonly created: number
}

/** Builds the stream chunks and the full answers of one completion route. */
export abstract class CompletionShape {
  /** Builds a chunk that carries the next text of the stream. */
  abstract chunk (metadata: AnswerMetadata, text: string): object
  /** Builds the chunk that ends the text and carries the finish reason. */
  abstract lastChunk (metadata: AnswerMetadata, finishReason: string): object
  /** Builds the chunk that carries only the token usage. */
  abstract usageChunk (metadata: AnswerMetadata, usage: Usage): object
  /** Builds the body of an answer that is not streamed. */
  abstract fullAnswer (metadata: AnswerMetadata, text: string, finishReason: string, usage: Usage): object
}

class TextShape extends CompletionShape {
  chunk (metadata: AnswerMetadata, text: string): object {
    return this.#body(metadata, [{ index: 0, text, logprobs: null, finish_reason: null }])
  }

  lastChunk (metadata: AnswerMetadata, finishReason: string): object {
    return this.#body(metadata, [{ index: 0, text: '', logprobs: null, finish_reason: finishReason }])
  }

  usageChunk (metadata: AnswerMetadata, usage: Usage): object {
    return { ...this.#body(metadata, []), usage: usageBody(usage) }
  }

  fullAnswer (metadata: AnswerMetadata, text: string, finishReason: string, usage: Usage): object {
    const choices = [{ index: 0, text, logprobs: null, finish_reason: finishReason }]
    return { ...this.#body(metadata, choices), usage: usageBody(usage) }
  }

  #body (metadata: AnswerMetadata, choices: readonly object[]): object {
    return { id: metadata.id, object: 'text_completion', created: metadata.created, model: metadata.model, choices }
  }
}

class ChatShape extends CompletionShape {
  chunk (metadata: AnswerMetadata, text: string): object {
    return this.#chunkBody(metadata, [{ index: 0, delta: { role: 'assistant', content: text }, finish_reason: null }])
  }

  lastChunk (metadata: AnswerMetadata, finishReason: string): object {
    return this.#chunkBody(metadata, [{ index: 0, delta: {}, finish_reason: finishReason }])
  }

  usageChunk (metadata: AnswerMetadata, usage: Usage): object {
    return { ...this.#chunkBody(metadata, []), usage: usageBody(usage) }
  }

  fullAnswer (metadata: AnswerMetadata, text: string, finishReason: string, usage: Usage): object {
    return {
      id: metadata.id,
      object: 'chat.completion',
      created: metadata.created,
      model: metadata.model,
      choices: [{ index: 0, message: { role: 'assistant', content: text, refusal: null }, logprobs: null, finish_reason: finishReason }],
      usage: usageBody(usage)
    }
  }

  #chunkBody (metadata: AnswerMetadata, choices: readonly object[]): object {
    return { id: metadata.id, object: 'chat.completion.chunk', created: metadata.created, model: metadata.model, choices }
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
 * Returns the builder for the bodies of a completion route.
 *
 * @param form - the route that was called
 */
export const completionShapeOf = (form: CallForm): CompletionShape => {
  switch (form) {
    case CallForm.Text: return TEXT_SHAPE
    case CallForm.Chat: return CHAT_SHAPE
    default: return assertNever(form)
  }
}
