/** Reads JSON responses of bounded size and converts error responses into failures. */
import { MAX_JSON_BODY_BYTES, MAX_ERROR_BODY_BYTES } from './constants.js'
import { BoundedBuffer } from './BoundedBuffer.js'
import { failed, success } from '../result.js'
import type { CallFailure } from '../errors.js'
import type { HttpResponse } from './HttpPool.js'
import type { Result } from '../result.js'
import type { ZodType } from 'zod'

/**
 * Reads a response body of at most `limit` bytes.
 *
 * @param response - response with an unread body
 * @param limit - maximum number of bytes; a longer body closes the connection
 * @returns the body, or `malformed` if it is too long, or `interrupted` if the connection broke
 */
export const readBody = async (response: HttpResponse, limit: number): Promise<Result<Buffer, CallFailure>> => {
  const body = new BoundedBuffer(limit)
  try {
    for await (const chunk of response.body) {
      if (!body.append(chunk as Buffer)) return failed({ type: 'malformed', reason: `the response body is longer than ${limit} bytes` })
    }
  } catch (error) {
    return failed({ type: 'interrupted', reason: error instanceof Error ? error.message : String(error) })
  }
  return success(body.take())
}

/**
 * Reads a JSON response and validates it.
 *
 * @param response - response with an unread body
 * @param schema - schema of the body
 * @returns the output of the schema; `rejected` or `not_started` for an error status, `malformed` for an invalid body
 */
export const readJson = async <Value>(response: HttpResponse, schema: ZodType<Value>): Promise<Result<Value, CallFailure>> => {
  if (response.status < 200 || response.status > 299) return failed(await readFailure(response))
  const body = await readBody(response, MAX_JSON_BODY_BYTES)
  if (!body.ok) return body
  return decodeJson(body.value.toString('utf8'), schema)
}

/**
 * Parses JSON and validates it.
 *
 * @param text - JSON from a response
 * @param schema - schema of the content
 * @returns the output of the schema, or `malformed`
 */
export const decodeJson = <Value>(text: string, schema: ZodType<Value>): Result<Value, CallFailure> => {
  let parsed: unknown
  try {
    parsed = JSON.parse(text)
  } catch {
    return failed({ type: 'malformed', reason: 'the response is not JSON' })
  }
  const checked = schema.safeParse(parsed)
  if (checked.success) return success(checked.data)
  const issue = checked.error.issues[0]
  return failed({ type: 'malformed', reason: `field ${issue?.path.join('.') || '(whole)'}: ${issue?.message ?? 'invalid'}` })
}

/**
 * Converts an error response into a failure. It is `not_started` only if the error body contains `started: false`, otherwise `rejected`.
 *
 * @param response - response with an error status and an unread body
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
 * Parses a `Retry-After` header, which is a number of seconds or a date.
 *
 * @param header - value of the header
 * @param now - wall-clock time in milliseconds
 * @returns milliseconds from now; null if the header is missing, negative or neither a number nor a date
 */
export const parseRetryAfter = (header: string | string[] | undefined, now = Date.now()): number | null => {
  const text = (Array.isArray(header) ? header[0] : header ?? '')?.trim() ?? ''
  if (text === '') return null
  const seconds = Number(text)
  if (!Number.isNaN(seconds)) return seconds >= 0 && Number.isFinite(seconds) ? seconds * MS_PER_SECOND : null
  const date = Date.parse(text)
  return Number.isNaN(date) ? null : Math.max(0, date - now)
}
