import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import { assertNever } from '../types.js'
import type { Millis, NodeId } from '../types.js'
import { DEFAULT_TIMINGS, ENVELOPE_BYTES, EXTRA_PROBES_PER_SECOND, MAX_DATAGRAM_BYTES, MAX_SYNC_DATAGRAMS, URGENT_DATAGRAMS_PER_SECOND } from './constants.js'
import { GossipBoard } from './GossipBoard.js'
import { LocalHealth } from './LocalHealth.js'
import { MemberTable } from './MemberTable.js'
import { updateBytes, valueBytes } from './messageSize.js'
import { isReachable } from './precedence.js'
import { Probes } from './Probes.js'
import type { Probe } from './Probes.js'
import { ProbeSchedule, sample } from './ProbeSchedule.js'
import { MemberState } from './types.js'
import type { GossipBody, GossipMessage, GossipValue, Identity, ListedVm, Member, MembershipEffect, MembershipEvent, MembershipTimings, ValueScope } from './types.js'
import { UpdateQueue } from './UpdateQueue.js'

/** Options of a node's membership. */
export interface MembershipOptions {
  readonly identity: Identity
  /** Gossip addresses to join through. */
  readonly seeds: readonly string[]
  readonly rng: RandomGenerator
  readonly timings?: Partial<MembershipTimings>
}

const UPDATE_ROOM = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES

/** Sans-I/O SWIM with a gossip board on the same datagrams: takes events and returns effects. */
export class Membership {
  readonly board: GossipBoard
  private readonly table = new MemberTable()
  private readonly queue = new UpdateQueue()
  private readonly probes = new Probes()
  private readonly schedule: ProbeSchedule
  private readonly health: LocalHealth
  private readonly timings: MembershipTimings
  private readonly rng: RandomGenerator
  private readonly suspicions = new Map<NodeId, Millis>()
  private readonly extraTargets: NodeId[] = []
  private seeds: readonly string[]
  private self: Member
  private effects: MembershipEffect[] = []
  private lastTick: Millis | null = null
  private nextProbe: Millis = 0
  private nextGossip: Millis = 0
  private nextSync: Millis = 0
  private nextReconnect: Millis = 0
  private nextRefresh: Millis = 0
  private urgentTokens = URGENT_DATAGRAMS_PER_SECOND
  private extraTokens = EXTRA_PROBES_PER_SECOND

  constructor (options: MembershipOptions) {
    this.timings = { ...DEFAULT_TIMINGS, ...options.timings }
    this.rng = options.rng
    this.seeds = options.seeds
    this.self = { ...options.identity, state: MemberState.Alive, leaving: false, incarnation: 0 }
    this.health = new LocalHealth(this.timings.maxLocalHealth)
    this.schedule = new ProbeSchedule(this.self.node, this.rng)
    this.board = new GossipBoard({
      node: this.self.node,
      failureDomain: this.self.failureDomain,
      startedAt: this.self.startedAt,
      budget: this.timings.valueBudget
    })
  }

  /** This node's own entry. */
  get me (): Member {
    return this.self
  }

  /** 0 while this node trusts its own judgement. */
  get localHealth (): number {
    return this.health.value
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
    if (event.type !== 'stopped') this.pushUrgent()
    return this.effects
  }

  /**
   * Publishes a value of this node.
   *
   * @returns effects; empty where the contents did not change
   * @throws RangeError where the value does not fit a datagram
   */
  publish (topic: string, bytes: Uint8Array, scope: ValueScope, durable: boolean): MembershipEffect[] {
    const value = this.board.publish(topic, bytes, scope, durable)
    return value === null ? [] : [{ type: 'value_changed', value }]
  }

  private apply (event: MembershipEvent, now: Millis): void {
    switch (event.type) {
      case 'ticked': return this.tick(now)
      case 'received': return this.receive(event.from, event.message, now)
      case 'vm_listed': return this.takeVmList(event.asOf, event.vms, now)
      case 'seeds_changed':
        this.seeds = event.addresses
        return
      case 'call_failed': return this.probe(event.node, now)
      case 'leave': return this.announce({ leaving: true }, 'planned stop', now)
      case 'stopped': return this.stop(now)
      default: return assertNever(event)
    }
  }

