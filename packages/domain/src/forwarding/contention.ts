/** Choices that other nodes make in the same instant, and that this node cannot know of yet. */
import { hashText } from '../membership/hash.js'
import type { NodeId, RunnerId } from '../types.js'
import { ASSIGNMENT_DELAY, CONTENDED_ENGINES } from './placementConstants.js'

const HASH_RANGE = 2 ** 32
const MS_PER_SECOND = 1_000

/**
 * The order in which a node prefers engines that are alike otherwise; each node has another one.
 *
 * @param node - a node
 * @param engine - an engine
 * @returns from 0 for the engine that it likes best to 1
 */
export const tieBreakRank = (node: NodeId, engine: RunnerId): number => hashText(`${node}\u0000${engine}`) / HASH_RANGE

/**
 * @param freeSlots - free places of an engine, as far as this node knows
 * @param arrivalsPerSecond - requests of all nodes
 * @returns the chance that unseen requests have taken all of them
 */
export const noFreeSlotProbability = (freeSlots: number, arrivalsPerSecond: number): number => {
  const expectedUnseen = arrivalsPerSecond * ASSIGNMENT_DELAY / MS_PER_SECOND / CONTENDED_ENGINES
  let probability = Math.exp(-expectedUnseen)
  let fewerProbability = 0
  for (let arrivals = 0; arrivals < freeSlots; arrivals += 1) {
    fewerProbability += probability
    probability *= expectedUnseen / (arrivals + 1)
  }
  return 1 - fewerProbability
}
