/** Reads the request bodies of callers within limits of size and time. */
import type { IncomingMessage } from 'node:http'

import { OutcomeKind } from '@bluebellhill/domain'
import { BoundedBuffer } from '@bluebellhill/services'

import { RefusedCall } from './errors.js'

/** Limits for the body of a call. */
export interface BodyLimits {
  readonly bytes: number
  /** Maximum time until the whole body is received, in milliseconds. */
  readonly timeout: number
}

/**
 * Reads a whole body.
 *
 * @param request - the caller's request
 * @param limits - limits of the length and the duration
 * @returns the body
 * @throws RefusedCall if the body is too large or too slow, or the connection closes before its end
 */
export const readBody = async (request: IncomingMessage, limits: BodyLimits): Promise<Buffer> => {
  const declaredLength = Number(request.headers['content-length'] ?? 0)
  if (declaredLength > limits.bytes) throw tooLargeError(limits.bytes)
  const timer = setTimeout(() => request.destroy(), limits.timeout)
  try {
    return await collectBody(request, limits.bytes)
  } finally {
    clearTimeout(timer)
  }
}

const collectBody = async (request: IncomingMessage, limit: number): Promise<Buffer> => {
  const body = new BoundedBuffer(limit)
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      if (!body.append(chunk)) throw tooLargeError(limit)
    }
  } catch (error) {
    if (error instanceof RefusedCall) throw error
    throw new RefusedCall(OutcomeKind.BadRequest, 'the body was cut off or came too slowly')
  }
  return body.take()
}

const tooLargeError = (limit: number): RefusedCall =>
  new RefusedCall(OutcomeKind.TooLarge, `the body is over ${limit} bytes`)