  // After a pause nothing that was awaited before it says anything about the others.
  private noticePause (now: Millis): void {
    const previous = this.lastTick
    this.lastTick = now
    if (previous === null) return this.begin(now)
    const gap = now - previous
    if (gap <= this.timings.pauseThreshold) return
    this.probes.clear()
    this.extraTargets.length = 0
    this.health.distrust()
    for (const node of this.suspicions.keys()) this.suspicions.set(node, now + this.health.scale(this.timings.suspicionTimeout))
    this.effects.push({ type: 'self_distrusted', gap })
    this.announce({}, 'rejoined after a pause', now)
    this.nextReconnect = now
  }

  private begin (now: Millis): void {
    this.table.put(this.self, now)
    this.queue.add(this.self.node)
    this.nextProbe = now + uniformInt(this.rng, 0, this.timings.probePeriod)
    this.nextGossip = now + uniformInt(this.rng, 0, this.timings.gossipPeriod)
    this.nextSync = now + uniformInt(this.rng, 0, this.timings.antiEntropyPeriod)
    this.nextRefresh = now + 2 * this.timings.antiEntropyPeriod
    this.nextReconnect = now
  }

  private tick (now: Millis): void {
    this.expireProbes(now)
    this.expireSuspicions(now)
    if (now >= this.nextProbe) this.probePeriodically(now)
    if (now >= this.nextReconnect) this.reconnect(now)
    if (now >= this.nextGossip) this.gossip(now)
    if (now >= this.nextSync) this.startSync(now)
    this.probeExtra(now)
  }

  private probePeriodically (now: Millis): void {
    this.nextProbe = now + this.timings.probePeriod
    this.urgentTokens = URGENT_DATAGRAMS_PER_SECOND
    this.extraTokens = EXTRA_PROBES_PER_SECOND
    const successor = this.schedule.successor(this.table.inDomain(this.self.failureDomain))
    if (successor !== null) this.probe(successor.node, now)
    const next = this.schedule.nextOfRound(this.table.reachable())
    if (next !== null) this.probe(next.node, now)
    for (const node of this.table.forgetLeft(now, this.timings.tombstoneLifetime)) this.queue.remove(node)
    if (now < this.nextRefresh) return
    this.nextRefresh = now + 2 * this.timings.antiEntropyPeriod
    this.board.refresh()
  }

  // A suspect in another failure domain may be the first sign of a cut: its neighbours are probed early.
  private probeExtra (now: Millis): void {
    while (this.extraTokens > 0 && this.extraTargets.length > 0) {
      this.extraTokens -= 1
      this.probe(this.extraTargets.shift() as NodeId, now)
    }
  }

  private probe (node: NodeId, now: Millis): void {
    const member = this.table.get(node)
    if (member === undefined || node === this.self.node || this.probes.isProbing(node)) return
    const probe = this.probes.start(node, now)
    this.send(member.gossipAddress, { type: 'ping', sequence: probe.sequence, target: node }, member)
  }

  private expireProbes (now: Millis): void {
    const late = this.probes.takeRelayedBefore(now - this.timings.relayTimeout)
    for (const relayed of late) this.send(relayed.requester, { type: 'nack', sequence: relayed.requesterSequence })
    for (const probe of this.probes.all()) {
      if (probe.indirectAt === null) this.askHelpers(probe, now)
      else if (now - probe.indirectAt >= this.health.scale(this.timings.indirectTimeout)) this.failProbe(probe, now)
    }
  }

  private askHelpers (probe: Probe, now: Millis): void {
    if (now - probe.sentAt < this.health.scale(this.timings.ackTimeout)) return
    probe.indirectAt = now
    const helpers = this.chooseHelpers(probe.target)
    probe.asked = helpers.length
    for (const helper of helpers) {
      this.send(helper.gossipAddress, { type: 'ping_request', sequence: probe.sequence, target: probe.target }, helper)
    }
  }

