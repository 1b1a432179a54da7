import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import type { NodeId } from '../types.js'
import { hashText } from './hash.js'
import type { Member } from './types.js'

/**
 * @param rng - seeded generator
 * @param items - items to choose from
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

/** Whom to probe: the successors in the own failure domain's ring each period, and every member in shuffled rounds. */
export class ProbeSchedule {
  private remainingOfRound: NodeId[] = []

  constructor (private readonly self: NodeId, private readonly rng: RandomGenerator) {}

  /**
   * The next members in ring order, so that each member has as many probers a period.
   *
   * @param domainMembers - members of the own failure domain
   * @param count - how many
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
   * The next member of a shuffled round over all; a new round starts when one is through.
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
