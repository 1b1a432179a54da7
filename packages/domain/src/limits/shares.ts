/** Division of a fleet-wide bound among nodes. */
import type { NodeId } from '../types.js'
import { rendezvousOrder } from '../routing/rendezvous.js'

/** Part of a rate that is divided evenly, so that a node where demand begins is not without any. */
const EVEN_PART = 0.2

/** One node's demand of a rate. */
export interface NodeDemand {
  readonly node: NodeId
  readonly demand: number
}

/** One node's demand of places. */
export interface PlaceDemand extends NodeDemand {
  /** Places in use, which are never given to another node. */
  readonly held: number
}

/**
 * A node's part of a whole number of places.
 *
 * All nodes with the same view compute parts that add up to the bound. Places in use stay where they are; the others
 * go by the demand beyond them, the largest remainders first, ties by rendezvous order.
 *
 * @param bound - places of the fleet
 * @param own - the node
 * @param nodes - demands of all live nodes, its own included
 * @param key - name of the organisation
 */
export const shareOfPlaces = (bound: number, own: NodeId, nodes: readonly PlaceDemand[], key: string): number => {
  const held = nodes.reduce((sum, node) => sum + node.held, 0)
  const free = Math.max(0, bound - held)
  const total = nodes.reduce((sum, node) => sum + weightOf(node), 0)
  const order = new Map(rendezvousOrder(key, nodes.map(({ node }) => node)).map((node, index) => [node, index]))
  const exact = nodes.map((each) => ({ ...each, part: free * weightOf(each) / total }))
  const left = free - exact.reduce((sum, { part }) => sum + Math.floor(part), 0)
  const byRemainder = [...exact].sort((a, b) => (b.part % 1) - (a.part % 1) || order.get(a.node)! - order.get(b.node)!)
  const raised = byRemainder.slice(0, left).some(({ node }) => node === own)
  const mine = exact.find(({ node }) => node === own)
  return mine === undefined ? 0 : mine.held + Math.floor(mine.part) + (raised ? 1 : 0)
}

/**
 * A node's part of a rate.
 *
 * @param bound - rate of the fleet
 * @param own - the node
 * @param nodes - demands of all live nodes, its own included
 */
export const shareOfRate = (bound: number, own: NodeId, nodes: readonly NodeDemand[]): number => {
  const total = nodes.reduce((sum, { demand }) => sum + demand, 0)
  const mine = nodes.find(({ node }) => node === own)
  if (mine === undefined || nodes.length === 0) return 0
  const even = bound / nodes.length
  return total <= 0 ? even : EVEN_PART * even + (1 - EVEN_PART) * bound * mine.demand / total
}

/** Demand beyond what is held; a node without any still weighs a little, so that places are left where it may begin. */
const weightOf = ({ demand, held }: PlaceDemand): number => Math.max(demand - held, 0.25)
