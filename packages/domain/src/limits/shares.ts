/** Divides the fleet-wide bounds of an organisation among the nodes. */
import type { NodeId } from '../types.js'
import { rendezvousOrder } from '../routing/rendezvous.js'

/** Fraction of a rate that is divided evenly, so that a node whose demand has just started has a share. */
const EVEN_FRACTION = 0.2

/** One node's demand. */
export interface NodeDemand {
  readonly node: NodeId
  readonly demand: number
}

/** One node's demand for concurrent requests. */
export interface ConcurrencyDemand extends NodeDemand {
  /** Requests in progress at the node. */
  readonly held: number
}

/**
 * Computes one node's share of a bound on concurrent requests.
 *
 * All nodes with the same view compute shares that add up to the bound. Each node keeps what its requests in progress use, and
 * the rest of the bound is divided in proportion to the demand beyond that. If more requests are in progress than the bound
 * allows, the bound is divided in proportion to them, so that the excess ends with them. Parts are rounded by the method of
 * highest averages; rendezvous order breaks ties.
 *
 * @param bound - fleet-wide bound
 * @param ownNode - node whose share is computed
 * @param nodes - demands of all live nodes, including `ownNode`
 * @param key - name of the organisation
 * @returns number of concurrent requests
 */
export const shareOfConcurrency = (bound: number, ownNode: NodeId, nodes: readonly ConcurrencyDemand[], key: string): number => {
  const held = nodes.reduce((sum, node) => sum + node.held, 0)
  if (held > bound) return divide(bound, ownNode, nodes.map((each) => ({ node: each.node, weight: each.held })), key)
  const ownHeld = nodes.find(({ node }) => node === ownNode)?.held ?? 0
  return ownHeld + divide(bound - held, ownNode, nodes.map((each) => ({ node: each.node, weight: weightOf(each) })), key)
}

interface NodeWeight {
  readonly node: NodeId
  readonly weight: number
}

/**
 * Divides a whole number in proportion to weights by the method of highest averages: each unit goes to the node with the highest
 * weight for one more unit. A node never gets more because its weight falls or another one's rises. Returns the part of one node.
 */
const divide = (count: number, ownNode: NodeId, nodes: readonly NodeWeight[], key: string): number => {
  const order = rendezvousOrder(key, nodes.map(({ node }) => node))
  const ranks = new Map(order.map((node, index) => [node, index]))
  const total = nodes.reduce((sum, { weight }) => sum + weight, 0)
  const parts = nodes.map(({ node, weight }) => ({ node, weight, units: total > 0 ? Math.floor(count * weight / total) : 0 })).sort((a, b) => ranks.get(a.node)! - ranks.get(b.node)!)
  const assigned = parts.reduce((sum, { units }) => sum + units, 0)
  for (let unit = assigned; unit < count; unit += 1) {
    const next = parts.reduce((best, part) => part.weight * (best.units + 1) > best.weight * (part.units + 1) ? part : best)
    next.units += 1
  }
  return parts.find(({ node }) => node === ownNode)?.units ?? 0
}

/**
 * Computes one node's share of a bound that is divided evenly; it is the one of `shareOfConcurrency` without any demand.
 *
 * @param bound - fleet-wide bound
 * @param rank - position of the node in rendezvous order, from 0
 * @param count - number of nodes
 * @returns number of concurrent requests
 */
export const evenShare = (bound: number, rank: number, count: number): number => Math.floor((bound + count - 1 - rank) / count)

/**
 * Computes one node's share of a rate, mostly in proportion to demand.
 *
 * @param bound - fleet-wide rate
 * @param ownNode - node whose share is computed
 * @param nodes - demands of all live nodes, including `ownNode`
 * @returns rate in the unit of `bound`
 */
export const shareOfRate = (bound: number, ownNode: NodeId, nodes: readonly NodeDemand[]): number => {
  const total = nodes.reduce((sum, { demand }) => sum + demand, 0)
  const ownDemand = nodes.find(({ node }) => node === ownNode)
  if (ownDemand === undefined || nodes.length === 0) return 0
  const evenShare = bound / nodes.length
  return total <= 0 ? evenShare : EVEN_FRACTION * evenShare + (1 - EVEN_FRACTION) * bound * ownDemand.demand / total
}

/** Returns the demand beyond the requests in progress, and at least 0.25, so that nodes without demand get a share for their first requests. */
const weightOf = ({ demand, held }: ConcurrencyDemand): number => Math.max(demand - held, 0.25)
