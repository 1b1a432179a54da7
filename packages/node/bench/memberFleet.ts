/** Simulates a fleet of membership aggregates in one process, without sockets, and measures the cost of a node. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import { HEADER_BYTES, MAX_DATAGRAM_BYTES, Membership, TICK_PERIOD_MS, VALUE_LIFETIME_MS, ValueScope } from '@bluebellhill/domain'
import type { FailureDomain, GossipMessage, MembershipEffect, MembershipEvent, MembershipTimings, NodeId } from '@bluebellhill/domain'

import { decodeGossip, encodeGossip, verifyDatagram, signDatagram } from '../src/index.js'

const SECRET = 'bench'
const STEP_MS = 5
const LATENCY_STEPS = 1
const STAMP_BYTES = 8
/** Size of one model in a summary: a stamp and rounded figures. */
const MODEL_BYTES = 20

/** Cost of a run, summed over all nodes. */
export interface Cost {
  /** Wall-clock milliseconds spent in the membership aggregates; on a busy machine this is more than the processor time. */
  decideMs: number
  /** Wall-clock milliseconds spent on encoding, authenticating and decoding datagrams. */
  codecMs: number
  datagrams: number
  bytes: number
  largest: number
  oversized: number
}

interface SimulatedNode {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  membership: Membership
  running: boolean
}

/** Size, seed and timings of a simulated fleet. */
export interface FleetOptions {
  readonly nodes: number
  readonly domains: number
  readonly seed: number
  readonly timings?: Partial<MembershipTimings>
}

const createSummary = (now: number, models: number): Uint8Array => {
  const bytes = new Uint8Array(STAMP_BYTES + models * MODEL_BYTES)
  new DataView(bytes.buffer).setFloat64(0, now)
  return bytes
}

export class MemberFleet {
  readonly nodes: SimulatedNode[] = []
  now = 0
  cost: Cost = emptyCost()
  private deliveries: Array<Array<{ to: number, from: string, datagram: Buffer }>> = [[]]
  private isolatedDomain: FailureDomain | null = null

  constructor (private readonly options: FleetOptions) {
    for (let index = 0; index < options.nodes; index += 1) {
      this.nodes.push({ node: `node-${index}` as NodeId, failureDomain: this.domainOf(index), membership: this.create(index, 1), running: true })
    }
  }

  resetCost (): void {
    this.cost = emptyCost()
  }

  isolateDomain (failureDomain: FailureDomain | null): void {
    this.isolatedDomain = failureDomain
  }

  crash (index: number): void {
    this.nodeAt(index).running = false
  }

  restart (index: number): void {
    const member = this.nodeAt(index)
    member.membership = this.create(index, this.now + 1)
    member.running = true
  }

  /** Publishes a summary of the given number of models at each running node, stamped with the current time. */
  publishSummaries (models: number): void {
    this.nodes.forEach((member, index) => {
      if (member.running) this.publish(index, 'summary/0', createSummary(this.now, models), ValueScope.Subscribers, false)
    })
  }

  /** Publishes the aggregate of each failure domain at the first running node of the domain. */
  publishAggregates (models: number): void {
    for (let domain = 0; domain < this.options.domains; domain += 1) {
      const index = this.nodes.findIndex((member) => member.running && member.failureDomain === this.domainOf(domain))
      this.publish(index, 'aggregate/0', createSummary(this.now, models), ValueScope.Fleet, false)
    }
  }

  publishRevision (index: number, revision: number): void {
    this.publish(index, 'configuration/fleet', Uint8Array.of(revision), ValueScope.Fleet, true)
  }

  /** Advances the simulated time by `duration` milliseconds and calls `each` every 250 ms of it. */
  run (duration: number, each: () => void = () => {}): void {
    const end = this.now + duration
    while (this.now < end) {
      this.now += STEP_MS
      this.deliver()
      this.nodes.forEach((member, index) => {
        if (member.running && (this.now + index * STEP_MS) % TICK_PERIOD_MS === 0) this.applyEvent(index, { type: 'ticked' })
      })
      if (this.now % 250 === 0) each()
    }
  }

  /** Runs until the condition holds; returns the simulated milliseconds, or null if it did not hold within `limit`. */
  runUntil (condition: () => boolean, limit: number): number | null {
    const start = this.now
    while (this.now - start < limit) {
      if (condition()) return this.now - start
      this.run(50)
    }
    return null
  }