  // One helper is a neighbour, whose answer shows that this node itself is connected.
  private chooseHelpers (target: NodeId): Member[] {
    const candidates = this.others().filter((member) => member.node !== target && member.state === MemberState.Alive)
    const neighbours = candidates.filter((member) => member.failureDomain === this.self.failureDomain)
    const neighbour = sample(this.rng, neighbours, Math.min(1, this.timings.helpers))
    const rest = candidates.filter((member) => !neighbour.includes(member))
    return [...neighbour, ...sample(this.rng, rest, this.timings.helpers - neighbour.length)]
  }

  private failProbe (probe: Probe, now: Millis): void {
    this.probes.finish(probe.sequence)
    if (probe.asked > 0 && probe.nacks === 0) this.health.worsen()
    const member = this.table.get(probe.target)
    if (member === undefined || member.state !== MemberState.Alive) return
    this.take({ ...member, state: MemberState.Suspect }, 'probes were not answered', now)
  }

  private expireSuspicions (now: Millis): void {
    for (const [node, deadline] of [...this.suspicions]) {
      if (now < deadline) continue
      this.suspicions.delete(node)
      const member = this.table.get(node)
      if (member?.state === MemberState.Suspect) this.take({ ...member, state: MemberState.Unreachable }, 'suspicion was not refuted', now)
    }
  }

  private reconnect (now: Millis): void {
    this.nextReconnect = now + this.timings.reconnectPeriod
    const [lost] = sample(this.rng, this.table.inState(MemberState.Unreachable), 1)
    if (lost !== undefined) this.send(lost.gossipAddress, { type: 'ping', sequence: 0, target: lost.node }, lost)
    const known = new Set(this.table.reachable().map((member) => member.gossipAddress))
    const [seed] = sample(this.rng, this.seeds.filter((address) => !known.has(address)), 1)
    if (seed !== undefined) this.send(seed, { type: 'join' })
  }

  private gossip (now: Millis): void {
    this.nextGossip = now + this.timings.gossipPeriod
    if (this.queue.size > 0) this.pushTo(sample(this.rng, this.others(), this.timings.fanout))
    const neighbours = this.others().filter((member) => member.failureDomain === this.self.failureDomain)
    const distant = this.others().filter((member) => member.failureDomain !== this.self.failureDomain)
    for (const peer of sample(this.rng, neighbours, this.timings.fanout)) this.pushValues(peer, now)
    for (const peer of sample(this.rng, distant, 1)) this.pushValues(peer, now)
  }

  private pushValues (peer: Member, now: Millis): void {
    if (!this.board.mayPush(now)) return
    const values = this.takeValues(UPDATE_ROOM, peer, now)
    if (values.length === 0) return
    this.emit(peer.gossipAddress, { sender: this.self.node, body: { type: 'push' }, updates: [], values })
  }

  private pushUrgent (): void {
    while (this.urgentTokens > 0 && this.queue.hasUnsent()) {
      const peers = this.urgentPeers()
      if (peers.length === 0) return
      this.urgentTokens -= peers.length
      this.pushTo(peers)
    }
  }

  private urgentPeers (): Member[] {
    const others = this.others()
    const neighbours = others.filter((member) => member.failureDomain === this.self.failureDomain)
    const distant = others.filter((member) => member.failureDomain !== this.self.failureDomain)
    return [...sample(this.rng, neighbours, this.timings.fanout), ...sample(this.rng, distant, 1)]
  }

  private pushTo (peers: readonly Member[]): void {
    for (const peer of peers) this.send(peer.gossipAddress, { type: 'push' }, peer)
  }

  private startSync (now: Millis): void {
    this.nextSync = now + this.timings.antiEntropyPeriod
    const [peer] = sample(this.rng, this.others(), 1)
    if (peer === undefined) return
    this.send(peer.gossipAddress, { type: 'digest', members: this.table.digest(), values: this.board.digest(), reply: false }, peer)
  }

  private receive (from: string, message: GossipMessage, now: Millis): void {
    for (const update of message.updates) this.take(update, `told by ${message.sender}`, now)
    for (const value of message.values) this.takeValue(value)
    this.answer(from, message, now)
  }

