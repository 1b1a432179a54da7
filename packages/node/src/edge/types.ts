/** Types of the HTTP interface for callers. */
import type { Tokens } from '@bluebellhill/domain'

/** The two OpenAI completion routes: text completions and chat completions. */
export const CallForm = {
  Text: 'text',
  Chat: 'chat'
} as const
export type CallForm = typeof CallForm[keyof typeof CallForm]

/** A completion call whose body was validated. */
export interface CompletionCall {
  readonly form: CallForm
  /** The name in the body's `model` field: a template of the organisation, or a model. */
  readonly model: string
  readonly prompt: string
  /** Values of the parameters of the prompt template. */
  readonly parameters: Readonly<Record<string, unknown>>
  readonly maxTokens: Tokens | null
  readonly streamed: boolean
  /** Whether the caller requested the usage chunk of a streamed answer. */
  readonly usageWanted: boolean
  /** Sampling fields, which are sent to the engine unchanged. */
  readonly sampling: Readonly<Record<string, unknown>>
}

/** Token counts of the prompt and the answer. */
export interface Usage {
  readonly promptTokens: Tokens
  readonly completionTokens: Tokens
}
