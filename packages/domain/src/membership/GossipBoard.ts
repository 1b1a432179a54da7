import type { FailureDomain, Millis, NodeId } from '../types.js'
import { ByteBudget } from './ByteBudget.js'
import { DIGEST_BUCKETS, MAX_DATAGRAM_BYTES, UPDATE_RETRANSMIT_FACTOR, VALUE_RETRANSMIT_FACTOR } from './constants.js'
import { hashText } from './hash.js'
import { bucketOf } from './MemberTable.js'
import { valueBytes } from './messageSize.js'
import { ValueScope } from './types.js'
import type { GossipValue } from './types.js'

interface Entry {
  value: GossipValue
  hash: number
  transmissions: number
  order: number
  pending: boolean
}

/** Options of a board. */
export interface BoardOptions {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  readonly startedAt: number
  /** Bytes a second that values may take in sent datagrams. */
  readonly budget: number
}

/** Who a datagram is for. */
export interface Receiver {
  /** Its own values are left out. */
  readonly node: NodeId
  readonly sameDomain: boolean
  /** Number of nodes that the values are meant for. */
  readonly audience: number
}

const keyOf = (node: NodeId, topic: string): string => `${node}\u0000${topic}`

const isNewer = (value: GossipValue, known: GossipValue): boolean =>
  value.startedAt === known.startedAt ? value.version > known.version : value.startedAt > known.startedAt

/**
 * Small versioned values by node and topic. The greatest version wins; a value that is replaced
 * before it was sent is never sent, so a tight budget costs freshness and no backlog.
 */
export class GossipBoard {
  private readonly entries = new Map<string, Entry>()
  private readonly buckets: number[] = Array.from({ length: DIGEST_BUCKETS }, () => 0)
  private order = 0
  private readonly budget: ByteBudget
  private startedAt: number
  private pendingCount = 0
  private pendingDurable = 0

  constructor (private readonly options: BoardOptions) {
    this.budget = new ByteBudget(options.budget, 2 * MAX_DATAGRAM_BYTES)
    this.startedAt = options.startedAt
  }

  /** Values waiting to be sent. */
  get pending (): number {
    return this.pendingCount
  }

  get size (): number {
    return this.entries.size
  }

  /** Takes a new start stamp after another life of this node was seen to have a later one. */
  restart (startedAt: number): void {
    this.startedAt = startedAt
    for (const entry of [...this.entries.values()]) {
      if (entry.value.node !== this.options.node) continue
      this.store({ ...entry.value, startedAt })
    }
  }

  /**
   * Sets this node's value of a topic.
   *
   * @param topic - name of the value
   * @param bytes - contents; with topic and node it must fit one datagram
   * @param scope - who gets it
   * @param durable - whether anti-entropy covers it; for values of the whole fleet
   * @returns the stored value, or null where the contents did not change
   * @throws RangeError where the value does not fit one datagram, or is durable and not for the whole fleet
   */
  publish (topic: string, bytes: Uint8Array, scope: ValueScope, durable: boolean): GossipValue | null {
    if (durable && scope !== ValueScope.Fleet) throw new RangeError(`durable value of topic ${topic} is not for the whole fleet`)
    const known = this.entries.get(keyOf(this.options.node, topic))?.value
    if (known !== undefined && sameBytes(known.bytes, bytes)) return null
    const value: GossipValue = {
      node: this.options.node,
      topic,
      scope,
      durable,
      startedAt: this.startedAt,
      version: (known?.version ?? 0) + 1,
      bytes
    }
    if (valueBytes(value) > MAX_DATAGRAM_BYTES / 2) throw new RangeError(`value of topic ${topic} has ${bytes.length} bytes and does not fit a datagram`)
    this.store(value)
    return value
  }

  /** Sends this node's values again under a new version, which repairs losses of values that anti-entropy does not cover. */
  refresh (): void {
    for (const entry of [...this.entries.values()]) {
      const { value } = entry
      if (value.node !== this.options.node || value.durable) continue
      this.store({ ...value, version: value.version + 1 })
    }
  }

  /**
   * Takes a value in.
   *
   * @param value - value of another node
   * @returns whether it replaced what was known
   */
  receive (value: GossipValue): boolean {
    if (value.node === this.options.node) return this.receiveOwn(value)
    const known = this.entries.get(keyOf(value.node, value.topic))
    if (known !== undefined && !isNewer(value, known.value)) return false
    this.store(value)
    return true
  }

  get (node: NodeId, topic: string): GossipValue | undefined {
    return this.entries.get(keyOf(node, topic))?.value
  }

  /** Every node's value of a topic. */
  values (topic: string): GossipValue[] {
    return [...this.entries.values()].filter((entry) => entry.value.topic === topic).map((entry) => entry.value)
  }

  /** Every value whose topic starts with `prefix`. */
  valuesUnder (prefix: string): GossipValue[] {
    return [...this.entries.values()].filter((entry) => entry.value.topic.startsWith(prefix)).map((entry) => entry.value)
  }

  /**
   * Drops the values of a node that is gone, or of its earlier process.
   *
   * @param node - publisher
   * @param before - only values of processes that started earlier
   * @returns topics that it had
   */
  forget (node: NodeId, before = Infinity): string[] {
    const topics: string[] = []
    for (const [key, entry] of this.entries) {
      if (entry.value.node !== node || entry.value.startedAt >= before) continue
      topics.push(entry.value.topic)
      this.drop(key, entry)
    }
    return topics
  }

