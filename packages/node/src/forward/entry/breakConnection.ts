/** Breaks the connection of a caller so that an incomplete answer does not look complete. */
import type { ServerResponse } from 'node:http'

/**
 * Closes the connection of an answer that will not be complete. A caller that understands no chunks, as one of HTTP/1.0, takes the end of the
 * connection for the end of the answer, so that its connection is reset.
 *
 * @param response - the answer, with or without a part of it sent
 */
export const breakConnection = (response: ServerResponse): void => {
  const { socket } = response
  const isFramed = response.chunkedEncoding || response.hasHeader('content-length')
  if (response.headersSent && !isFramed && socket !== null) socket.resetAndDestroy()
  else response.destroy()
}
