import type { Millis, NodeId } from '../types.js'
import { ByteBudget } from './ByteBudget.js'
import { HEADER_BYTES, MAX_DATAGRAM_BYTES, SUBSCRIBERS } from './constants.js'
import { isNeighbour, othersOf } from './context.js'
import type { MembershipContext } from './context.js'
import { packDatagrams } from './datagrams.js'
import type { GossipBoard } from './GossipBoard.js'
import { hashText } from './hash.js'
import { valueBytes } from './messageSize.js'
import { ranked } from './ownership.js'
import type { GossipValue, Member } from './types.js'

const OVERHEAD_BYTES = HEADER_BYTES + 32

/** Sends this node's own values to the few neighbours that subscribe to it, in turn and within a budget. */
export class Subscriptions {
  private readonly budget: ByteBudget
  private readonly sentUpTo = new Map<NodeId, number>()
  private turn = 0

  constructor (private readonly context: MembershipContext, private readonly board: GossipBoard) {
    this.budget = new ByteBudget(context.timings.subscriberBudget, 2 * MAX_DATAGRAM_BYTES)
  }

  /** Sends to each subscriber what changed since its last turn, until the budget is spent. */
  push (now: Millis): void {
    const subscribers = this.subscribers()
    for (let visited = 0; visited < subscribers.length; visited += 1) {
      const subscriber = subscribers[this.turn % subscribers.length] as Member
      const { values, order } = this.board.forSubscriber(this.sentUpTo.get(subscriber.node) ?? -1)
      if (values.length > 0 && !this.send(subscriber, values, now)) return
      this.sentUpTo.set(subscriber.node, order)
      this.turn += 1
    }
  }

  private subscribers (): Member[] {
    const neighbours = othersOf(this.context).filter((member) => isNeighbour(this.context, member))
    if (neighbours.length <= SUBSCRIBERS) return neighbours
    const chosen = new Set(ranked(`subscribers of ${this.context.me().node}`, neighbours, SUBSCRIBERS, hashText))
    for (const node of this.sentUpTo.keys()) {
      if (!chosen.has(node)) this.sentUpTo.delete(node)
    }
    return neighbours.filter((member) => chosen.has(member.node))
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
