import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import { Membership } from '../src/index.js'
import type { FailureDomain, GossipMessage, Member, MembershipEffect, MembershipEvent, MembershipTimings, NodeId } from '../src/index.js'

const STEP = 10
const TICK = 50

interface Delivery {
  readonly at: number
  readonly from: string
  readonly to: string
  readonly message: GossipMessage
}

interface Participant {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  membership: Membership
  isRunning: boolean
  pausedUntil: number
  lastPaused: number
}

export interface GroupOptions {
  readonly seed: number
  readonly size: number
  readonly domains?: number
  readonly loss?: number
  readonly duplication?: number
  readonly maxLatency?: number
  readonly timings?: Partial<MembershipTimings>
}

/** A claim that a member is unreachable, made by the node `by` itself. */
export interface OwnClaim {
  readonly by: NodeId
  readonly about: NodeId
  readonly at: number
}

/** Runs several `Membership` instances in simulated time; messages between them are delayed, lost, duplicated and reordered. */
export class MemberGroup {
  readonly participants: Participant[] = []
  readonly claims: OwnClaim[] = []
  loss: number
  now = 0
  private readonly rng: RandomGenerator
  private deliveries: Delivery[] = []
  private isCut: (from: FailureDomain, to: FailureDomain) => boolean = () => false

  constructor (private readonly options: GroupOptions) {
    this.rng = xoroshiro128plus(options.seed)
    this.loss = options.loss ?? 0
    for (let index = 0; index < options.size; index += 1) this.join(index)
  }

  at (index: number): Participant {
    return this.participants[index] as Participant
  }

  pause (index: number, length: number): void {
    this.at(index).pausedUntil = this.now + length
  }

  crash (index: number): void {
    this.at(index).isRunning = false
  }

  restart (index: number, startedAt = this.now + 1): void {
    const participant = this.at(index)
    participant.membership = this.create(index, startedAt)
    participant.isRunning = true
  }

  /** Drops messages from one failure domain to another for which `isCut` returns true. */
  partitionWhere (isCut: (from: FailureDomain, to: FailureDomain) => boolean): void {
    this.isCut = isCut
  }

  handle (index: number, event: MembershipEvent): void {
    this.applyEffectsOf(this.at(index), this.at(index).membership.handle(event, this.now))
  }

  /** Applies effects that were not returned for an event. */
  applyEffects (index: number, effects: readonly MembershipEffect[]): void {
    this.applyEffectsOf(this.at(index), effects)
  }

  run (length: number): void {
    const end = this.now + length
    while (this.now < end) {
      this.now += STEP
      this.deliver()
      this.participants.forEach((participant, index) => {
        if (this.isPaused(participant)) participant.lastPaused = this.now
        else if (participant.isRunning && (this.now + index * STEP) % TICK === 0) this.handle(index, { type: 'ticked' })
      })
    }
  }

  /** Runs until the condition holds and returns the elapsed time, or null if `limit` is exceeded. */
  runUntil (condition: () => boolean, limit: number): number | null {
    const start = this.now
    while (this.now - start <= limit) {
      if (condition()) return this.now - start
      this.run(STEP)
    }
    return null
  }

  running (): Participant[] {
    return this.participants.filter((participant) => participant.isRunning)
  }

  /** Whether all running nodes have the same entries, in which exactly the running nodes are alive. */
  isConsistent (): boolean {
    const views = this.running().map(({ membership }) => membership.members().map(summary).sort().join('\n'))
    return views.every((view) => view === views[0]) && this.running().every(({ membership }) => this.isAccurate(membership))
  }

  private isAccurate (membership: Membership): boolean {
    return this.participants.every(({ node, isRunning: running }) => (membership.member(node)?.state === 'alive') === running)
  }

  private join (index: number): void {
    this.participants.push({
      node: `n${index}` as NodeId,
      failureDomain: this.domainOf(index),
      membership: this.create(index, 1),
      isRunning: true,
      pausedUntil: -1,
      lastPaused: -Infinity
    })
  }

  private domainOf (index: number): FailureDomain {
    return `fd${index % (this.options.domains ?? 3)}` as FailureDomain
  }

  private create (index: number, startedAt: number): Membership {
    return new Membership({
      identity: { node: `n${index}` as NodeId, failureDomain: this.domainOf(index), peerAddress: `p:${index}`, gossipAddress: `g:${index}`, startedAt },
      seeds: index === 0 ? [] : ['g:0'],
      rng: xoroshiro128plus(this.options.seed * 1_000 + index),
      ...(this.options.timings === undefined ? {} : { timings: this.options.timings })
    })
  }

  private isPaused (participant: Participant): boolean {
    return participant.isRunning && this.now < participant.pausedUntil
  }

  private deliver (): void {
    const due = this.deliveries.filter((delivery) => delivery.at <= this.now)
    if (due.length === 0) return
    this.deliveries = this.deliveries.filter((delivery) => delivery.at > this.now)
    for (const { to, from, message } of due) {
      const index = Number(to.slice(2))
      const receiver = this.at(index)
      if (receiver.isRunning && !this.isPaused(receiver)) this.handle(index, { type: 'received', from, message })
    }
  }

  private applyEffectsOf (participant: Participant, effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'send') this.send(participant, effect.to, effect.message)
      if (effect.type === 'member_changed' && effect.reason === 'suspicion was not refuted') {
        this.claims.push({ by: participant.node, about: effect.member.node, at: this.now })
      }
    }
  }

  private send (sender: Participant, to: string, message: GossipMessage): void {
    const receiver = this.participants[Number(to.slice(2))]
    if (receiver === undefined || this.isCut(sender.failureDomain, receiver.failureDomain)) return
    const copies = this.chance(this.loss) ? 0 : this.chance(this.options.duplication ?? 0) ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      const at = this.now + uniformInt(this.rng, 1, this.options.maxLatency ?? 20)
      this.deliveries.push({ at, from: sender.membership.me.gossipAddress, to, message })
    }
  }

  private chance (probability: number): boolean {
    return uniformInt(this.rng, 1, 10_000) <= probability * 10_000
  }
}

const summary = (member: Member): string =>
  `${member.node} ${member.state} ${member.leaving} ${member.incarnation} ${member.startedAt}`
