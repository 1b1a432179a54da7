/** Reads the headers that bluebellhill gives a meaning. */
import type { IncomingHttpHeaders } from 'node:http'

import { OutcomeKind } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'

import { RefusedCall } from './errors.js'

/** Time that the caller leaves for its answer, in milliseconds. */
export const DEADLINE_HEADER = 'x-deadline-ms'

const BEARER_PATTERN = /^Bearer +([\x21-\x7e]{1,512})$/i
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/
const WHOLE_NUMBER_PATTERN = /^-?\d{1,12}$/

/**
 * Reads the API key.
 *
 * @param headers - the caller's headers
 * @returns the key
 * @throws RefusedCall where there is none
 */
export const readApiKey = (headers: IncomingHttpHeaders): string => {
  const match = BEARER_PATTERN.exec(headers.authorization ?? '')
  if (match?.[1] === undefined) throw new RefusedCall(OutcomeKind.Unauthorised, 'send "Authorization: Bearer KEY"')
  return match[1]
}

/**
 * Reads the caller's own time limit.
 *
 * @param headers - the caller's headers
 * @returns milliseconds from now, or null where the caller set none
 * @throws RefusedCall where it is no number, or has passed already
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
 * @returns the key, or null
 * @throws RefusedCall where it is too long or holds other than printable characters
 */
export const readIdempotencyKey = (headers: IncomingHttpHeaders): string | null => {
  const key = headers['idempotency-key']
  if (key === undefined) return null
  if (typeof key !== 'string' || !IDEMPOTENCY_KEY_PATTERN.test(key)) {
    throw new RefusedCall(OutcomeKind.BadRequest, 'Idempotency-Key has to be 1 to 255 printable characters without spaces')
  }
  return key
}
