/** Discards the rest of a request body after the call was answered early, so that the caller can read the answer. */
import type { IncomingMessage } from 'node:http'

/** Maximum time for which a body is discarded; then the connection is closed. */
const DISCARD_TIMEOUT_MS = 10_000

/** Maximum number of discarded bytes; then the connection is closed. */
const MAX_DISCARDED_BYTES = 128 * 1_048_576

/**
 * Reads and discards the rest of a body. Closing the connection at once would reset it while the caller still writes, and the
 * caller would lose the answer. The connection of a caller that sends too much or too slowly is closed nevertheless.
 *
 * @param request - a request whose answer has been written
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
