/** Reads on what a caller still sends after its call was answered, so that it can read the answer. */
import type { IncomingMessage } from 'node:http'

/** Longest time to read on, in milliseconds. */
const DISCARD_TIMEOUT_MS = 10_000

/** Most bytes to read on. */
const MAX_DISCARDED_BYTES = 128 * 1_048_576

/**
 * Discards the rest of a body. A connection that was closed at once would be reset under a caller that still writes, and the
 * answer would be lost with it; a caller that sends too much or too slowly is cut off all the same.
 *
 * @param request - a call whose answer has been written
 */
export const discardBody = (request: IncomingMessage): void => {
  let bytes = 0
  const timer = setTimeout(() => request.destroy(), DISCARD_TIMEOUT_MS)
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes > MAX_DISCARDED_BYTES) request.destroy()
  })
  request.once('close', () => clearTimeout(timer))
  request.resume()
}
