/** Reading the body of a completion. */
import { randomUUID } from 'node:crypto'

import { DEFAULT_MAX_TOKENS } from '../text.js'

/** A completion as the engine understands it. */
export interface CompletionBody {
  readonly requestId: string
  readonly prompt: string | readonly number[]
  readonly model: string | null
  readonly version: string | null
  readonly adapter: string | null
  readonly maxTokens: number
  readonly stream: boolean
  readonly priority: number
  readonly resumeOffset: number | null
  readonly kvSegment: string | null
  readonly groupSegments: readonly string[] | null
}

type Json = Readonly<Record<string, unknown>>

const textOf = (value: unknown): string | null => value === undefined || value === null ? null : String(value)

const wholeNumber = (value: unknown, otherwise: number): number => {
  if (value === undefined || value === null) return otherwise
  if (!Number.isInteger(value) || (value as number) < 0) throw new Error(`"${String(value)}" is not a whole number`)
  return value as number
}

const promptOf = (value: unknown): string | readonly number[] => {
  if (typeof value === 'string') return value
  if (Array.isArray(value) && value.every(Number.isInteger)) return value as number[]
  throw new Error('"prompt" must be a string or an array of tokens')
}

/**
 * Reads a completion.
 *
 * @param body - the parsed JSON
 * @returns its fields with the defaults filled in
 * @throws when a field has the wrong form
 */
export const readCompletion = (body: Json): CompletionBody => {
  const resume = body['resume'] as Json | null | undefined
  const group = body['group'] as Json | null | undefined
  const segments = group?.['segments']
  return {
    requestId: textOf(body['request_id']) ?? randomUUID(),
    prompt: resume ? '' : promptOf(body['prompt']),
    model: textOf(body['model']),
    version: textOf(body['version']),
    adapter: textOf(body['adapter']),
    maxTokens: wholeNumber(body['max_tokens'], DEFAULT_MAX_TOKENS),
    stream: body['stream'] === true,
    priority: Number(body['priority'] ?? 0),
    resumeOffset: resume ? wholeNumber(resume['offset'], 0) : null,
    kvSegment: textOf(body['kv_segment']),
    groupSegments: Array.isArray(segments) ? segments.map(String) : null
  }
}
