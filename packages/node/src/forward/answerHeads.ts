/** Judges the heads of backend servers' answers, and prepares them for the caller. */
import type { AnswerHeaders } from '@bluebellhill/platform'

import type { OpenAttempt } from './types.js'

/** Statuses from here on are no success. */
export const FIRST_FAILURE_STATUS = 300

/**
 * @param attempt - an attempt in progress
 * @returns whether its answer has begun, and is a success
 */
export const isSuccessfulAnswer = ({ head, answer }: OpenAttempt): boolean =>
  head !== null && answer !== null && head.status < FIRST_FAILURE_STATUS && !answer.notRun

/**
 * @param answer - what the head of an answer says
 * @param status - its status
 * @param request - id of the request
 * @returns why it cannot be the backend server's own answer to this request, or null
 */
export const findAnswerProblem = (answer: AnswerHeaders, status: number, request: string): string | null => {
  if (answer.notRun) return null
  if (answer.attemptId !== request) return 'the answer belongs to another request'
  if (!answer.isSigned) return `status ${status} without a signature`
  if (answer.isEncoded) return 'the body was encoded on the way'
  return null
}

/**
 * @param headers - names and values by turns
 * @param length - bytes of the body, which was read whole
 * @returns headers with this length in place of how the body was framed
 */
export const withContentLength = (headers: readonly string[], length: number): string[] => {
  const kept: string[] = []
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() !== 'content-length') kept.push(headers[index] ?? '', headers[index + 1] ?? '')
  }
  kept.push('content-length', String(length))
  return kept
}
