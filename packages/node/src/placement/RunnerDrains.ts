/** Tells dispatchers which runners the leader of the failure domain wants drained. */
import { acceptsNewWork, ValueScope } from '@bluebellhill/domain'
import type { RunnerId } from '@bluebellhill/domain'

import type { MembershipService } from '../membership/index.js'

/** Prefix of the topics, for listeners. */
export const DRAIN_TOPIC_PREFIX = 'drain/'

const DRAINING = Uint8Array.of(1)
const ENDED = new Uint8Array(0)

/** Drains of this node as the leader, and of all live nodes. */
export class RunnerDrains {
  readonly #membership: MembershipService
  readonly #own = new Set<RunnerId>()

  /** @param membership - carries the values within the failure domain */
  constructor (membership: MembershipService) {
    this.#membership = membership
  }

  /**
   * Begins or ends a drain in this node's name.
   *
   * @param runner - the runner
   * @param draining - whether it gets no new work
   */
  set (runner: RunnerId, draining: boolean): void {
    if (this.#own.has(runner) === draining) return
    if (draining) this.#own.add(runner)
    else this.#own.delete(runner)
    this.#membership.publish(`${DRAIN_TOPIC_PREFIX}${runner}`, draining ? DRAINING : ENDED, { scope: ValueScope.Fleet, durable: true })
  }

  /** Ends every drain of this node, which does not lead any more. */
  clear (): void {
    for (const runner of [...this.#own]) this.set(runner, false)
  }

  /** Runners that any live node wants drained. */
  all (): ReadonlySet<RunnerId> {
    const live = new Set(this.#membership.members().filter(acceptsNewWork).map((member) => member.node))
    const values = this.#membership.valuesUnder(DRAIN_TOPIC_PREFIX).filter((value) => live.has(value.node) && value.bytes.length > 0)
    return new Set(values.map((value) => value.topic.slice(DRAIN_TOPIC_PREFIX.length) as RunnerId))
  }
}
