/** Drives many membership aggregates in one process, without sockets, and counts what a node costs. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import { HEADER_BYTES, MAX_DATAGRAM_BYTES, Membership, TICK_PERIOD_MS, VALUE_LIFETIME_MS, ValueScope } from '@bluebellhill/domain'
import type { FailureDomain, GossipMessage, MembershipEffect, MembershipEvent, MembershipTimings, NodeId } from '@bluebellhill/domain'

import { decodeGossip, encodeGossip, verifyDatagram, signDatagram } from '../src/index.js'

const SECRET = 'bench'
const STEP = 5
const LATENCY_STEPS = 1
const STAMP_BYTES = 8
/** Stamp and rounded figures of one model in a summary. */
const MODEL_BYTES = 20

/** What a run cost, over all nodes. */
export interface Cost {
  /** Wall-clock milliseconds in the aggregate; more than processor time where the machine is busy. */
  decideMs: number
  /** The same in encoding, authentication and decoding. */
  codecMs: number
  datagrams: number
  bytes: number
  largest: number
  oversized: number
}

interface Slot {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  membership: Membership
  running: boolean
}

/** Options of the fleet. */
export interface FleetOptions {
  readonly nodes: number
  readonly domains: number
  readonly seed: number
  readonly timings?: Partial<MembershipTimings>
}

const stamped = (now: number, models: number): Uint8Array => {
  const bytes = new Uint8Array(STAMP_BYTES + models * MODEL_BYTES)
  new DataView(bytes.buffer).setFloat64(0, now)
  return bytes
}

export class MemberFleet {
  readonly slots: Slot[] = []
  now = 0
  cost: Cost = emptyCost()
  private deliveries: Array<Array<{ to: number, from: string, datagram: Buffer }>> = [[]]
  private cut: FailureDomain | null = null

  constructor (private readonly options: FleetOptions) {
    for (let index = 0; index < options.nodes; index += 1) {
      this.slots.push({ node: `node-${index}` as NodeId, failureDomain: this.domainOf(index), membership: this.create(index, 1), running: true })
    }
  }

  resetCost (): void {
    this.cost = emptyCost()
  }

  cutOff (failureDomain: FailureDomain | null): void {
    this.cut = failureDomain
  }

  crash (index: number): void {
    this.slot(index).running = false
  }

  restart (index: number): void {
    const slot = this.slot(index)
    slot.membership = this.create(index, this.now + 1)
    slot.running = true
  }

  /** Publishes a stamped summary of so many models at each node. */
  publishSummaries (models: number): void {
    this.slots.forEach((slot, index) => {
      if (slot.running) this.publish(index, 'summary/0', stamped(this.now, models), ValueScope.Subscribers, false)
    })
  }

  /** Publishes the sum of each failure domain at its first running node. */
  publishAggregates (models: number): void {
    for (let domain = 0; domain < this.options.domains; domain += 1) {
      const index = this.slots.findIndex((slot) => slot.running && slot.failureDomain === this.domainOf(domain))
      this.publish(index, 'aggregate/0', stamped(this.now, models), ValueScope.Fleet, false)
    }
  }

  publishRevision (index: number, revision: number): void {
    this.publish(index, 'configuration/fleet', Uint8Array.of(revision), ValueScope.Fleet, true)
  }

  /** Runs for `length` milliseconds and calls `each` every 250 ms. */
  run (length: number, each: () => void = () => {}): void {
    const end = this.now + length
    while (this.now < end) {
      this.now += STEP
      this.deliver()
      this.slots.forEach((slot, index) => {
        if (slot.running && (this.now + index * STEP) % TICK_PERIOD_MS === 0) this.tell(index, { type: 'ticked' })
      })
      if (this.now % 250 === 0) each()
    }
  }

  /** Runs until the condition holds; returns the milliseconds that it took, or null. */
  runUntil (condition: () => boolean, limit: number): number | null {
    const start = this.now
    while (this.now - start < limit) {
      if (condition()) return this.now - start
      this.run(50)
    }
    return null
  }

  /** Ages in milliseconds of the values of a topic prefix, as held by a sample of nodes. */
  ages (prefix: string, sameDomain: boolean): number[] {
    const ages: number[] = []
    for (let index = 0; index < this.slots.length; index += 7) {
      const reader = this.slot(index)
      for (const value of reader.membership.board.valuesUnder(prefix, this.now - VALUE_LIFETIME_MS)) {
        const publisher = this.slots.find(({ node }) => node === value.node)
        if (publisher === undefined || value.node === reader.node) continue
        if ((publisher.failureDomain === reader.failureDomain) !== sameDomain) continue
        ages.push(this.now - new DataView(value.bytes.buffer, value.bytes.byteOffset).getFloat64(0))
      }
    }
    return ages.sort((a, b) => a - b)
  }

  /** Whether every running node holds the state that is expected of each member. */
  sees (expected: (reader: Slot, member: Slot) => string): boolean {
    return this.slots.every((reader) => !reader.running || this.slots.every((slot) => reader.membership.member(slot.node)?.state === expected(reader, slot)))
  }

  slot (index: number): Slot {
    return this.slots[index] as Slot
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
    const slot = this.slot(index)
    this.carryOut(slot, this.timed('decideMs', () => slot.membership.publish(topic, bytes, { scope, durable }, this.now)))
  }

  private tell (index: number, event: MembershipEvent): void {
    const slot = this.slot(index)
    this.carryOut(slot, this.timed('decideMs', () => slot.membership.handle(event, this.now)))
  }

  private deliver (): void {
    const due = this.deliveries.shift() ?? []
    for (const { to, from, datagram } of due) {
      if (!this.slot(to).running) continue
      const message = this.timed('codecMs', () => decodeGossip(verifyDatagram([SECRET], datagram) as Uint8Array))
      this.tell(to, { type: 'received', from, message })
    }
  }

  private carryOut (sender: Slot, effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'send') this.post(sender, effect.to, effect.message)
    }
  }

  private post (sender: Slot, address: string, message: GossipMessage): void {
    const to = Number(address.slice(address.lastIndexOf(':') + 1)) - 10_000
    const datagram = this.timed('codecMs', () => signDatagram(SECRET, encodeGossip(message)))
    this.cost.datagrams += 1
    this.cost.bytes += datagram.length + HEADER_BYTES
    this.cost.largest = Math.max(this.cost.largest, datagram.length)
    if (datagram.length > MAX_DATAGRAM_BYTES) this.cost.oversized += 1
    const receiver = this.slots[to]
    if (receiver === undefined || (this.cut !== null && (receiver.failureDomain === this.cut) !== (sender.failureDomain === this.cut))) return
    while (this.deliveries.length <= LATENCY_STEPS) this.deliveries.push([])
    this.deliveries[LATENCY_STEPS]?.push({ to, from: sender.membership.me.gossipAddress, datagram })
  }

  private timed <Result>(account: 'decideMs' | 'codecMs', work: () => Result): Result {
    const start = performance.now()
    const result = work()
    this.cost[account] += performance.now() - start
    return result
  }
}

const emptyCost = (): Cost => ({ decideMs: 0, codecMs: 0, datagrams: 0, bytes: 0, largest: 0, oversized: 0 })
