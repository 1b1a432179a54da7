import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import { assertNever } from '../types.js'
import type { Millis, NodeId } from '../types.js'
import { DEFAULT_TIMINGS } from './constants.js'
import type { MembershipContext } from './context.js'
import { bodyBytes, CONTENT_CAPACITY_BYTES } from './datagrams.js'
import { Dissemination } from './Dissemination.js'
import { FailureDetector } from './FailureDetector.js'
import { GossipBoard } from './GossipBoard.js'
import type { ValueDistribution } from './GossipBoard.js'
import { MemberTable } from './MemberTable.js'
import { updateBytes } from './messageSize.js'
import { compactClaim } from './precedence.js'
import { sample } from './ProbeSchedule.js'
import { MemberState } from './types.js'
import type { GossipBody, GossipMessage, GossipValue, Identity, Member, MembershipEffect, MembershipEvent, MembershipTimings } from './types.js'
import { claimsFromVmList } from './vmList.js'

/** Options of `Membership`. */
export interface MembershipOptions {
  readonly identity: Identity
  /** Gossip addresses of the members through which the node joins. */
  readonly seeds: readonly string[]
  readonly rng: RandomGenerator
  readonly timings?: Partial<MembershipTimings>
}

interface SelfChange {
  readonly leaving?: boolean
  readonly state?: MemberState
}

/** SWIM membership without I/O, with a gossip board on the same datagrams: handles events and returns effects. */
export class Membership {
  readonly board: GossipBoard
  private readonly table = new MemberTable()
  private readonly timings: MembershipTimings
  private readonly rng: RandomGenerator
  private readonly detector: FailureDetector
  private readonly dissemination: Dissemination
  private seeds: readonly string[]
  private self: Member
  private effects: MembershipEffect[] = []
  private lastEventAt: Millis | null = null
  private nextProbeAt: Millis = 0
  private nextGossipAt: Millis = 0
  private nextSyncAt: Millis = 0
  private nextReconnectAt: Millis = 0
  private nextRenewalAt: Millis = 0

  constructor (options: MembershipOptions) {
    this.timings = { ...DEFAULT_TIMINGS, ...options.timings }
    this.rng = options.rng
    this.seeds = options.seeds
    this.self = { ...options.identity, state: MemberState.Alive, leaving: false, incarnation: 0 }
    const { node, startedAt } = this.self
    this.board = new GossipBoard({ node, startedAt, relayBudget: this.timings.relayBudget })
    const context = this.context()
    this.detector = new FailureDetector(context)
    this.dissemination = new Dissemination(context, this.board)
  }

  /** This node's own entry. */
  get me (): Member {
    return this.self
  }

  /** Local health score; 0 while nothing indicates that this node itself is slow or disconnected. */
  get localHealth (): number {
    return this.detector.localHealth
  }

  members (): Member[] {
    return this.table.all()
  }

  member (node: NodeId): Member | undefined {
    return this.table.get(node)
  }

  /**
   * Handles an event.
   *
   * @param event - event to handle
   * @param now - current time of the monotonic clock
   * @returns effects in the order in which they must be carried out
   */
  handle (event: MembershipEvent, now: Millis): MembershipEffect[] {
    this.effects = []
    this.detectPause(now)
    this.apply(event, now)
    this.dissemination.pushUrgent(now)
    return this.effects
  }

  /**
   * Publishes a value of this node; a durable one is sent at once.
   *
   * @returns effects; empty if the contents did not change
   * @throws RangeError if the value does not fit a datagram
   */
  publish (topic: string, bytes: Uint8Array, distribution: ValueDistribution, now: Millis): MembershipEffect[] {
    this.effects = []
    const value = this.board.publish(topic, bytes, distribution, now)
    if (value !== null) this.effects.push({ type: 'value_changed', value })
    this.dissemination.pushUrgent(now)
    return this.effects
  }

  private context (): MembershipContext {
    return {
      table: this.table,
      rng: this.rng,
      timings: this.timings,
      me: () => this.self,
      send: (to, body, peer) => this.send(to, body, peer),
      emit: (to, message) => this.emit(to, message),
      applyClaim: (member, reason, now) => this.applyClaim(member, reason, now)
    }
  }

