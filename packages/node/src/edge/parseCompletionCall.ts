/** Parses and validates the request bodies of the OpenAI completion routes. */
import { OutcomeKind } from '@bluebellhill/domain'
import { z } from 'zod'

import { RefusedCall } from './errors.js'
import { CallForm } from './types.js'
import type { CompletionCall } from './types.js'

const MAX_COMPLETION_TOKENS = 1_048_576

const samplingFields = {
  temperature: z.number().min(0).max(2).nullish(),
  top_p: z.number().min(0).max(1).nullish(),
  presence_penalty: z.number().min(-2).max(2).nullish(),
  frequency_penalty: z.number().min(-2).max(2).nullish(),
  seed: z.number().int().nullish(),
  stop: z.union([z.string(), z.array(z.string()).max(4)]).nullish()
}

const commonFields = {
  ...samplingFields,
  model: z.string().min(1).max(256),
  n: z.literal(1).nullish(),
  parameters: z.record(z.string().max(128), z.union([z.string(), z.number(), z.boolean()])).nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish()
}

const tokenLimit = z.number().int().min(1).max(MAX_COMPLETION_TOKENS).nullish()

const textBody = z.object({
  ...commonFields,
  prompt: z.union([z.string().min(1), z.array(z.string().min(1)).length(1)]),
  max_tokens: tokenLimit
})

const contentPart = z.object({ type: z.literal('text'), text: z.string() })

const chatBody = z.object({
  ...commonFields,
  messages: z.array(z.object({
    role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
    content: z.union([z.string(), z.array(contentPart)]).nullish()
  })).min(1),
  max_tokens: tokenLimit,
  max_completion_tokens: tokenLimit
})

type TextBody = z.infer<typeof textBody>
type ChatBody = z.infer<typeof chatBody>
type Message = ChatBody['messages'][number]

/**
 * Parses and validates the body of a completion.
 *
 * @param form - the route that was called
 * @param body - the raw body
 * @returns the validated call
 * @throws RefusedCall with `bad_request` and the name of the invalid field
 */
export const parseCompletionCall = (form: CallForm, body: Buffer): CompletionCall => {
  const json = parseJson(body)
  return form === CallForm.Text ? textCall(validate(textBody, json)) : chatCall(validate(chatBody, json))
}

const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    throw new RefusedCall(OutcomeKind.BadRequest, 'the body is not JSON')
  }
}

const validate = <Body>(schema: z.ZodType<Body>, json: unknown): Body => {
  const result = schema.safeParse(json)
  if (result.success) return result.data
  const issue = result.error.issues[0]
  const field = issue?.path.join('.') || 'body'
  throw new RefusedCall(OutcomeKind.BadRequest, `${field}: ${issue?.message ?? 'is not valid'}`)
}

const textCall = (body: TextBody): CompletionCall => {
  const prompt = typeof body.prompt === 'string' ? body.prompt : body.prompt[0] ?? ''
  return createCall(CallForm.Text, body, prompt, body.max_tokens ?? null)
}

const chatCall = (body: ChatBody): CompletionCall => {
  const prompt = `${body.messages.map(renderMessage).join('\n')}\nassistant:`
  return createCall(CallForm.Chat, body, prompt, body.max_completion_tokens ?? body.max_tokens ?? null)
}

const renderMessage = (message: Message): string => {
  const { content } = message
  const text = typeof content === 'string' ? content : (content ?? []).map((part) => part.text).join('')
  return `${message.role}: ${text}`
}

const createCall = (form: CallForm, body: TextBody | ChatBody, prompt: string, maxTokens: number | null): CompletionCall => ({
  form,
  model: body.model,
  prompt,
  parameters: body.parameters ?? {},
  maxTokens,
  streamed: body.stream === true,
  usageWanted: body.stream_options?.include_usage === true,
  sampling: pickSampling(body)
})

const pickSampling = (body: TextBody | ChatBody): Record<string, unknown> => {
  const names = Object.keys(samplingFields) as Array<keyof typeof samplingFields>
  return Object.fromEntries(names.filter((name) => body[name] != null).map((name) => [name, body[name]]))
}
