/** Reads the bodies of callers. */
import type { IncomingMessage } from 'node:http'

import { OutcomeKind } from '@bluebellhill/domain'

import { RefusedCall } from './errors.js'

/** Bounds of a caller's body. */
export interface BodyLimits {
  readonly bytes: number
  /** Time for the whole body, in milliseconds. */
  readonly timeout: number
}

/**
 * Reads a body whole.
 *
 * @param request - the caller's request
 * @param limits - bounds of its length and its time
 * @returns the body
 * @throws RefusedCall where the body is over the limit, too slow or cut off
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
  const chunks: Buffer[] = []
  let length = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length
      if (length > limit) throw tooLargeError(limit)
      chunks.push(chunk)
    }
  } catch (error) {
    if (error instanceof RefusedCall) throw error
    throw new RefusedCall(OutcomeKind.BadRequest, 'the body was cut off or came too slowly')
  }
  return Buffer.concat(chunks, length)
}

const tooLargeError = (limit: number): RefusedCall =>
  new RefusedCall(OutcomeKind.TooLarge, `the body is over ${limit} bytes`)
