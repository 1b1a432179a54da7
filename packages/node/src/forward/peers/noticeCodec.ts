/** Encodes the statements of backend servers for other nodes, and decodes them. */
import type { Millis, NodeId, RunnerId, ServerNotice } from '@bluebellhill/domain'
import type { fleetWire } from '@bluebellhill/protocol'

import { toAge, toUint64 } from './wireNumbers.js'

/**
 * @param notice - a statement
 * @param now - current time
 * @returns its wire form
 */
export const encodeNotice = ({ server, startedAt, requestLimit, isLeaving, heardBy, heardAt }: ServerNotice, now: Millis): fleetWire.ServerNotice => ({
  server,
  serverStartedAt: toUint64(startedAt ?? 0),
  requestLimit: requestLimit ?? undefined,
  isLeaving,
  heardBy,
  heardAgoMs: toAge(heardAt, now)
})

/**
 * @param wire - a received statement
 * @param now - time of its arrival
 * @returns the statement, on the clock of this node
 * @throws Error if its limit is not a number that a server can state
 */
export const decodeNotice = ({ server, serverStartedAt, requestLimit, isLeaving, heardBy, heardAgoMs }: fleetWire.ServerNotice, now: Millis): ServerNotice => {
  if (requestLimit !== undefined && !(requestLimit >= 0)) throw new Error('the limit of a backend server is not a number from 0')
  return {
    server: server as RunnerId,
    startedAt: serverStartedAt === 0n ? null : Number(serverStartedAt),
    requestLimit: requestLimit ?? null,
    isLeaving,
    heardBy: heardBy as NodeId,
    heardAt: now - heardAgoMs
  }
}
