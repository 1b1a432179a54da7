/** Writes JSON responses and refusals. */
import type { ServerResponse } from 'node:http'

import type { Outcome } from '@bluebellhill/domain'
import { codeOf, errorBody, errorHeaders } from '@bluebellhill/protocol'

/**
 * Writes a JSON response and ends it.
 *
 * @param response - the response; left alone where the caller has gone
 * @param status - the HTTP status
 * @param body - what is written as JSON
 */
export const writeJson = (response: ServerResponse, status: number, body: object): void => {
  if (response.destroyed || response.writableEnded) return
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/**
 * Writes a refusal or a failure with its numbered code.
 *
 * @param response - the response, whose headers have not left yet
 * @param outcome - how the request ended
 * @param requestId - the request's identifier
 */
export const writeFailure = (response: ServerResponse, outcome: Outcome, requestId: string): void => {
  if (response.destroyed || response.headersSent) return
  const headers = errorHeaders(outcome, requestId)
  for (const [name, value] of Object.entries(headers)) response.setHeader(name, value)
  writeJson(response, codeOf(outcome.kind).status, errorBody(outcome, requestId))
}
