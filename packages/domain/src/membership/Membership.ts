import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import { assertNever } from '../types.js'
import type { Millis, NodeId } from '../types.js'
import { DEFAULT_TIMINGS } from './constants.js'
import type { MembershipContext } from './context.js'
import { bodyBytes, UPDATE_ROOM } from './datagrams.js'
import { Dissemination } from './Dissemination.js'
import { FailureDetector } from './FailureDetector.js'
import { GossipBoard } from './GossipBoard.js'
import type { Spread } from './GossipBoard.js'
import { MemberTable } from './MemberTable.js'
import { updateBytes } from './messageSize.js'
import { compactClaim } from './precedence.js'
import { sample } from './ProbeSchedule.js'
import { MemberState } from './types.js'
import type { GossipBody, GossipMessage, GossipValue, Identity, Member, MembershipEffect, MembershipEvent, MembershipTimings } from './types.js'
import { claimsOfVmList } from './vmList.js'

/** Options of a node's membership. */
export interface MembershipOptions {
  readonly identity: Identity
  /** Gossip addresses to join through. */
  readonly seeds: readonly string[]
  readonly rng: RandomGenerator
  readonly timings?: Partial<MembershipTimings>
}

interface OwnChange {
  readonly leaving?: boolean
  readonly state?: MemberState
}

