/** Tells why bytes are no request that can be served, and answers them. */
import { STATUS_CODES } from 'node:http'
import type { Socket } from 'node:net'

import { RefusalCause, refusalStatus } from './refusals.js'

/** Codes of the errors of Node.js. */
const HEAD_OVERFLOW = 'HPE_HEADER_OVERFLOW'
const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT'

/** @returns the error for a head that is too large before it is complete, as the HTTP parser would report it */
export const headTooLarge = (): NodeJS.ErrnoException => Object.assign(new Error('an incomplete head beyond the limit'), { code: HEAD_OVERFLOW })

/**
 * @param error - error of the HTTP parser, or of the check for late heads
 * @returns why the request is refused
 */
export const malformedCause = ({ code }: NodeJS.ErrnoException): RefusalCause => {
  if (code === HEAD_OVERFLOW) return RefusalCause.HeadTooLarge
  return code === HEAD_TIMEOUT ? RefusalCause.HeadTimeout : RefusalCause.BadRequest
}

/**
 * Answers bytes that are not a valid HTTP request; other connections are not affected.
 *
 * @param cause - why they are refused
 * @param socket - their connection, which ends
 */
export const answerMalformed = (cause: RefusalCause, socket: Socket): void => {
  const status = refusalStatus(cause)
  socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`)
}
