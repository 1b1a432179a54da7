/** What the caller edge makes of a caller's request. */
import type { Tokens } from '@bluebellhill/domain'

/** The two forms of the OpenAI completion routes. */
export const CallForm = {
  Text: 'text',
  Chat: 'chat'
} as const
export type CallForm = typeof CallForm[keyof typeof CallForm]

/** A completion call whose body was checked. */
export interface CompletionCall {
  readonly form: CallForm
  /** The name in the body's `model` field: a template of the organisation, or a model. */
  readonly model: string
  readonly prompt: string
  /** Values for the parameters of the template. */
  readonly parameters: Readonly<Record<string, unknown>>
  readonly maxTokens: Tokens | null
  readonly streamed: boolean
  /** True where the caller asked for the usage chunk of a streamed answer. */
  readonly usageWanted: boolean
  /** Sampling fields that are handed to the engine as they are. */
  readonly sampling: Readonly<Record<string, unknown>>
}

/** Number of tokens of the prompt and the answer. */
export interface Usage {
  readonly promptTokens: Tokens
  readonly completionTokens: Tokens
}
