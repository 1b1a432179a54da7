/** Writes JSON responses and error responses to callers. */
import type { ServerResponse } from 'node:http'

import type { Outcome } from '@bluebellhill/domain'
import { codeOf, errorBody, errorHeaders } from '@bluebellhill/protocol'

/**
 * Writes a JSON response and ends it.
 *
 * @param response - the response; nothing is written if the caller has disconnected or the response has ended
 * @param status - the HTTP status
 * @param body - the value to encode as JSON
 */
export const writeJson = (response: ServerResponse, status: number, body: object): void => {
  if (response.destroyed || response.writableEnded) return
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/**
 * Writes an error response with its numbered code.
 *
 * @param response - the response; nothing is written if its headers were sent
 * @param outcome - the outcome of the request
 * @param requestId - the id of the request
 */
export const writeFailure = (response: ServerResponse, outcome: Outcome, requestId: string): void => {
  if (response.destroyed || response.headersSent) return
  const headers = errorHeaders(outcome, requestId)
  for (const [name, value] of Object.entries(headers)) response.setHeader(name, value)
  writeJson(response, codeOf(outcome.kind).status, errorBody(outcome, requestId))
}