  /**
   * Returns the ages in milliseconds, in ascending order, of the values that every seventh node stores of other publishers.
   *
   * @param prefix - prefix of the topics
   * @param sameDomain - whether publisher and reader are in the same failure domain
   */
  ages (prefix: string, sameDomain: boolean): number[] {
    const ages: number[] = []
    for (let index = 0; index < this.nodes.length; index += 7) {
      const reader = this.nodeAt(index)
      for (const value of reader.membership.board.valuesUnder(prefix, this.now - VALUE_LIFETIME_MS)) {
        const publisher = this.nodes.find(({ node }) => node === value.node)
        if (publisher === undefined || value.node === reader.node) continue
        if ((publisher.failureDomain === reader.failureDomain) !== sameDomain) continue
        ages.push(this.now - new DataView(value.bytes.buffer, value.bytes.byteOffset).getFloat64(0))
      }
    }
    return ages.sort((a, b) => a - b)
  }

  /** Returns whether every running node sees each member in the expected state. */
  allNodesSee (expected: (reader: SimulatedNode, member: SimulatedNode) => string): boolean {
    return this.nodes.every((reader) => !reader.running || this.nodes.every((member) => reader.membership.member(member.node)?.state === expected(reader, member)))
  }

  nodeAt (index: number): SimulatedNode {
    return this.nodes[index] as SimulatedNode
  }

  domainOf (index: number): FailureDomain {
    return `domain-${index % this.options.domains}` as FailureDomain
  }

  private create (index: number, startedAt: number): Membership {
    return new Membership({
      identity: { node: `node-${index}` as NodeId, failureDomain: this.domainOf(index), peerAddress: `10.20.${index >> 8}.${index % 256}:7000`, gossipAddress: `10.20.${index >> 8}.${index % 256}:${10_000 + index}`, startedAt },
      seeds: index < 3 ? [] : [0, 1, 2].map((seed) => `10.20.0.${seed}:${10_000 + seed}`),
      rng: xoroshiro128plus(this.options.seed + index),
      ...(this.options.timings === undefined ? {} : { timings: this.options.timings })
    })
  }

  private publish (index: number, topic: string, bytes: Uint8Array, scope: ValueScope, durable: boolean): void {
    const member = this.nodeAt(index)
    this.applyEffects(member, this.measureTime('decideMs', () => member.membership.publish(topic, bytes, { scope, durable }, this.now)))
  }

  private applyEvent (index: number, event: MembershipEvent): void {
    const member = this.nodeAt(index)
    this.applyEffects(member, this.measureTime('decideMs', () => member.membership.handle(event, this.now)))
  }

  private deliver (): void {
    const due = this.deliveries.shift() ?? []
    for (const { to, from, datagram } of due) {
      if (!this.nodeAt(to).running) continue
      const message = this.measureTime('codecMs', () => decodeGossip(verifyDatagram([SECRET], datagram) as Uint8Array))
      this.applyEvent(to, { type: 'received', from, message })
    }
  }

  private applyEffects (sender: SimulatedNode, effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'send') this.sendDatagram(sender, effect.to, effect.message)
    }
  }

  private sendDatagram (sender: SimulatedNode, address: string, message: GossipMessage): void {
    const to = Number(address.slice(address.lastIndexOf(':') + 1)) - 10_000
    const datagram = this.measureTime('codecMs', () => signDatagram(SECRET, encodeGossip(message)))
    this.cost.datagrams += 1
    this.cost.bytes += datagram.length + HEADER_BYTES
    this.cost.largest = Math.max(this.cost.largest, datagram.length)
    if (datagram.length > MAX_DATAGRAM_BYTES) this.cost.oversized += 1
    const receiver = this.nodes[to]
    if (receiver === undefined || (this.isolatedDomain !== null && (receiver.failureDomain === this.isolatedDomain) !== (sender.failureDomain === this.isolatedDomain))) return
    while (this.deliveries.length <= LATENCY_STEPS) this.deliveries.push([])
    this.deliveries[LATENCY_STEPS]?.push({ to, from: sender.membership.me.gossipAddress, datagram })
  }

  private measureTime <Result>(account: 'decideMs' | 'codecMs', work: () => Result): Result {
    const start = performance.now()
    const result = work()
    this.cost[account] += performance.now() - start
    return result
  }
}

const emptyCost = (): Cost => ({ decideMs: 0, codecMs: 0, datagrams: 0, bytes: 0, largest: 0, oversized: 0 })
