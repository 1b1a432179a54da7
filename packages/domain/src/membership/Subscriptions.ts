import type { Millis, NodeId } from '../types.js'
import { ByteBudget } from './ByteBudget.js'
import { HEADER_BYTES, MAX_DATAGRAM_BYTES, MAX_SUBSCRIBERS } from './constants.js'
import { isInOwnDomain, reachableOthers } from './context.js'
import type { MembershipContext } from './context.js'
import { packDatagrams } from './datagrams.js'
import type { GossipBoard } from './GossipBoard.js'
import { hashText } from './hash.js'
import { valueBytes } from './messageSize.js'
import { highestRanked } from './ownership.js'
import type { GossipValue, Member } from './types.js'

const OVERHEAD_BYTES = HEADER_BYTES + 32

/** Sends this node's own values to the few members of its failure domain that subscribe to them, in turn and within a byte budget. */
export class Subscriptions {
  private readonly budget: ByteBudget
  private readonly lastSentChanges = new Map<NodeId, number>()
  private nextSubscriber = 0

  constructor (private readonly context: MembershipContext, private readonly board: GossipBoard) {
    this.budget = new ByteBudget(context.timings.subscriberBudget, 2 * MAX_DATAGRAM_BYTES)
  }

  /** Sends each subscriber the values that changed since the last push to it, until the byte budget is spent. */
  push (now: Millis): void {
    const subscribers = this.subscribers()
    for (let visited = 0; visited < subscribers.length; visited += 1) {
      const subscriber = subscribers[this.nextSubscriber % subscribers.length] as Member
      const { values, lastChange: order } = this.board.changesForSubscriber(this.lastSentChanges.get(subscriber.node) ?? -1)
      if (values.length > 0 && !this.send(subscriber, values, now)) return
      this.lastSentChanges.set(subscriber.node, order)
      this.nextSubscriber += 1
    }
  }

  private subscribers (): Member[] {
    const domainPeers = reachableOthers(this.context).filter((member) => isInOwnDomain(this.context, member))
    if (domainPeers.length <= MAX_SUBSCRIBERS) return domainPeers
    const chosen = new Set(highestRanked(`subscribers of ${this.context.me().node}`, domainPeers, MAX_SUBSCRIBERS, hashText))
    for (const node of this.lastSentChanges.keys()) {
      if (!chosen.has(node)) this.lastSentChanges.delete(node)
    }
    return domainPeers.filter((member) => chosen.has(member.node))
  }

  private send (subscriber: Member, values: readonly GossipValue[], now: Millis): boolean {
    const size = OVERHEAD_BYTES + values.reduce((sum, value) => sum + valueBytes(value), 0)
    if (this.budget.available(now) < Math.min(size, MAX_DATAGRAM_BYTES)) return false
    this.budget.spend(size)
    const sender = this.context.me().node
    for (const batch of packDatagrams([], values)) {
      this.context.emit(subscriber.gossipAddress, { sender, body: { type: 'push' }, ...batch })
    }
    return true
  }
}
