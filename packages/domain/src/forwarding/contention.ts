/** Accounts for assignments that other nodes make at the same moment and that this node has not received yet. */
import { hashText } from '../membership/hash.js'
import type { NodeId, RunnerId } from '../types.js'
import { ASSIGNMENT_DELAY, CONTENDED_ENGINES } from './placementConstants.js'

const HASH_RANGE = 2 ** 32
const MS_PER_SECOND = 1_000

/**
 * Ranks otherwise equal engines; every node has a different ranking.
 *
 * @param node - the node that chooses
 * @param engine - an engine
 * @returns rank from 0 to 1; the lowest rank is chosen first
 */
export const tieBreakRank = (node: NodeId, engine: RunnerId): number => hashText(`${node}\u0000${engine}`) / HASH_RANGE

/**
 * Assumes that the number of unknown requests on an engine has a Poisson distribution.
 *
 * @param freeSlots - free slots of the engine according to the known assignments
 * @param arrivalsPerSecond - requests per second of all nodes
 * @returns the probability that unknown requests occupy all of the free slots
 */
export const noFreeSlotProbability = (freeSlots: number, arrivalsPerSecond: number): number => {
  const expectedUnseen = arrivalsPerSecond * ASSIGNMENT_DELAY / MS_PER_SECOND / CONTENDED_ENGINES
  let probability = Math.exp(-expectedUnseen)
  let fewerProbability = 0
  // The number of slots is the server's own word; further terms no longer change the sum.
  for (let arrivals = 0; arrivals < freeSlots && probability > 0; arrivals += 1) {
    fewerProbability += probability
    probability *= expectedUnseen / (arrivals + 1)
  }
  return 1 - fewerProbability
}
