import type { Millis, NodeId } from '../types.js'
import { ByteBudget } from './ByteBudget.js'
import { MAX_DATAGRAM_BYTES, MAX_SYNC_DATAGRAMS, UPDATE_BURST_BYTES } from './constants.js'
import { isNeighbour, othersOf } from './context.js'
import type { MembershipContext } from './context.js'
import { packDatagrams, UPDATE_ROOM } from './datagrams.js'
import type { GossipBoard, Receiver } from './GossipBoard.js'
import { updateBytes } from './messageSize.js'
import { sample } from './ProbeSchedule.js'
import { Subscriptions } from './Subscriptions.js'
import type { GossipBody, GossipValue, Member } from './types.js'
import { UpdateQueue } from './UpdateQueue.js'

type Digest = Extract<GossipBody, { type: 'digest' }>

const sameNumbers = (a: readonly number[], b: readonly number[]): boolean =>
  a.length === b.length && a.every((value, index) => value === b[index])

/** Passes changes of members and values on: at once, periodically, and by anti-entropy. */
export class Dissemination {
  private readonly queue = new UpdateQueue()
  private readonly subscriptions: Subscriptions
  private readonly budget: ByteBudget

  constructor (private readonly context: MembershipContext, private readonly board: GossipBoard) {
    this.budget = new ByteBudget(context.timings.updateBudget, UPDATE_BURST_BYTES)
    this.subscriptions = new Subscriptions(context, board)
  }

  /** Notes that the member's entry changed. */
  add (node: NodeId): void {
    this.queue.add(node)
  }

  remove (node: NodeId): void {
    this.queue.remove(node)
  }

  /**
   * Takes changed members to send along, within the budget.
   *
   * @param room - bytes left in the datagram
   * @param now - current time
   */
  takeUpdates (room: number, now: Millis): Member[] {
    if (this.queue.size === 0) return []
    const { table } = this.context
    const allowed = Math.min(room, this.budget.available(now))
    const taken = this.queue.take(allowed, table.reachable().length, (node) => table.get(node))
    this.budget.spend(taken.reduce((sum, member) => sum + updateBytes(member), 0))
    return taken
  }

  /**
   * @param room - bytes left in the datagram
   * @param peer - receiver
   * @returns durable values to send along
   */
  takeDurable (room: number, peer: Member): GossipValue[] {
    if (!this.board.hasDurablePending()) return []
    const audience = this.context.table.reachable().length
    return this.board.takeDurable(room, { ...this.receiver(peer), audience })
  }

  /** Sends changes that no one was told yet. */
  pushUrgent (now: Millis): void {
    const hasNews = (this.queue.hasUnsent() && this.budget.available(now) >= MAX_DATAGRAM_BYTES / 2) || this.board.hasDurableUnsent()
    if (hasNews) this.pushTo(this.urgentPeers())
  }

  /** Sends pending changes and values to a few members. */
  pushPeriodically (now: Millis): void {
    const { rng, timings } = this.context
    const others = othersOf(this.context)
    if (this.queue.size > 0 || this.board.hasDurablePending()) this.pushTo(sample(rng, others, timings.fanout))
    const neighbours = others.filter((member) => isNeighbour(this.context, member))
    const distant = others.filter((member) => !isNeighbour(this.context, member))
    for (const peer of sample(rng, distant, 1)) this.pushValues(peer, now)
    for (const peer of sample(rng, neighbours, 1)) this.pushValues(peer, now)
    this.subscriptions.push(now)
  }

  /** Sends the changes, this node's own among them, to as many members as a datagram a second may reach at the end. */
  pushLast (): void {
    this.pushTo(sample(this.context.rng, othersOf(this.context), 2 * this.context.timings.fanout))
  }

  /** Compares tables with so many members. */
  startSync (peers: number): void {
    for (const peer of sample(this.context.rng, othersOf(this.context), peers)) {
      this.context.send(peer.gossipAddress, this.digest(false), peer)
    }
  }

  answerDigest (from: string, sender: Member | undefined, digest: Digest): void {
    const own = this.digest(true)
    if (sameNumbers(digest.members, own.members) && sameNumbers(digest.values, own.values)) return
    if (!digest.reply) this.context.send(from, own, sender)
    this.sync(from, this.context.table.differing(digest.members), this.board.differing(digest.values))
  }

  /** Sends the whole table and every value that the sender should have. */
  answerJoin (from: string, sender: Member | undefined): void {
    this.sync(from, this.context.table.all(), this.board.snapshot(sender !== undefined && isNeighbour(this.context, sender)))
  }

  private digest (reply: boolean): Digest {
    return { type: 'digest', members: this.context.table.digest(), values: this.board.digest(), reply }
  }

  private urgentPeers (): Member[] {
    const { rng, timings } = this.context
    const others = othersOf(this.context)
    const neighbours = others.filter((member) => isNeighbour(this.context, member))
    const distant = others.filter((member) => !isNeighbour(this.context, member))
    return [...sample(rng, neighbours, timings.fanout), ...sample(rng, distant, 1)]
  }

  private pushTo (peers: readonly Member[]): void {
    for (const peer of peers) this.context.send(peer.gossipAddress, { type: 'push' }, peer)
  }

  private pushValues (peer: Member, now: Millis): void {
    if (!this.board.mayPush(now)) return
    const values = this.board.take(UPDATE_ROOM, this.receiver(peer), now)
    if (values.length === 0) return
    this.context.emit(peer.gossipAddress, { sender: this.context.me().node, body: { type: 'push' }, updates: [], values })
  }

  private receiver (peer: Member): Receiver {
    const sameDomain = isNeighbour(this.context, peer)
    const { table } = this.context
    const audience = sameDomain ? table.inDomain(peer.failureDomain) : table.reachable()
    return { node: peer.node, sameDomain, audience: audience.length }
  }

  private sync (to: string, members: readonly Member[], values: readonly GossipValue[]): void {
    const sender = this.context.me().node
    for (const batch of packDatagrams(members, values).slice(0, MAX_SYNC_DATAGRAMS)) {
      this.context.emit(to, { sender, body: { type: 'sync' }, ...batch })
    }
  }
}
