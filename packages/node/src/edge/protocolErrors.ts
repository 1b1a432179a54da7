/** Builds answers to bytes that the HTTP parser of Node.js rejects, for which there is no request object. */
import { OutcomeKind, Ran } from '@bluebellhill/domain'
import type { Outcome } from '@bluebellhill/domain'
import { codeOf, errorBody, errorHeaders } from '@bluebellhill/protocol'

const DETAIL_BY_PARSER_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: 'the headers are too long',
  ERR_HTTP_REQUEST_TIMEOUT: 'the headers came too slowly'
}

/**
 * Returns the outcome of bytes that the parser rejected.
 *
 * @param code - the error code of the parser
 * @returns the outcome to report to the caller
 */
export const outcomeOfParserError = (code: string | undefined): Outcome =>
  ({ kind: OutcomeKind.BadRequest, ran: Ran.No, detail: DETAIL_BY_PARSER_ERROR[code ?? ''] ?? 'the request does not follow HTTP/1.1' })

/**
 * Encodes a complete HTTP response, for a connection without a request object.
 *
 * @param outcome - the outcome to report to the caller
 * @param requestId - the request id in the response
 * @returns status line, headers and body
 */
export const rawHttpResponse = (outcome: Outcome, requestId: string): string => {
  const body = JSON.stringify(errorBody(outcome, requestId))
  const headers = { ...errorHeaders(outcome, requestId), 'content-length': String(Buffer.byteLength(body)), connection: 'close' }
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`)
  return [`HTTP/1.1 ${codeOf(outcome.kind).status} Refused`, ...lines, '', body].join('\r\n')
}
