import type { Millis, NodeId } from '../types.js'
import { ByteBudget } from './ByteBudget.js'
import { MAX_DATAGRAM_BYTES, MAX_SYNC_DATAGRAMS, UPDATE_BURST_BYTES } from './constants.js'
import { isInOwnDomain, reachableOthers } from './context.js'
import type { MembershipContext } from './context.js'
import { packDatagrams, CONTENT_CAPACITY_BYTES } from './datagrams.js'
import type { GossipBoard, Receiver } from './GossipBoard.js'
import { updateBytes } from './messageSize.js'
import { sample } from './ProbeSchedule.js'
import { Subscriptions } from './Subscriptions.js'
import type { GossipBody, GossipValue, Member } from './types.js'
import { UpdateQueue } from './UpdateQueue.js'

type Digest = Extract<GossipBody, { type: 'digest' }>

const hasSameNumbers = (a: readonly number[], b: readonly number[]): boolean =>
  a.length === b.length && a.every((value, index) => value === b[index])

/** Sends changed member entries and published values to other members: at once, periodically, and by anti-entropy. */
export class Dissemination {
  private readonly queue = new UpdateQueue()
  private readonly subscriptions: Subscriptions
  private readonly budget: ByteBudget

  constructor (private readonly context: MembershipContext, private readonly board: GossipBoard) {
    this.budget = new ByteBudget(context.timings.updateBudget, UPDATE_BURST_BYTES)
    this.subscriptions = new Subscriptions(context, board)
  }

  /** Queues a changed member entry for sending. */
  enqueue (node: NodeId): void {
    this.queue.add(node)
  }

  remove (node: NodeId): void {
    this.queue.remove(node)
  }

  /**
   * Selects changed member entries to add to a datagram, within the byte budget, and counts each as sent once.
   *
   * @param maxBytes - bytes left in the datagram
   * @param now - current time
   * @returns entries to send
   */
  selectUpdates (maxBytes: number, now: Millis): Member[] {
    if (this.queue.size === 0) return []
    const { table } = this.context
    const allowed = Math.min(maxBytes, this.budget.available(now))
    const selected = this.queue.select(allowed, table.reachable().length, (node) => table.get(node))
    this.budget.spend(selected.reduce((sum, member) => sum + updateBytes(member), 0))
    return selected
  }

  /**
   * Selects durable values to add to a datagram and counts each as sent once.
   *
   * @param maxBytes - bytes left in the datagram
   * @param peer - receiver of the datagram
   * @returns values to send
   */
  selectDurable (maxBytes: number, peer: Member): GossipValue[] {
    if (!this.board.hasDurablePending()) return []
    const audienceSize = this.context.table.reachable().length
    return this.board.selectDurable(maxBytes, { ...this.receiverOf(peer), audienceSize })
  }

  /** Sends changes that have not been sent to any member yet. */
  pushUrgent (now: Millis): void {
    const hasUnsentChanges = (this.queue.hasUnsent() && this.budget.available(now) >= MAX_DATAGRAM_BYTES / 2) || this.board.hasDurableUnsent()
    if (hasUnsentChanges) this.pushTo(this.urgentPeers())
  }

  /** Sends pending changes and values to a few random members. */
  pushPeriodically (now: Millis): void {
    const { rng, timings } = this.context
    const others = reachableOthers(this.context)
    if (this.queue.size > 0 || this.board.hasDurablePending()) this.pushTo(sample(rng, others, timings.fanout))
    const domainPeers = others.filter((member) => isInOwnDomain(this.context, member))
    const remotePeers = others.filter((member) => !isInOwnDomain(this.context, member))
    for (const peer of sample(rng, remotePeers, 1)) this.pushValues(peer, now)
    for (const peer of sample(rng, domainPeers, 1)) this.pushValues(peer, now)
    this.subscriptions.push(now)
  }

  /** Sends the changes, this node's own among them, to as many members as a datagram a second may reach at the end. */
  pushBeforeStop (): void {
    this.pushTo(sample(this.context.rng, reachableOthers(this.context), 2 * this.context.timings.fanout))
  }

  /** Starts anti-entropy with random members by sending them a digest of table and values. */
  startSync (peerCount: number): void {
    for (const peer of sample(this.context.rng, reachableOthers(this.context), peerCount)) {
      this.context.send(peer.gossipAddress, this.digestMessage(false), peer)
    }
  }

  /** Sends the contents of buckets that differ, and this node's digest unless the received one is already a reply. */
  answerDigest (from: string, sender: Member | undefined, digest: Digest): void {
    const own = this.digestMessage(true)
    if (hasSameNumbers(digest.members, own.members) && hasSameNumbers(digest.values, own.values)) return
    if (!digest.reply) this.context.send(from, own, sender)
    this.sendSync(from, this.context.table.differing(digest.members), this.board.differing(digest.values))
  }

  /** Sends the whole member table and every relayed value that is meant for the joining node. */
  answerJoin (from: string, sender: Member | undefined): void {
    this.sendSync(from, this.context.table.all(), this.board.snapshot(sender !== undefined && isInOwnDomain(this.context, sender)))
  }

  private digestMessage (isReply: boolean): Digest {
    return { type: 'digest', members: this.context.table.digest(), values: this.board.digest(), reply: isReply }
  }

  private urgentPeers (): Member[] {
    const { rng, timings } = this.context
    const others = reachableOthers(this.context)
    const domainPeers = others.filter((member) => isInOwnDomain(this.context, member))
    const remotePeers = others.filter((member) => !isInOwnDomain(this.context, member))
    return [...sample(rng, domainPeers, timings.fanout), ...sample(rng, remotePeers, 1)]
  }

  private pushTo (peers: readonly Member[]): void {
    for (const peer of peers) this.context.send(peer.gossipAddress, { type: 'push' }, peer)
  }

  private pushValues (peer: Member, now: Millis): void {
    if (!this.board.canSendRelayed(now)) return
    const values = this.board.selectRelayed(CONTENT_CAPACITY_BYTES, this.receiverOf(peer), now)
    if (values.length === 0) return
    this.context.emit(peer.gossipAddress, { sender: this.context.me().node, body: { type: 'push' }, updates: [], values })
  }

  private receiverOf (peer: Member): Receiver {
    const isSameDomain = isInOwnDomain(this.context, peer)
    const { table } = this.context
    const audience = isSameDomain ? table.inDomain(peer.failureDomain) : table.reachable()
    return { node: peer.node, isSameDomain, audienceSize: audience.length }
  }

  private sendSync (to: string, members: readonly Member[], values: readonly GossipValue[]): void {
    const sender = this.context.me().node
    for (const batch of packDatagrams(members, values).slice(0, MAX_SYNC_DATAGRAMS)) {
      this.context.emit(to, { sender, body: { type: 'sync' }, ...batch })
    }
  }
}
