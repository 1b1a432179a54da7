/** Encodes the evacuated failure domains for other nodes, and decodes them. */
import { eraOf, isStoreRevision, revisionInEra, storeRevision } from '@bluebellhill/domain'
import type { EvacuationState, FailureDomain } from '@bluebellhill/domain'
import type { fleetWire } from '@bluebellhill/protocol'

import { toUint32, toUint64 } from './wireNumbers.js'

/** @returns the wire form; undefined if other nodes need not know of evacuations */
export const encodeEvacuations = (state: EvacuationState | null): fleetWire.Evacuations | undefined =>
  state === null ? undefined : { revision: toUint64(revisionInEra(state.revision)), eraPlusOne: toUint32(eraOf(state.revision) + 1), failureDomains: [...state.failureDomains] }

/** @returns the state; null if the other node tells nothing of evacuations, or states a revision that no store gives out */
export const decodeEvacuations = (wire: fleetWire.Evacuations | undefined): EvacuationState | null => {
  if (wire === undefined || !isStoreRevision(wire.eraPlusOne - 1, Number(wire.revision))) return null
  return { revision: storeRevision(wire.eraPlusOne - 1, Number(wire.revision)), failureDomains: wire.failureDomains as FailureDomain[] }
}
