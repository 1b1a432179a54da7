/** Which node dispatches for a runner. */
import type { NodeId, RunnerId } from '../types.js'
import { acceptsNewWork } from './precedence.js'
import type { Member } from './types.js'

/** A 32-bit hash of a text, evenly spread. */
export type TextHash = (text: string) => number

/**
 * Rendezvous hashing: each node has a weight for each runner and the greatest wins.
 *
 * A runner changes hands only when its dispatcher becomes unreachable, left or leaving, or when a
 * node with a greater weight joins or returns. A suspected dispatcher keeps its runners, so that a
 * refuted suspicion moves nothing. Where members disagree for a while, two nodes may own one
 * runner; both then only overcommit its queue, and the engine's own answer is final.
 *
 * @param runner - runner to find the dispatcher of
 * @param members - members of the runner's failure domain
 * @param hash - 32-bit hash
 * @returns the dispatcher, or null where no member takes new work
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
 * @param topic - what is to be shared out
 * @param members - candidates
 * @param count - number of winners
 * @param hash - 32-bit hash
 * @returns the members with the greatest weights, greatest first
 */
export const highestRanked = (topic: string, members: readonly Member[], count: number, hash: TextHash): NodeId[] =>
  members
    .filter(acceptsNewWork)
    .map((member) => ({ node: member.node, weight: hash(`${member.node}|${topic}`) }))
    .sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
    .slice(0, count)
    .map(({ node }) => node)
