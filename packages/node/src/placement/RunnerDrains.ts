/** Announces to dispatchers which runners the placement leader drains. */
import { acceptsNewWork, ValueScope } from '@bluebellhill/domain'
import type { RunnerId } from '@bluebellhill/domain'

import type { MembershipService } from '../membership/index.js'

/** Prefix of the gossip topics; the name of the runner follows it. */
export const DRAIN_TOPIC_PREFIX = 'drain/'

const DRAINING = Uint8Array.of(1)
const DRAIN_ENDED = new Uint8Array(0)

/** Publishes the drains that this node starts as the leader and reads those of all nodes that accept new work. */
export class RunnerDrains {
  readonly #membership: MembershipService
  readonly #ownDrains = new Set<RunnerId>()

  /** @param membership - publishes the values to the fleet */
  constructor (membership: MembershipService) {
    this.#membership = membership
  }

  /**
   * Starts or ends a drain that this node publishes.
   *
   * @param runner - the runner
   * @param isDraining - whether the runner is drained, that is, receives no new work
   */
  setDraining (runner: RunnerId, isDraining: boolean): void {
    if (this.#ownDrains.has(runner) === isDraining) return
    if (isDraining) this.#ownDrains.add(runner)
    else this.#ownDrains.delete(runner)
    this.#membership.publish(`${DRAIN_TOPIC_PREFIX}${runner}`, isDraining ? DRAINING : DRAIN_ENDED, { scope: ValueScope.Fleet, durable: true })
  }

  /** Ends every drain of this node, after it has lost the leadership. */
  endAll (): void {
    for (const runner of [...this.#ownDrains]) this.setDraining(runner, false)
  }

  /** Runners that at least one node that accepts new work is draining. */
  all (): ReadonlySet<RunnerId> {
    const acceptingNodes = new Set(this.#membership.members().filter(acceptsNewWork).map((member) => member.node))
    const values = this.#membership.valuesUnder(DRAIN_TOPIC_PREFIX).filter((value) => acceptingNodes.has(value.node) && value.bytes.length > 0)
    return new Set(values.map((value) => value.topic.slice(DRAIN_TOPIC_PREFIX.length) as RunnerId))
  }
}