  /** Whether a datagram of values may be sent now. */
  mayPush (now: Millis): boolean {
    return this.pendingCount > this.pendingDurable && this.budget.available(now) >= MAX_DATAGRAM_BYTES / 2
  }

  /** Whether a durable value still has to be passed on. */
  hasDurablePending (): boolean {
    return this.pendingDurable > 0
  }

  /** Whether no one was told of some durable value yet. */
  hasDurableUnsent (): boolean {
    if (this.pendingDurable === 0) return false
    return [...this.entries.values()].some((entry) => entry.pending && entry.value.durable && entry.transmissions === 0)
  }

  /**
   * Takes values that anti-entropy does not cover, within the budget: the least sent first, then the newest.
   *
   * @param room - bytes left in the datagram
   * @param receiver - who gets them
   * @param now - current time
   */
  take (room: number, receiver: Receiver, now: Millis): GossipValue[] {
    if (this.pendingCount === this.pendingDurable) return []
    const limit = Math.max(2, Math.ceil(VALUE_RETRANSMIT_FACTOR * Math.log2(receiver.audience + 1)))
    const allowed = Math.min(room, Math.floor(this.budget.available(now)))
    return this.takeFrom(this.sendable(receiver, false), allowed, limit)
  }

  /**
   * Takes durable values; they are few and not held back by the budget.
   *
   * @param room - bytes left in the datagram
   * @param receiver - who gets them
   */
  takeDurable (room: number, receiver: Receiver): GossipValue[] {
    if (this.pendingDurable === 0) return []
    const limit = Math.max(3, Math.ceil(UPDATE_RETRANSMIT_FACTOR * Math.log2(receiver.audience + 1)))
    for (const entry of this.entries.values()) {
      // The publisher knows its own value; this counts as passed on.
      if (entry.pending && entry.value.durable && entry.value.node === receiver.node) this.countTransmission(entry, limit)
    }
    return this.takeFrom(this.sendable(receiver, true), room, limit)
  }

  digest (): readonly number[] {
    return [...this.buckets]
  }

  /** Durable values in buckets whose hash differs from `digest`. */
  differing (digest: readonly number[]): GossipValue[] {
    return [...this.entries.values()]
      .map((entry) => entry.value)
      .filter((value) => value.durable)
      .filter((value) => this.buckets[bucketOf(value.node)] !== digest[bucketOf(value.node)])
  }

  /** Every value that a joining node should get. */
  snapshot (sameDomain: boolean): GossipValue[] {
    return [...this.entries.values()]
      .map((entry) => entry.value)
      .filter((value) => sameDomain || value.scope === ValueScope.Fleet)
  }

  private receiveOwn (value: GossipValue): boolean {
    const known = this.entries.get(keyOf(value.node, value.topic))
    if (value.startedAt !== this.startedAt || known === undefined) return false
    if (value.version > known.value.version) this.store({ ...known.value, version: value.version + 1 })
    return false
  }

  private sendable ({ node, sameDomain }: Receiver, durable: boolean): Entry[] {
    return [...this.entries.values()]
      .filter((entry) => entry.pending && entry.value.durable === durable && entry.value.node !== node)
      .filter((entry) => sameDomain || entry.value.scope === ValueScope.Fleet)
      .sort((a, b) => a.transmissions - b.transmissions || b.order - a.order)
  }

  private takeFrom (candidates: readonly Entry[], room: number, limit: number): GossipValue[] {
    const taken: GossipValue[] = []
    let left = room
    for (const entry of candidates) {
      const size = valueBytes(entry.value)
      if (size > left) break
      left -= size
      taken.push(entry.value)
      this.countTransmission(entry, limit)
    }
    this.budget.spend(room - left)
    return taken
  }

  private countTransmission (entry: Entry, limit: number): void {
    entry.transmissions += 1
    if (entry.transmissions >= limit) this.settle(entry)
  }

  private store (value: GossipValue): void {
    const key = keyOf(value.node, value.topic)
    const old = this.entries.get(key)
    if (old !== undefined) this.drop(key, old)
    this.order += 1
    const hash = value.durable ? hashText(`${key}|${value.startedAt}|${value.version}`) : 0
    this.toggle(value.node, hash)
    this.entries.set(key, { value, hash, transmissions: 0, order: this.order, pending: true })
    this.pendingCount += 1
    if (value.durable) this.pendingDurable += 1
  }

  private drop (key: string, entry: Entry): void {
    this.settle(entry)
    this.toggle(entry.value.node, entry.hash)
    this.entries.delete(key)
  }

  private settle (entry: Entry): void {
    if (!entry.pending) return
    entry.pending = false
    this.pendingCount -= 1
    if (entry.value.durable) this.pendingDurable -= 1
  }

  private toggle (node: NodeId, hash: number): void {
    const bucket = bucketOf(node)
    this.buckets[bucket] = ((this.buckets[bucket] ?? 0) ^ hash) >>> 0
  }
}

const sameBytes = (a: Uint8Array, b: Uint8Array): boolean =>
  a.length === b.length && a.every((byte, index) => byte === b[index])