  private answer (from: string, message: GossipMessage, now: Millis): void {
    const { body } = message
    const sender = this.table.get(message.sender)
    switch (body.type) {
      case 'ping':
        if (body.target === this.self.node) this.send(from, { type: 'ack', sequence: body.sequence }, sender)
        return
      case 'ping_request': return this.relay(from, body.sequence, body.target, now)
      case 'ack': return this.acknowledge(body.sequence)
      case 'nack': {
        const probe = this.probes.get(body.sequence)
        if (probe !== undefined) probe.nacks += 1
        return
      }
      case 'join': return this.sync(from, this.table.all(), this.board.snapshot(sender?.failureDomain === this.self.failureDomain))
      case 'digest': return this.answerDigest(from, message, body)
      case 'push': return
      default: return assertNever(body)
    }
  }

  private relay (from: string, sequence: number, target: NodeId, now: Millis): void {
    const member = this.table.get(target)
    if (member === undefined) return
    const relayed = this.probes.relay(from, sequence, now)
    this.send(member.gossipAddress, { type: 'ping', sequence: relayed, target }, member)
  }

  private acknowledge (sequence: number): void {
    const relayed = this.probes.finishRelayed(sequence)
    if (relayed !== undefined) return this.send(relayed.requester, { type: 'ack', sequence: relayed.requesterSequence })
    if (this.probes.finish(sequence) !== undefined) this.health.improve()
  }

  private answerDigest (from: string, message: GossipMessage, body: Extract<GossipBody, { type: 'digest' }>): void {
    const sameDomain = this.table.get(message.sender)?.failureDomain === this.self.failureDomain
    const members = this.table.differing(body.members)
    const values = this.board.differing(body.values, sameDomain)
    if (members.length === 0 && values.length === 0 && sameNumbers(body.members, this.table.digest()) && sameNumbers(body.values, this.board.digest())) return
    if (!body.reply) this.send(from, { type: 'digest', members: this.table.digest(), values: this.board.digest(), reply: true })
    this.sync(from, members, values)
  }

  private sync (to: string, members: readonly Member[], values: readonly GossipValue[]): void {
    const batches = packDatagrams(members, values).slice(0, MAX_SYNC_DATAGRAMS)
    for (const batch of batches) this.emit(to, { sender: this.self.node, body: { type: 'push' }, ...batch })
  }

  private take (claim: Member, reason: string, now: Millis): void {
    if (claim.node === this.self.node) return this.takeOwn(claim, now)
    const previous = this.table.merge(claim, now)
    if (previous === undefined) return
    const member = this.table.get(claim.node) as Member
    this.queue.add(member.node)
    this.trackSuspicion(member, now)
    if (member.state === MemberState.Left || (previous !== null && previous.startedAt !== member.startedAt)) this.forgetValues(member.node)
    this.effects.push({ type: 'member_changed', member, previous: previous?.state ?? null, reason })
  }

  private trackSuspicion (member: Member, now: Millis): void {
    if (member.state !== MemberState.Suspect) {
      this.suspicions.delete(member.node)
      return
    }
    this.suspicions.set(member.node, now + this.health.scale(this.timings.suspicionTimeout))
    if (member.failureDomain === this.self.failureDomain) return
    const neighbours = this.table.inDomain(member.failureDomain).filter((other) => other.state === MemberState.Alive)
    for (const other of sample(this.rng, neighbours, 2)) {
      if (this.extraTargets.length < 2 * EXTRA_PROBES_PER_SECOND) this.extraTargets.push(other.node)
    }
  }

  // A claim about this node that is not its own is refuted with a greater incarnation.
  private takeOwn (claim: Member, now: Millis): void {
    if (claim.startedAt > this.self.startedAt) {
      this.self = { ...this.self, startedAt: claim.startedAt + 1, incarnation: 0 }
      this.board.restart(this.self.startedAt)
      return this.announce({}, 'another life of this node was known', now)
    }
    if (claim.startedAt < this.self.startedAt) return
    const leaving = this.self.leaving || claim.leaving
    const refuted = claim.incarnation >= this.self.incarnation && claim.state !== MemberState.Alive && this.self.state !== MemberState.Left
    if (!refuted && leaving === this.self.leaving && claim.incarnation <= this.self.incarnation) return
    if (refuted && claim.state === MemberState.Suspect) this.health.worsen()
    this.self = { ...this.self, incarnation: Math.max(this.self.incarnation, claim.incarnation) }
    this.announce({ leaving }, leaving && !this.self.leaving ? 'told that it is leaving' : 'refuted a claim', now)
  }

