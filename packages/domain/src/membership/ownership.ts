/** Determines which node is the dispatcher of a runner, by rendezvous hashing. */
import type { NodeId, RunnerId } from '../types.js'
import { acceptsNewWork } from './precedence.js'
import type { Member } from './types.js'

/** Evenly distributed 32-bit hash of a text. */
export type TextHash = (text: string) => number

/**
 * Finds the dispatcher of a runner: each node has a weight for each runner, and the node with the greatest weight wins.
 *
 * A runner gets another dispatcher only when its dispatcher becomes unreachable, left or leaving, or when a node with a
 * greater weight joins or returns. A suspected dispatcher keeps its runners, so that a refuted suspicion moves none. While
 * members disagree, two nodes may be dispatcher of one runner; both then only overcommit its queue, and the engine's own
 * answer is final.
 *
 * @param runner - runner whose dispatcher is determined
 * @param members - members of the runner's failure domain
 * @param hash - 32-bit hash
 * @returns the dispatcher, or null if no member accepts new work
 */
export const ownerOf = (runner: RunnerId, members: readonly Member[], hash: TextHash): NodeId | null => {
  let best: NodeId | null = null
  let bestWeight = -1
  for (const member of members) {
    if (!acceptsNewWork(member)) continue
    const weight = hash(`${member.node}|${runner}`)
    if (weight < bestWeight || (weight === bestWeight && best !== null && member.node > best)) continue
    best = member.node
    bestWeight = weight
  }
  return best
}

/**
 * Ranks members for a topic by rendezvous hashing.
 *
 * @param topic - name for which the members are ranked
 * @param members - candidates
 * @param count - number of members to return
 * @param hash - 32-bit hash
 * @returns the members with the greatest weights, in descending order
 */
export const highestRanked = (topic: string, members: readonly Member[], count: number, hash: TextHash): NodeId[] =>
  members
    .filter(acceptsNewWork)
    .map((member) => ({ node: member.node, weight: hash(`${member.node}|${topic}`) }))
    .sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
    .slice(0, count)
    .map(({ node }) => node)
