/** What an attempt by way of another node stands for at the node that passes it on. */
import type { BackendServer, RunnerId } from '@bluebellhill/domain'
import { Readiness } from '@bluebellhill/domain'

import { RefusalCause } from '../entry/refusals.js'
import type { RelayPeer } from './RelayPeers.js'

/** Refusals that hold for the other node only: a third one may serve the request, or this one itself. */
const REFUSALS_OF_ONE_NODE: ReadonlySet<RefusalCause> = new Set([
  RefusalCause.Unreachable, RefusalCause.Starting, RefusalCause.Stopping, RefusalCause.UnknownKey, RefusalCause.UnknownRoute,
  RefusalCause.BadRequest, RefusalCause.HeadTooLarge, RefusalCause.BodyTooLarge
])

/**
 * @param peer - node that a request is passed on to
 * @param service - service of the request
 * @returns the node in the place of a server, for the history and the log of the request
 */
export const serverOfPeer = ({ node, address, failureDomain }: RelayPeer, service: string): BackendServer =>
  ({ id: `node:${node}` as RunnerId, service, address, failureDomain, slots: 0, readiness: Readiness.Ready, startedAt: null })

/**
 * @param relayed - why another node has refused a request; null if it is of an earlier build, which passes nothing on
 * @returns the cause in the answer to the caller; null if the request has not run and can be tried elsewhere
 */
export const finalCauseOf = (relayed: string | null): RefusalCause | null => {
  const cause = Object.values(RefusalCause).find((known) => known === relayed) ?? null
  return cause === null || REFUSALS_OF_ONE_NODE.has(cause) ? null : cause
}
