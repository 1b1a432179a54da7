/** Encodes the demands of one node for its limits as one gossip value and decodes them. */
import { hashText } from '@bluebellhill/domain'
import type { LimitDemand, NodeId, OrganisationId } from '@bluebellhill/domain'
import { gossipWire } from '@bluebellhill/protocol'

const RATE_UNIT_TOKENS_PER_SECOND = 100

/**
 * Encodes the demands of this node.
 *
 * @param demands - one for each limit that is in use on this node
 */
export const encodeDemands = (demands: readonly LimitDemand[]): Uint8Array => gossipWire.LimitDemands.encode({
  limits: demands.map(({ organisation }) => hashText(organisation)),
  held: demands.map(({ held }) => held),
  concurrent: demands.map(({ concurrent }) => concurrent),
  tokenRate: demands.map(({ tokensPerSecond }) => Math.ceil(tokensPerSecond / RATE_UNIT_TOKENS_PER_SECOND)),
  claims: demands.map(({ claim }) => claim === undefined ? 0 : claim + 1)
}).finish()

/**
 * Decodes the demand for one limit from another node's gossip value.
 *
 * @param limit - name of the limit
 * @param node - the other node
 * @param bytes - contents of the gossip value
 * @returns the demand, or null if the value has none for this limit
 */
export const decodeDemand = (limit: OrganisationId, node: NodeId, bytes: Uint8Array): LimitDemand | null => {
  const columns = decodeColumns(bytes)
  const row = columns?.limits.indexOf(hashText(limit)) ?? -1
  if (columns === null || row < 0) return null
  const claimPlusOne = columns.claims[row] ?? 0
  return {
    organisation: limit,
    node,
    held: columns.held[row] ?? 0,
    concurrent: columns.concurrent[row] ?? 0,
    tokensPerSecond: (columns.tokenRate[row] ?? 0) * RATE_UNIT_TOKENS_PER_SECOND,
    ...(claimPlusOne === 0 ? {} : { claim: claimPlusOne - 1 })
  }
}

/**
 * Rounds a demand to the precision of the encoding, so that all nodes divide a limit by the same numbers.
 *
 * @param demand - this node's demand
 */
export const roundDemand = (demand: LimitDemand): LimitDemand =>
  ({ ...demand, tokensPerSecond: Math.ceil(demand.tokensPerSecond / RATE_UNIT_TOKENS_PER_SECOND) * RATE_UNIT_TOKENS_PER_SECOND })

const decodeColumns = (bytes: Uint8Array): gossipWire.LimitDemands | null => {
  try {
    return gossipWire.LimitDemands.decode(bytes)
  } catch {
    return null
  }
}
