/** Bounded reading of JSON answers. */
import { MAX_JSON_BODY_BYTES, MAX_ERROR_BODY_BYTES } from './constants.js'
import { failed, success } from '../result.js'
import type { CallFailure } from '../errors.js'
import type { HttpResponse } from './HttpPool.js'
import type { Result } from '../result.js'
import type { ZodType } from 'zod'

/**
 * Reads a body of at most `limit` bytes.
 *
 * @param response - the answer whose body is unread
 * @param limit - bytes at most; a longer body ends the connection
 * @returns the bytes, or why they could not be had
 */
export const readBody = async (response: HttpResponse, limit: number): Promise<Result<Buffer, CallFailure>> => {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of response.body) {
      size += (chunk as Buffer).length
      if (size > limit) return failed({ type: 'malformed', reason: `the answer is longer than ${limit} bytes` })
      chunks.push(chunk as Buffer)
    }
  } catch (error) {
    return failed({ type: 'interrupted', reason: error instanceof Error ? error.message : String(error) })
  }
  return success(Buffer.concat(chunks))
}

/**
 * Reads a JSON answer and checks its shape.
 *
 * @param response - the answer whose body is unread
 * @param schema - the shape that the protocol gives
 * @returns the checked value; `rejected` or `not_started` for an error status, `malformed` for a wrong shape
 */
export const readJson = async <Value>(response: HttpResponse, schema: ZodType<Value>): Promise<Result<Value, CallFailure>> => {
  if (response.status < 200 || response.status > 299) return failed(await readFailure(response))
  const body = await readBody(response, MAX_JSON_BODY_BYTES)
  if (!body.ok) return body
  return decodeJson(body.value.toString('utf8'), schema)
}

/**
 * Parses JSON text and checks its shape.
 *
 * @param text - JSON text from outside
 * @param schema - the shape that the protocol gives
 * @returns the checked value or `malformed`
 */
export const decodeJson = <Value>(text: string, schema: ZodType<Value>): Result<Value, CallFailure> => {
  let parsed: unknown
  try {
    parsed = JSON.parse(text)
  } catch {
    return failed({ type: 'malformed', reason: 'the answer is not JSON' })
  }
  const checked = schema.safeParse(parsed)
  if (checked.success) return success(checked.data)
  const issue = checked.error.issues[0]
  return failed({ type: 'malformed', reason: `field ${issue?.path.join('.') || '(whole)'}: ${issue?.message ?? 'wrong'}` })
}

/**
 * Turns an error answer into a failure. Only the word `started: false` makes it `not_started`.
 *
 * @param response - an answer with an error status and an unread body
 * @returns the failure
 */
export const readFailure = async (response: HttpResponse): Promise<CallFailure> => {
  const body = await readBody(response, MAX_ERROR_BODY_BYTES)
  const error = body.ok ? parseErrorBody(body.value.toString('utf8')) : null
  const retryAfter = parseRetryAfter(response.headers['retry-after'])
  const code = error?.code ?? `http_${response.status}`
  const reason = error?.message ?? `status ${response.status} ${code}`
  const type = error?.started === false ? 'not_started' : 'rejected'
  return { type, status: response.status, code, retryAfter, reason }
}

interface ErrorBody {
  readonly code?: string
  readonly started?: boolean
  readonly message?: string
}

const parseErrorBody = (text: string): ErrorBody | null => {
  try {
    const parsed: unknown = JSON.parse(text)
    const error = (parsed as { error?: unknown } | null)?.error
    if (typeof error === 'string') return { code: error }
    if (typeof error !== 'object' || error === null) return null
    const { code, started, message } = error as Record<string, unknown>
    return {
      code: typeof code === 'string' ? code : undefined,
      started: typeof started === 'boolean' ? started : undefined,
      message: typeof message === 'string' ? message : undefined
    }
  } catch {
    return null
  }
}

const MS_PER_SECOND = 1_000

/**
 * Reads a `Retry-After` header given in seconds.
 *
 * @param header - the header's value
 * @returns milliseconds, or null where there is none or it is no number
 */
export const parseRetryAfter = (header: string | string[] | undefined): number | null => {
  const seconds = Number(Array.isArray(header) ? header[0] : header ?? NaN)
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * MS_PER_SECOND : null
}
