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

const ringPosition = (node: NodeId): number => hashText(`ring|${node}`)

const isAfter = (a: NodeId, b: NodeId): boolean => {
  const [left, right] = [ringPosition(a), ringPosition(b)]
  return left === right ? a > b : left > right
}

/** Whom to probe: the successor in the own failure domain's ring each period, and every member in shuffled rounds. */
export class ProbeSchedule {
  private round: NodeId[] = []

  constructor (private readonly self: NodeId, private readonly rng: RandomGenerator) {}

  /**
   * The next member in ring order, so that each member has one prober a period.
   *
   * @param neighbours - reachable members of the own failure domain
   */
  successor (neighbours: readonly Member[]): Member | null {
    let next: Member | null = null
    let first: Member | null = null
    for (const member of neighbours) {
      if (member.node === this.self) continue
      if (first === null || isAfter(first.node, member.node)) first = member
      if (!isAfter(member.node, this.self)) continue
      if (next === null || isAfter(next.node, member.node)) next = member
    }
    return next ?? first
  }

  /**
   * The next member of a shuffled round over all; a new round starts when one is through.
   *
   * @param reachable - all reachable members
   */
  nextOfRound (reachable: readonly Member[]): Member | null {
    const byNode = new Map(reachable.map((member) => [member.node, member]))
    while (this.round.length > 0) {
      const member = byNode.get(this.round.pop() as NodeId)
      if (member !== undefined) return member
    }
    const others = reachable.filter((member) => member.node !== this.self).map((member) => member.node)
    this.round = sample(this.rng, others, others.length)
    const next = this.round.pop()
    return next === undefined ? null : byNode.get(next) ?? null
  }
}
