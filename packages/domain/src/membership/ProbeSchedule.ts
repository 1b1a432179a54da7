import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import type { NodeId } from '../types.js'
import { hashText } from './hash.js'
import type { Member } from './types.js'

/**
 * Chooses random items without replacement.
 *
 * @param rng - random number generator
 * @param items - items to choose from
 * @param count - number of items to choose
 * @returns up to `count` different items
 */
export const sample = <Item>(rng: RandomGenerator, items: readonly Item[], count: number): Item[] => {
  const pool = [...items]
  const chosen: Item[] = []
  while (chosen.length < count && pool.length > 0) {
    const index = uniformInt(rng, 0, pool.length - 1)
    chosen.push(pool[index] as Item)
    pool[index] = pool[pool.length - 1] as Item
    pool.pop()
  }
  return chosen
}

const RING_SIZE = 2 ** 32

const ringPosition = (node: NodeId): number => hashText(`ring|${node}`)

/** Chooses the members to probe: in each period the successors in the ring of the own failure domain, and one of all members in shuffled rounds. */
export class ProbeSchedule {
  private remainingOfRound: NodeId[] = []

  constructor (private readonly self: NodeId, private readonly rng: RandomGenerator) {}

  /**
   * Returns the next members in ring order, so that every member has the same number of probers per period.
   *
   * @param domainMembers - members of the own failure domain
   * @param count - number of members to return
   */
  successors (domainMembers: readonly Member[], count: number): Member[] {
    const own = ringPosition(this.self)
    return domainMembers
      .filter((member) => member.node !== this.self)
      .map((member) => ({ member, distance: (ringPosition(member.node) - own + RING_SIZE) % RING_SIZE }))
      .sort((a, b) => a.distance - b.distance || (a.member.node < b.member.node ? -1 : 1))
      .slice(0, count)
      .map(({ member }) => member)
  }

  /**
   * Returns the next member of a shuffled round over all reachable members; a new round starts when the last one is finished.
   *
   * @param reachable - all reachable members
   */
  nextInRound (reachable: readonly Member[]): Member | null {
    const byNode = new Map(reachable.map((member) => [member.node, member]))
    while (this.remainingOfRound.length > 0) {
      const member = byNode.get(this.remainingOfRound.pop() as NodeId)
      if (member !== undefined) return member
    }
    const others = reachable.filter((member) => member.node !== this.self).map((member) => member.node)
    this.remainingOfRound = sample(this.rng, others, others.length)
    const next = this.remainingOfRound.pop()
    return next === undefined ? null : byNode.get(next) ?? null
  }
}