  private apply (event: MembershipEvent, now: Millis): void {
    switch (event.type) {
      case 'ticked': return this.tick(now)
      case 'received': return this.receive(event.from, event.message, now)
      case 'vm_listed':
        for (const { member, reason } of claimsFromVmList(this.table.all(), event.asOf, event.vms)) this.applyClaim(member, reason, now)
        return
      case 'seeds_changed':
        this.seeds = event.addresses
        return
      case 'call_failed': return this.detector.probe(event.node, now)
      case 'leave': return this.announce({ leaving: true }, 'planned stop', now)
      case 'stopped':
        this.announce({ leaving: true, state: MemberState.Left }, 'stopped', now)
        return this.dissemination.pushBeforeStop()
      default: return assertNever(event)
    }
  }

  private detectPause (now: Millis): void {
    const previous = this.lastEventAt
    this.lastEventAt = now
    if (previous === null) return this.start(now)
    const gap = now - previous
    if (gap <= this.timings.pauseThreshold) return
    this.detector.resetAfterPause(now)
    this.effects.push({ type: 'self_distrusted', gap })
    this.announce({}, 'rejoined after a pause', now)
    this.dissemination.startSync(this.timings.fanout)
    this.nextReconnectAt = now
  }

  private start (now: Millis): void {
    this.table.put(this.self, now)
    this.dissemination.enqueue(this.self.node)
    this.nextProbeAt = now + uniformInt(this.rng, 0, this.timings.probePeriod)
    this.nextGossipAt = now + uniformInt(this.rng, 0, this.timings.gossipPeriod)
    this.nextSyncAt = now + this.timings.antiEntropyPeriod
    this.nextRenewalAt = now + 2 * this.timings.antiEntropyPeriod
    this.nextReconnectAt = now
  }

  private tick (now: Millis): void {
    this.detector.tick(now)
    if (now >= this.nextProbeAt) this.startProbePeriod(now)
    if (now >= this.nextReconnectAt) this.reconnect(now)
    if (now >= this.nextGossipAt) {
      this.nextGossipAt = now + this.timings.gossipPeriod
      this.dissemination.pushPeriodically(now)
    }
    if (now >= this.nextSyncAt) {
      this.nextSyncAt = now + this.timings.antiEntropyPeriod
      this.dissemination.startSync(1)
    }
  }

  private startProbePeriod (now: Millis): void {
    this.nextProbeAt = now + this.timings.probePeriod
    this.detector.probePeriodically(now)
    for (const node of this.table.removeExpired(now, this.timings.tombstoneLifetime)) this.dissemination.remove(node)
    if (now < this.nextRenewalAt) return
    this.nextRenewalAt = now + 2 * this.timings.antiEntropyPeriod
    this.board.renew(now)
  }

  private reconnect (now: Millis): void {
    this.nextReconnectAt = now + this.timings.reconnectPeriod
    const [unreachable] = sample(this.rng, this.table.inState(MemberState.Unreachable), 1)
    if (unreachable !== undefined) this.send(unreachable.gossipAddress, { type: 'ping', sequence: 0, target: unreachable.node }, unreachable)
    const reachableAddresses = new Set(this.table.reachable().map((member) => member.gossipAddress))
    const [seed] = sample(this.rng, this.seeds.filter((address) => !reachableAddresses.has(address)), 1)
    if (seed !== undefined) this.send(seed, { type: 'join' })
  }

  private receive (from: string, message: GossipMessage, now: Millis): void {
    const shouldPassOn = message.body.type !== 'sync'
    for (const update of message.updates) this.applyClaim(update, `reported by ${message.sender}`, now, shouldPassOn)
    for (const value of message.values) this.applyValue(value, now)
    this.answer(from, message, now)
  }

  private answer (from: string, message: GossipMessage, now: Millis): void {
    const { sender, body } = message
    const peer = this.table.get(sender)
    switch (body.type) {
      case 'ping':
        if (body.target === this.self.node) this.send(from, { type: 'ack', sequence: body.sequence }, peer, this.hasFalseClaimAboutSelf(message))
        return
      case 'ping_request': return this.detector.relayProbe(from, body.sequence, body.target, now)
      case 'ack': return this.detector.acknowledge(body.sequence)
      case 'nack': return this.detector.negativeAcknowledge(body.sequence)
      case 'join': return this.dissemination.answerJoin(from, peer)
      case 'digest': return this.dissemination.answerDigest(from, peer, body)
      case 'push': return
      case 'sync': return
      default: return assertNever(body)
    }
  }