  private announce (change: { readonly leaving?: boolean, readonly state?: MemberState }, reason: string, now: Millis): void {
    const previous = this.self.state
    this.self = { ...this.self, ...change, incarnation: this.self.incarnation + 1 }
    this.table.put(this.self, now)
    this.queue.add(this.self.node)
    this.effects.push({ type: 'member_changed', member: this.self, previous, reason })
  }

  private stop (now: Millis): void {
    this.announce({ leaving: true, state: MemberState.Left }, 'stopped', now)
    this.pushTo(sample(this.rng, this.others(), 2 * this.timings.fanout))
  }

  // The list lags: a member is dropped only where it is unreachable too, and a stop is believed only of the process that ran then.
  private takeVmList (asOf: number, vms: readonly ListedVm[], now: Millis): void {
    const listed = new Map(vms.map((vm) => [vm.node, vm]))
    for (const member of this.table.all()) {
      if (member.startedAt >= asOf) continue
      const vm = listed.get(member.node)
      if (vm === undefined && member.state === MemberState.Unreachable) this.take({ ...member, state: MemberState.Left }, 'no longer in the VM list', now)
      if (vm?.leaving === true && !member.leaving) this.take({ ...member, leaving: true }, 'leaving by the VM list', now)
    }
  }

  private takeValue (value: GossipValue): void {
    if (this.table.get(value.node)?.state === MemberState.Left) return
    if (this.board.receive(value)) this.effects.push({ type: 'value_changed', value })
  }

  private forgetValues (node: NodeId): void {
    for (const topic of this.board.forget(node)) this.effects.push({ type: 'value_removed', node, topic })
  }

  private others (): Member[] {
    return this.table.reachable().filter((member) => member.node !== this.self.node)
  }

  private takeValues (room: number, peer: Member, now: Millis): GossipValue[] {
    const sameDomain = peer.failureDomain === this.self.failureDomain
    const audience = sameDomain ? this.table.inDomain(peer.failureDomain).length : this.table.reachable().length
    return this.board.take(room, peer.node, sameDomain, audience, now)
  }

  // What is wrongly believed of the receiver travels with every message to it, so that it can refute.
  private send (to: string, body: GossipBody, peer?: Member): void {
    const updates: Member[] = []
    if (body.type === 'join' || peer === undefined) updates.push(this.self)
    if (peer !== undefined && (!isReachable(peer) || peer.state === MemberState.Suspect)) updates.push(peer, this.self)
    const used = updates.reduce((sum, update) => sum + updateBytes(update), 0)
    const digestRoom = body.type === 'digest' ? 5 * (body.members.length + body.values.length) : 0
    const queued = this.queue.take(UPDATE_ROOM - used - digestRoom, this.table.reachable().length, (node) => this.table.get(node))
    updates.push(...queued.filter((update) => !updates.some((other) => other.node === update.node)))
    this.emit(to, { sender: this.self.node, body, updates, values: [] })
  }

  private emit (to: string, message: GossipMessage): void {
    this.effects.push({ type: 'send', to, message })
  }
}

const sameNumbers = (a: readonly number[], b: readonly number[]): boolean =>
  a.length === b.length && a.every((value, index) => value === b[index])

interface Batch {
  updates: Member[]
  values: GossipValue[]
}

const packDatagrams = (members: readonly Member[], values: readonly GossipValue[]): Batch[] => {
  const batches: Batch[] = []
  let room = 0
  let batch: Batch = { updates: [], values: [] }
  const reserve = (size: number): Batch => {
    if (size > room) {
      batch = { updates: [], values: [] }
      batches.push(batch)
      room = UPDATE_ROOM
    }
    room -= size
    return batch
  }
  for (const member of members) reserve(updateBytes(member)).updates.push(member)
  for (const value of values) reserve(valueBytes(value)).values.push(value)
  return batches
}
