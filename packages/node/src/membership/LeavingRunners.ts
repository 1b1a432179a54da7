/** Announces over gossip which backend servers are leaving the fleet. */
import { ValueScope } from '@bluebellhill/domain'
import type { RunnerId } from '@bluebellhill/domain'

import type { MembershipService } from './MembershipService.js'

const PREFIX = 'leaving/'
const LEAVING = Uint8Array.of(1)
const RETRACTED = new Uint8Array(0)

/** Backend servers that at least one node has announced as leaving; they must not receive new work. */
export class LeavingRunners {
  constructor (private readonly membership: MembershipService) {}

  /** Announces to every node that a runner is leaving. Publishes nothing if any node has already announced it. */
  announce (runner: RunnerId): void {
    if (!this.has(runner)) this.publish(runner, LEAVING)
  }

  /** Withdraws this node's announcement, after the VM list no longer contains the runner or lists it as live again. */
  retract (runner: RunnerId): void {
    const { node } = this.membership.me()
    const own = this.membership.values(`${PREFIX}${runner}`).find((value) => value.node === node)
    if (own !== undefined) this.publish(runner, RETRACTED)
  }

  has (runner: RunnerId): boolean {
    return this.membership.values(`${PREFIX}${runner}`).some((value) => value.bytes.length > 0)
  }

  all (): ReadonlySet<RunnerId> {
    const leaving = this.membership.valuesUnder(PREFIX).filter((value) => value.bytes.length > 0)
    return new Set(leaving.map((value) => value.topic.slice(PREFIX.length) as RunnerId))
  }

  /**
   * @param listener - called each time that a node's announcement of a leaving runner arrives
   * @returns a function that removes the listener
   */
  onLeaving (listener: (runner: RunnerId) => void): () => void {
    return this.membership.onChange((change) => {
      if (change.type !== 'value_changed' || !change.value.topic.startsWith(PREFIX) || change.value.bytes.length === 0) return
      listener(change.value.topic.slice(PREFIX.length) as RunnerId)
    })
  }

  private publish (runner: RunnerId, contents: Uint8Array): void {
    this.membership.publish(`${PREFIX}${runner}`, contents, { scope: ValueScope.Fleet, durable: true })
  }
}
