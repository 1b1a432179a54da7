/** Checks the heads of backend servers' answers, and prepares their headers for the caller. */
import type { AnswerHeaders } from '@bluebellhill/platform'
import { isHttpStatus } from '@bluebellhill/services'

import type { OpenAttempt } from './types.js'

/** Lowest HTTP status that does not count as a success. */
export const FIRST_FAILURE_STATUS = 300

/**
 * @param attempt - an attempt in progress
 * @returns whether the head of a successful answer has arrived
 */
export const isSuccessfulAnswer = ({ head, answer }: OpenAttempt): boolean =>
  head !== null && answer !== null && head.status < FIRST_FAILURE_STATUS && !answer.notRun

/**
 * @param answer - decoded headers of the answer
 * @param status - HTTP status of the answer
 * @param request - id of the request
 * @returns why this cannot be the unchanged answer of a backend server to this request; null if it can
 */
export const findAnswerProblem = (answer: AnswerHeaders, status: number, request: string): string | null => {
  if (!isHttpStatus(status)) return `status ${status} is none of HTTP`
  if (isOfOtherRequest(answer, request)) return 'the answer belongs to another request'
  if (answer.notRun) return null
  if (!answer.isSigned) return `status ${status} without a signature`
  if (answer.isEncoded) return 'the body was encoded in transit'
  return null
}

/**
 * @param answer - decoded headers of an answer
 * @param request - id of the request that it should belong to
 * @returns whether it belongs to another one, as a refusal that a faulty server writes again; only a refusal may name no request
 */
export const isOfOtherRequest = ({ attemptId, notRun }: AnswerHeaders, request: string): boolean =>
  attemptId !== request && !(notRun && attemptId === null)

/**
 * @param headers - alternating names and values
 * @param length - length of the complete body, in bytes
 * @returns the headers with `content-length` set to this length
 */
export const withContentLength = (headers: readonly string[], length: number): string[] => {
  const kept: string[] = []
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() !== 'content-length') kept.push(headers[index] ?? '', headers[index + 1] ?? '')
  }
  kept.push('content-length', String(length))
  return kept
}
