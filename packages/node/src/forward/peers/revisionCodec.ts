/** Encodes revisions of the platform's store for other nodes, and decodes them. Nodes of earlier builds send no era. */
import { eraOf, isStoreRevision, revisionInEra, storeRevision } from '@bluebellhill/domain'
import type { StoreRevision } from '@bluebellhill/domain'

import { toUint32, toUint64 } from './wireNumbers.js'

/** Revision of the list of backend servers in a datagram. */
export interface RevisionFields {
  readonly serversRevision: bigint
  /** 0 if the sender does not know eras. */
  readonly serversEraPlusOne: number
}

/** @returns the fields of a datagram for a revision */
export const encodeRevision = (revision: StoreRevision): RevisionFields =>
  ({ serversRevision: toUint64(revisionInEra(revision)), serversEraPlusOne: toUint32(eraOf(revision) + 1) })

/** A node that states a revision which no store gives out has nothing to fetch. */
const NO_REVISION: StoreRevision = 0

/**
 * @param fields - fields of a received datagram
 * @param ownEra - era of the store as this node knows it, which is assumed if the sender knows none
 * @returns the revision
 */
export const decodeRevision = ({ serversRevision, serversEraPlusOne }: RevisionFields, ownEra: number): StoreRevision => {
  const era = serversEraPlusOne === 0 ? ownEra : serversEraPlusOne - 1
  const revision = Number(serversRevision)
  return isStoreRevision(era, revision) ? storeRevision(era, revision) : NO_REVISION
}
