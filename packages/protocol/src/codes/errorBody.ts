/** Answers to callers for outcomes that are not a whole answer. */
import { Ran } from '@bluebellhill/domain'
import type { Outcome } from '@bluebellhill/domain'

import { codeOf } from './resultCodes.js'
import { ErrorType } from './types.js'
import type { ErrorBody, ResultCode } from './types.js'

const MILLIS_PER_SECOND = 1_000

/** Longest detail that an error message repeats, in characters. */
const MAX_DETAIL_LENGTH = 300

const CALLER_TYPES: readonly ErrorType[] = [ErrorType.InvalidRequest, ErrorType.Authentication, ErrorType.Conflict]

const retryAfterOf = (code: ResultCode, outcome: Outcome): number | null => {
  if (!code.retry || outcome.retryAfter === undefined) return null
  return Math.max(0, Math.ceil(outcome.retryAfter))
}

const messageOf = (code: ResultCode, outcome: Outcome): string => {
  if (outcome.detail === undefined || !CALLER_TYPES.includes(code.type)) return code.sentence
  return `${code.sentence} (${outcome.detail.slice(0, MAX_DETAIL_LENGTH)})`
}

/**
 * Builds the body of an error answer. The outcome's detail is repeated only where the caller has to mend the request;
 * elsewhere it stays in the time line.
 *
 * @param outcome - how the request ended
 * @param requestId - the request's id, so that an operator can find its path
 * @returns the body in the shape of the OpenAI interface
 */
export const errorBody = (outcome: Outcome, requestId: string): ErrorBody => {
  const code = codeOf(outcome.kind)
  return {
    error: {
      message: messageOf(code, outcome),
      type: code.type,
      code: code.name,
      number: code.number,
      ran: outcome.ran,
      request_id: requestId,
      retry_after_ms: retryAfterOf(code, outcome)
    }
  }
}

/**
 * Builds the headers of an error answer. `x-should-retry` tells the official OpenAI clients whether to send the request
 * again by themselves: only where it did not run and a later try can help.
 *
 * @param outcome - how the request ended
 * @param requestId - the request's id
 * @returns header names in lower case with their values
 */
export const errorHeaders = (outcome: Outcome, requestId: string): Record<string, string> => {
  const code = codeOf(outcome.kind)
  const retryAfter = retryAfterOf(code, outcome)
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'x-request-id': requestId,
    'x-ran': outcome.ran,
    'x-should-retry': String(code.retry && outcome.ran === Ran.No)
  }
  if (retryAfter !== null) headers['retry-after'] = String(Math.ceil(retryAfter / MILLIS_PER_SECOND))
  return headers
}

/**
 * Tells whether an outcome carries a `ran` that its kind allows.
 *
 * @param outcome - the outcome to check
 * @returns true where the table allows the pair
 */
export const isTruthful = (outcome: Outcome): boolean => codeOf(outcome.kind).ran.includes(outcome.ran)
