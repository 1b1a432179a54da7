/** Parses the request headers that callers set: API key, time limit and idempotency key. */
import type { IncomingHttpHeaders } from 'node:http'

import { OutcomeKind } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'

import { RefusedCall } from './errors.js'

/** Header with the time that the caller allows for the answer, in milliseconds. */
export const DEADLINE_HEADER = 'x-deadline-ms'

const BEARER_PATTERN = /^Bearer +([\x21-\x7e]{1,512})$/i
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/
const WHOLE_NUMBER_PATTERN = /^-?\d{1,12}$/

/**
 * Reads the API key.
 *
 * @param headers - the caller's headers
 * @returns the key
 * @throws RefusedCall if there is none
 */
export const readApiKey = (headers: IncomingHttpHeaders): string => {
  const match = BEARER_PATTERN.exec(headers.authorization ?? '')
  if (match?.[1] === undefined) throw new RefusedCall(OutcomeKind.Unauthorised, 'send "Authorization: Bearer KEY"')
  return match[1]
}

/**
 * Reads the time limit that the caller set.
 *
 * @param headers - the caller's headers
 * @returns milliseconds from now, or null if the caller set no limit
 * @throws RefusedCall if the value is not a whole number, or is not positive
 */
export const readTimeLimit = (headers: IncomingHttpHeaders): Millis | null => {
  const text = headers[DEADLINE_HEADER]
  if (text === undefined) return null
  if (typeof text !== 'string' || !WHOLE_NUMBER_PATTERN.test(text)) {
    throw new RefusedCall(OutcomeKind.BadRequest, `${DEADLINE_HEADER} has to be a whole number of milliseconds`)
  }
  const timeLimit = Number(text)
  if (timeLimit <= 0) throw new RefusedCall(OutcomeKind.DeadlinePassed, `${DEADLINE_HEADER} has passed already`)
  return timeLimit
}

/**
 * Reads the idempotency key.
 *
 * @param headers - the caller's headers
 * @returns the key, or null if the header is missing
 * @throws RefusedCall if the key is empty, too long or contains other characters than printable ASCII without spaces
 */
export const readIdempotencyKey = (headers: IncomingHttpHeaders): string | null => {
  const key = headers['idempotency-key']
  if (key === undefined) return null
  if (typeof key !== 'string' || !IDEMPOTENCY_KEY_PATTERN.test(key)) {
    throw new RefusedCall(OutcomeKind.BadRequest, 'Idempotency-Key has to be 1 to 255 printable characters without spaces')
  }
  return key
}
