/** Answers to bytes that are no HTTP, which the server's parser turns away before there is a request. */
import { OutcomeKind, Ran } from '@bluebellhill/domain'
import type { Outcome } from '@bluebellhill/domain'
import { codeOf, errorBody, errorHeaders } from '@bluebellhill/protocol'

const DETAIL_BY_PARSER_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: 'the headers are too long',
  ERR_HTTP_REQUEST_TIMEOUT: 'the headers came too slowly'
}

/**
 * Describes what the parser turned away.
 *
 * @param code - the parser's error code
 * @returns the outcome that the caller is told
 */
export const outcomeOfParserError = (code: string | undefined): Outcome =>
  ({ kind: OutcomeKind.BadRequest, ran: Ran.No, detail: DETAIL_BY_PARSER_ERROR[code ?? ''] ?? 'the request does not follow HTTP/1.1' })

/**
 * Writes a whole HTTP answer, for a connection without a request.
 *
 * @param outcome - what the caller is told
 * @param requestId - the id that the answer carries
 * @returns status line, headers and body
 */
export const rawHttpResponse = (outcome: Outcome, requestId: string): string => {
  const body = JSON.stringify(errorBody(outcome, requestId))
  const headers = { ...errorHeaders(outcome, requestId), 'content-length': String(Buffer.byteLength(body)), connection: 'close' }
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`)
  return [`HTTP/1.1 ${codeOf(outcome.kind).status} Refused`, ...lines, '', body].join('\r\n')
}