/** Sans-I/O SWIM with a gossip board on the same datagrams: takes events and returns effects. */
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
  private lastEvent: Millis | null = null
  private nextProbe: Millis = 0
  private nextGossip: Millis = 0
  private nextSync: Millis = 0
  private nextReconnect: Millis = 0
  private nextRenewal: Millis = 0

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

  /** 0 while this node trusts its own judgement. */
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
   * Takes an event in.
   *
   * @param event - what happened
   * @param now - reading of the monotonic clock
   * @returns effects in the order in which they are to be carried out
   */
  handle (event: MembershipEvent, now: Millis): MembershipEffect[] {
    this.effects = []
    this.noticePause(now)
    this.apply(event, now)
    this.dissemination.pushUrgent(now)
    return this.effects
  }

  /**
   * Publishes a value of this node; a durable one is sent at once.
   *
   * @returns effects; empty where the contents did not change
   * @throws RangeError where the value does not fit a datagram
   */
  publish (topic: string, bytes: Uint8Array, spread: Spread, now: Millis): MembershipEffect[] {
    this.effects = []
    const value = this.board.publish(topic, bytes, spread, now)
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
      claim: (member, reason, now) => this.take(member, reason, now)
    }
  }

  private apply (event: MembershipEvent, now: Millis): void {
    switch (event.type) {
      case 'ticked': return this.tick(now)
      case 'received': return this.receive(event.from, event.message, now)
      case 'vm_listed':
        for (const { member, reason } of claimsOfVmList(this.table.all(), event.asOf, event.vms)) this.take(member, reason, now)
        return
      case 'seeds_changed':
        this.seeds = event.addresses
        return
      case 'call_failed': return this.detector.probe(event.node, now)
      case 'leave': return this.announce({ leaving: true }, 'planned stop', now)
      case 'stopped':
        this.announce({ leaving: true, state: MemberState.Left }, 'stopped', now)
        return this.dissemination.pushLast()
      default: return assertNever(event)
    }
  }

  private noticePause (now: Millis): void {
    const previous = this.lastEvent
    this.lastEvent = now
    if (previous === null) return this.begin(now)
    const gap = now - previous
    if (gap <= this.timings.pauseThreshold) return
    this.detector.distrustSelf(now)
    this.effects.push({ type: 'self_distrusted', gap })
    this.announce({}, 'rejoined after a pause', now)
    this.dissemination.startSync(this.timings.fanout)
    this.nextReconnect = now
  }

  private begin (now: Millis): void {
    this.table.put(this.self, now)
    this.dissemination.add(this.self.node)
    this.nextProbe = now + uniformInt(this.rng, 0, this.timings.probePeriod)
    this.nextGossip = now + uniformInt(this.rng, 0, this.timings.gossipPeriod)
    this.nextSync = now + this.timings.antiEntropyPeriod
    this.nextRenewal = now + 2 * this.timings.antiEntropyPeriod
    this.nextReconnect = now
  }

  private tick (now: Millis): void {
    this.detector.tick(now)
    if (now >= this.nextProbe) this.startPeriod(now)
    if (now >= this.nextReconnect) this.reconnect(now)
    if (now >= this.nextGossip) {
      this.nextGossip = now + this.timings.gossipPeriod
      this.dissemination.pushPeriodically(now)
    }
    if (now >= this.nextSync) {
      this.nextSync = now + this.timings.antiEntropyPeriod
      this.dissemination.startSync(1)
    }
  }

  private startPeriod (now: Millis): void {
    this.nextProbe = now + this.timings.probePeriod
    this.detector.probePeriodically(now)
    for (const node of this.table.forgetLeft(now, this.timings.tombstoneLifetime)) this.dissemination.remove(node)
    if (now < this.nextRenewal) return
    this.nextRenewal = now + 2 * this.timings.antiEntropyPeriod
    this.board.renew(now)
  }

  private reconnect (now: Millis): void {
    this.nextReconnect = now + this.timings.reconnectPeriod
    const [lost] = sample(this.rng, this.table.inState(MemberState.Unreachable), 1)
    if (lost !== undefined) this.send(lost.gossipAddress, { type: 'ping', sequence: 0, target: lost.node }, lost)
    const known = new Set(this.table.reachable().map((member) => member.gossipAddress))
    const [seed] = sample(this.rng, this.seeds.filter((address) => !known.has(address)), 1)
    if (seed !== undefined) this.send(seed, { type: 'join' })
  }

  private receive (from: string, message: GossipMessage, now: Millis): void {
    const isNews = message.body.type !== 'sync'
    for (const update of message.updates) this.take(update, `told by ${message.sender}`, now, isNews)
    for (const value of message.values) this.takeValue(value, now)
    this.answer(from, message, now)
  }

  private answer (from: string, message: GossipMessage, now: Millis): void {
    const { sender, body } = message
    const peer = this.table.get(sender)
    switch (body.type) {
      case 'ping':
        if (body.target === this.self.node) this.send(from, { type: 'ack', sequence: body.sequence }, peer, this.isMisjudgedIn(message))
        return
      case 'ping_request': return this.detector.relay(from, body.sequence, body.target, now)
      case 'ack': return this.detector.acknowledge(body.sequence)
      case 'nack': return this.detector.negativeAcknowledge(body.sequence)
      case 'join': return this.dissemination.answerJoin(from, peer)
      case 'digest': return this.dissemination.answerDigest(from, peer, body)
      case 'push': return
      case 'sync': return
      default: return assertNever(body)
    }
  }

  // The sender may hold a claim that this node refuted before, and which is news to no one else.
  private isMisjudgedIn ({ updates }: GossipMessage): boolean {
    return updates.some((claim) => claim.node === this.self.node && claim.state !== MemberState.Alive)
  }

  private take (claim: Member, reason: string, now: Millis, isNews = true): void {
    if (claim.node === this.self.node) return this.takeOwn(claim, now)
    const previous = this.table.merge(claim, now)
    if (previous === undefined) return
    const member = this.table.get(claim.node) as Member
    if (isNews) this.dissemination.add(member.node)
    this.detector.track(member, now)
    if (member.state === MemberState.Left) this.forgetValues(member.node)
    else if (previous !== null && previous.startedAt !== member.startedAt) this.forgetValues(member.node, member.startedAt)
    this.effects.push({ type: 'member_changed', member, previous: previous?.state ?? null, reason })
  }

  // A claim about this node that is not its own is refuted with a greater incarnation.
  private takeOwn (claim: Member, now: Millis): void {
    if (claim.startedAt > this.self.startedAt) return this.outlive(claim, now)
    if (claim.startedAt < this.self.startedAt || this.self.state === MemberState.Left) return
    const learntStop = claim.leaving && !this.self.leaving
    const refuted = claim.incarnation >= this.self.incarnation && claim.state !== MemberState.Alive
    const outdated = claim.incarnation > this.self.incarnation
    if (!learntStop && !refuted && !outdated) return
    if (refuted && claim.state === MemberState.Suspect) this.detector.suspectedByOthers()
    this.self = { ...this.self, incarnation: Math.max(this.self.incarnation, claim.incarnation) }
    if (learntStop) this.announce({ leaving: true }, 'told that it is leaving', now)
    else this.announce({}, 'refuted a claim', now)
  }

  // The clock of this VM is behind that of the process that had the same name.
  private outlive (claim: Member, now: Millis): void {
    this.self = { ...this.self, startedAt: claim.startedAt + 1, incarnation: 0 }
    this.board.restart(this.self.startedAt, now)
    this.announce({}, 'another process had this name', now)
  }

  private announce (change: OwnChange, reason: string, now: Millis): void {
    const previous = this.self.state
    this.self = { ...this.self, ...change, incarnation: this.self.incarnation + 1 }
    this.table.put(this.self, now)
    this.dissemination.add(this.self.node)
    this.effects.push({ type: 'member_changed', member: this.self, previous, reason })
  }

  private takeValue (value: GossipValue, now: Millis): void {
    const publisher = this.table.get(value.node)
    if (publisher !== undefined && (publisher.state === MemberState.Left || value.startedAt < publisher.startedAt)) return
    if (this.board.receive(value, now)) this.effects.push({ type: 'value_changed', value })
  }

  private forgetValues (node: NodeId, before?: number): void {
    for (const topic of this.board.forget(node, before)) this.effects.push({ type: 'value_removed', node, topic })
  }

  // A wrong belief about the receiver travels with every message to it, so that it can refute.
  private send (to: string, body: GossipBody, peer?: Member, introduce = false): void {
    const updates: Member[] = []
    if (introduce || peer === undefined || peer.state !== MemberState.Alive) updates.push(this.self)
    if (peer !== undefined && peer.state !== MemberState.Alive) updates.push(compactClaim(peer))
    let room = UPDATE_ROOM - updates.reduce((sum, update) => sum + updateBytes(update), bodyBytes(body))
    for (const update of this.dissemination.takeUpdates(room, this.lastEvent ?? 0)) {
      room -= updateBytes(update)
      if (!updates.some((other) => other.node === update.node)) updates.push(update)
    }
    const values = peer === undefined ? [] : this.dissemination.takeDurable(room, peer)
    if (body.type === 'push' && updates.length === 0 && values.length === 0) return
    this.emit(to, { sender: this.self.node, body, updates, values })
  }

  private emit (to: string, message: GossipMessage): void {
    this.effects.push({ type: 'send', to, message })
  }
}
