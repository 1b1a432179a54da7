/** Applies what the heads of answers say of the backend servers themselves. */
import type { BackendServer } from '@bluebellhill/domain'
import type { AnswerHeaders } from '@bluebellhill/platform'

import type { AdmittedCall } from './AdmittedCall.js'
import { isOfOtherRequest } from './answerHeads.js'
import type { ForwardingContext } from './types.js'

const MISDIRECTED_REQUEST = 421

/**
 * Records what a server states in its answer. An answer to another request, or of another server at the same address, says nothing of the
 * server that was asked.
 *
 * @param context - receives the statement
 * @param call - the request
 * @param server - backend server that was asked
 * @param status - HTTP status of the answer
 * @param answer - decoded headers of the answer
 */
export const recordStatements = ({ placement }: ForwardingContext, call: AdmittedCall, server: BackendServer, status: number, answer: AnswerHeaders): void => {
  if (status === MISDIRECTED_REQUEST || isOfOtherRequest(answer, call.id)) return
  const { statement, warmUpLeft, pause } = answer
  placement.answers.received(server, statement, call.id)
  if (warmUpLeft !== null) placement.answers.warmUpStated(server, warmUpLeft, call.id)
  if (pause !== null) placement.answers.pauseRequested(server, pause, call.id)
}

/**
 * @param server - backend server that was asked
 * @param status - HTTP status of the answer
 * @param answer - decoded headers of the answer
 * @returns whether another server has taken its address
 */
export const isOfOtherServer = (server: BackendServer, status: number, answer: AnswerHeaders): boolean =>
  status === MISDIRECTED_REQUEST && answer.server !== server.id
