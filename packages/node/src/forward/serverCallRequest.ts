/** Builds the request of one attempt at a backend server. */
import type { Millis, RunnerId } from '@bluebellhill/domain'
import { encodeForwardedHeaders } from '@bluebellhill/platform'

import type { AdmittedCall } from './AdmittedCall.js'
import { CONNECT_TIMEOUT } from './backend/constants.js'
import type { ServerCallRequest } from './backend/ServerCall.js'
import { LEAST_URGENCY } from './entry/admit.js'
import { encodeRelayRequest } from './relay/relayHeaders.js'
import type { RelayedRequest } from './relay/relayHeaders.js'
import type { PlacedAttempt } from './scheduling/types.js'
import type { OpenAttempt } from './types.js'

/**
 * @param call - the caller's request
 * @param attempt - the attempt
 * @param lastEventId - id of the last event that the caller has received; null if there is none
 * @param now - current time
 * @returns the request to the server of the attempt
 */
export const serverCallRequest = (call: AdmittedCall, attempt: OpenAttempt, lastEventId: string | null, now: Millis): ServerCallRequest => {
  const { server, placed } = attempt
  if (placed === null) throw new Error('the attempt is placed by another node')
  const { choice } = placed
  const headers = encodeForwardedHeaders(call.headers, {
    deadline: call.deadlineAt - now,
    expectedServer: server.id,
    organisation: call.organisation,
    urgency: call.service.engine === null ? null : urgencyOf(call, placed),
    helpers: choice.helpers.map(({ id, address }) => ({ address, reservation: reservationIdFor(attempt, placed, id) })),
    lastEventId
  })
  return { address: server.address, method: call.method, path: call.path, headers, body: call.body, connectTimeout: CONNECT_TIMEOUT }
}

/**
 * @param relayed - the caller's request, and what another node needs to handle it
 * @param address - `ip:port` of that node
 * @returns the request to that node
 */
export const relayCallRequest = (relayed: RelayedRequest, address: string): ServerCallRequest => {
  const { call: { method, path, body } } = relayed
  return { address, method, path, headers: encodeRelayRequest(relayed), body, connectTimeout: CONNECT_TIMEOUT }
}

const urgencyOf = ({ urgency }: AdmittedCall, { choice }: PlacedAttempt): number => choice.isDeferred ? LEAST_URGENCY : urgency

const reservationIdFor = ({ reservations }: OpenAttempt, { choice }: PlacedAttempt, id: RunnerId): string | null =>
  choice.holders.some(({ server }) => server.id === id) ? reservations?.id ?? null : null
