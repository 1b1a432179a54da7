/** Ranks the nodes of a group as its schedulers, with the same result on every node. */
import { hashText } from '../membership/hash.js'
import type { FailureDomain, NodeId } from '../types.js'

const RANKING_KEY = 'scheduler'

/** A node that may schedule for its group. */
export interface SchedulerCandidate {
  readonly node: NodeId
  /** `ip:port` at which it receives datagrams. */
  readonly address: string
  readonly failureDomain: FailureDomain
  /** Processor time that its VM provides, in cores of the usual speed. */
  readonly processor: number
}

/**
 * Ranks by processor time, since a scheduler decides for all other nodes, and nodes with the same by their hash. The removal of
 * a node does not change the order of the others.
 *
 * @param candidates - nodes of one group
 * @returns the nodes, the preferred scheduler first
 */
export const rankSchedulers = (candidates: Iterable<SchedulerCandidate>): SchedulerCandidate[] =>
  [...candidates]
    .map((candidate) => ({ candidate, hash: hashText(`${RANKING_KEY}\u0000${candidate.node}`) }))
    .sort((a, b) => b.candidate.processor - a.candidate.processor || b.hash - a.hash || (a.candidate.node < b.candidate.node ? -1 : 1))
    .map(({ candidate }) => candidate)
