/** Tells dispatchers which runners the leader of the failure domain wants drained. */
import { acceptsNewWork, ValueScope } from '@bluebellhill/domain'
import type { RunnerId } from '@bluebellhill/domain'

import type { MembershipService } from '../membership/index.js'

/** Prefix of the topics, for listeners. */
export const DRAIN_TOPIC_PREFIX = 'drain/'

const DRAINING = Uint8Array.of(1)
const DRAIN_ENDED = new Uint8Array(0)

/** Drains of this node as the leader, and of all live nodes. */
export class RunnerDrains {
  readonly #membership: MembershipService
  readonly #ownDrains = new Set<RunnerId>()

  /** @param membership - carries the values within the failure domain */
  constructor (membership: MembershipService) {
    this.#membership = membership
  }

  /**
   * Begins or ends a drain in this node's name.
   *
   * @param runner - the runner
   * @param isDraining - whether it gets no new work
   */
  setDraining (runner: RunnerId, isDraining: boolean): void {
    if (this.#ownDrains.has(runner) === isDraining) return
    if (isDraining) this.#ownDrains.add(runner)
    else this.#ownDrains.delete(runner)
    this.#membership.publish(`${DRAIN_TOPIC_PREFIX}${runner}`, isDraining ? DRAINING : DRAIN_ENDED, { scope: ValueScope.Fleet, durable: true })
  }

  /** Ends every drain of this node, which does not lead any more. */
  endAll (): void {
    for (const runner of [...this.#ownDrains]) this.setDraining(runner, false)
  }

  /** Runners that any live node wants drained. */
  all (): ReadonlySet<RunnerId> {
    const acceptingNodes = new Set(this.#membership.members().filter(acceptsNewWork).map((member) => member.node))
    const values = this.#membership.valuesUnder(DRAIN_TOPIC_PREFIX).filter((value) => acceptingNodes.has(value.node) && value.bytes.length > 0)
    return new Set(values.map((value) => value.topic.slice(DRAIN_TOPIC_PREFIX.length) as RunnerId))
  }
}