  // The sender may still have a claim that this node refuted earlier and that other members no longer send.
  private hasFalseClaimAboutSelf ({ updates }: GossipMessage): boolean {
    return updates.some((claim) => claim.node === this.self.node && claim.state !== MemberState.Alive)
  }

  private applyClaim (claim: Member, reason: string, now: Millis, shouldPassOn = true): void {
    if (claim.node === this.self.node) return this.applyClaimAboutSelf(claim, now)
    const previous = this.table.merge(claim, now)
    if (previous === undefined) return
    const member = this.table.get(claim.node) as Member
    if (shouldPassOn) this.dissemination.enqueue(member.node)
    this.detector.trackSuspicion(member, now)
    if (member.state === MemberState.Left) this.removeValues(member.node)
    else if (previous !== null && previous.startedAt !== member.startedAt) this.removeValues(member.node, member.startedAt)
    this.effects.push({ type: 'member_changed', member, previous: previous?.state ?? null, reason })
  }

  // Refutes a claim about this node that it did not make itself, by announcing a greater incarnation.
  private applyClaimAboutSelf (claim: Member, now: Millis): void {
    if (claim.startedAt > this.self.startedAt) return this.supersedeNamesake(claim, now)
    if (claim.startedAt < this.self.startedAt || this.self.state === MemberState.Left) return
    const isNewlyLeaving = claim.leaving && !this.self.leaving
    const mustRefute = claim.incarnation >= this.self.incarnation && claim.state !== MemberState.Alive
    const isOutdated = claim.incarnation > this.self.incarnation
    if (!isNewlyLeaving && !mustRefute && !isOutdated) return
    if (mustRefute && claim.state === MemberState.Suspect) this.detector.suspectedByOthers()
    this.self = { ...this.self, incarnation: Math.max(this.self.incarnation, claim.incarnation) }
    if (isNewlyLeaving) this.announce({ leaving: true }, 'reported as leaving by another member', now)
    else this.announce({}, 'refuted a claim', now)
  }

  // An earlier process with this name has a later start time, because the clock of this VM is behind. This process takes a later one.
  private supersedeNamesake (claim: Member, now: Millis): void {
    this.self = { ...this.self, startedAt: claim.startedAt + 1, incarnation: 0 }
    this.board.setStartedAt(this.self.startedAt, now)
    this.announce({}, 'an earlier process with this name has a later start time', now)
  }

  private announce (change: SelfChange, reason: string, now: Millis): void {
    const previous = this.self.state
    this.self = { ...this.self, ...change, incarnation: this.self.incarnation + 1 }
    this.table.put(this.self, now)
    this.dissemination.enqueue(this.self.node)
    this.effects.push({ type: 'member_changed', member: this.self, previous, reason })
  }

  private applyValue (value: GossipValue, now: Millis): void {
    const publisher = this.table.get(value.node)
    if (publisher !== undefined && (publisher.state === MemberState.Left || value.startedAt < publisher.startedAt)) return
    if (this.board.receive(value, now)) this.effects.push({ type: 'value_changed', value })
  }

  private removeValues (node: NodeId, startedBefore?: number): void {
    for (const topic of this.board.removeValues(node, startedBefore)) this.effects.push({ type: 'value_removed', node, topic })
  }

  // A claim that the receiver is not alive is added to every message to it, so that it can refute the claim.
  private send (to: string, body: GossipBody, peer?: Member, shouldIncludeSelf = false): void {
    const updates: Member[] = []
    if (shouldIncludeSelf || peer === undefined || peer.state !== MemberState.Alive) updates.push(this.self)
    if (peer !== undefined && peer.state !== MemberState.Alive) updates.push(compactClaim(peer))
    let remainingBytes = CONTENT_CAPACITY_BYTES - updates.reduce((sum, update) => sum + updateBytes(update), bodyBytes(body))
    for (const update of this.dissemination.selectUpdates(remainingBytes, this.lastEventAt ?? 0)) {
      remainingBytes -= updateBytes(update)
      if (!updates.some((other) => other.node === update.node)) updates.push(update)
    }
    const values = peer === undefined ? [] : this.dissemination.selectDurable(remainingBytes, peer)
    if (body.type === 'push' && updates.length === 0 && values.length === 0) return
    this.emit(to, { sender: this.self.node, body, updates, values })
  }

  private emit (to: string, message: GossipMessage): void {
    this.effects.push({ type: 'send', to, message })
  }
}
