import type { Millis, NodeId } from '../types.js'
import { ByteBudget } from './ByteBudget.js'
import { MAX_DATAGRAM_BYTES, UPDATE_RETRANSMIT_FACTOR, MAX_VALUE_TRANSMISSIONS } from './constants.js'
import { CONTENT_CAPACITY_BYTES } from './datagrams.js'
import { valueBytes } from './messageSize.js'
import { ValueScope } from './types.js'
import type { GossipValue } from './types.js'
import { ValueStore } from './ValueStore.js'
import type { StoredValue } from './ValueStore.js'

/** Options of a board. */
export interface GossipBoardOptions {
  readonly node: NodeId
  readonly startedAt: number
  /** Bytes a second for relayed values that anti-entropy does not cover. */
  readonly relayBudget: number
}

/** Who a datagram is for. */
export interface Receiver {
  readonly node: NodeId
  readonly isSameDomain: boolean
  /** Number of nodes that the values are meant for. */
  readonly audienceSize: number
}

/** How a value is spread. */
export interface ValueDistribution {
  readonly scope: ValueScope
  /** Covered by anti-entropy and sent at once; for values of the whole fleet that change seldom. */
  readonly durable: boolean
}

const isNewer = (value: GossipValue, current: GossipValue): boolean =>
  value.startedAt === current.startedAt ? value.version > current.version : value.startedAt > current.startedAt

const hasSameBytes = (a: Uint8Array, b: Uint8Array): boolean =>
  a.length === b.length && a.every((byte, index) => byte === b[index])

const valueOf = (entry: StoredValue): GossipValue => entry.value

/**
 * Small versioned values by node and topic. The greatest version wins; a value that is replaced
 * before it was sent is never sent, so a tight budget costs freshness and no backlog.
 */
export class GossipBoard {
  private readonly store = new ValueStore()
  private readonly budget: ByteBudget
  private startedAt: number

  constructor (private readonly options: GossipBoardOptions) {
    this.budget = new ByteBudget(options.relayBudget, 2 * MAX_DATAGRAM_BYTES)
    this.startedAt = options.startedAt
  }

  /** Takes a new start stamp after another life of this node was seen to have a later one. */
  setStartedAt (startedAt: number, now: Millis): void {
    this.startedAt = startedAt
    for (const value of this.ownValues()) this.store.put({ ...value, startedAt }, now)
  }

  /**
   * Sets this node's value of a topic.
   *
   * @param topic - name of the value
   * @param bytes - contents; with topic and node it must fit one datagram
   * @param spread - who gets it, and how
   * @param now - current time
   * @returns the stored value, or null where the contents did not change
   * @throws RangeError where the value does not fit one datagram, or is durable and not for the whole fleet
   */
  publish (topic: string, bytes: Uint8Array, { scope, durable }: ValueDistribution, now: Millis): GossipValue | null {
    const { node } = this.options
    if (durable && scope !== ValueScope.Fleet) throw new RangeError(`durable value of topic ${topic} is not for the whole fleet`)
    const current = this.store.get(node, topic)
    if (current !== undefined && hasSameBytes(current.bytes, bytes)) return null
    const value: GossipValue = { node, topic, scope, durable, startedAt: this.startedAt, version: (current?.version ?? 0) + 1, bytes }
    if (valueBytes(value) > CONTENT_CAPACITY_BYTES) throw new RangeError(`value of topic ${topic} has ${bytes.length} bytes and does not fit a datagram`)
    this.store.put(value, now)
    return value
  }

  /** Renews this node's values that anti-entropy does not cover, which repairs losses and shows that they still hold. */
  renew (now: Millis): void {
    for (const value of this.ownValues()) {
      if (!value.durable) this.store.put({ ...value, version: value.version + 1 }, now)
    }
  }

  /**
   * Takes a value in.
   *
   * @param value - value of another node
   * @param now - current time
   * @returns whether it replaced what was known
   */
  receive (value: GossipValue, now: Millis): boolean {
    const current = this.store.get(value.node, value.topic)
    if (value.node === this.options.node) {
      this.supersedeEarlierVersion(value, current, now)
      return false
    }
    if (current !== undefined && !isNewer(value, current)) return false
    this.store.put(value, now)
    return true
  }

  get (node: NodeId, topic: string): GossipValue | undefined {
    return this.store.get(node, topic)
  }

  /** When the value was last received or renewed; undefined where there is none. */
  receivedAt (node: NodeId, topic: string): Millis | undefined {
    return this.store.receivedAt(node, topic)
  }

  /**
   * @param prefix - start of the topics
   * @param since - only values that were received or renewed after this time
   * @returns every value whose topic starts with `prefix`
   */
  valuesUnder (prefix: string, since = -Infinity): GossipValue[] {
    return this.store.all()
      .filter((entry) => entry.receivedAt >= since && entry.value.topic.startsWith(prefix))
      .map(valueOf)
  }

  /**
   * @param topic - name of the values
   * @param since - only values that were received or renewed after this time
   * @returns every node's value of the topic
   */
  values (topic: string, since = -Infinity): GossipValue[] {
    return this.valuesUnder(topic, since).filter((value) => value.topic === topic)
  }

  /**
   * Drops the values of a node that is gone, or of its earlier process.
   *
   * @param node - publisher
   * @param startedBefore - only values of processes that started earlier
   * @returns topics that it had
   */
  removeValues (node: NodeId, startedBefore = Infinity): string[] {
    const removed = this.store.all().map(valueOf).filter((value) => value.node === node && value.startedAt < startedBefore)
    for (const value of removed) this.store.remove(value)
    return removed.map(({ topic }) => topic)
  }

  /**
   * @param lastSent - order of the last change that the subscriber was sent
   * @returns this node's later values for subscribers, and the order up to which they go
   */
  changesForSubscriber (lastSent: number): { readonly values: GossipValue[], readonly lastChange: number } {
    const entries = this.store.all().filter((entry) =>
      entry.changeNumber > lastSent && entry.value.scope === ValueScope.Subscribers && entry.value.node === this.options.node)
    return { values: entries.map(valueOf), lastChange: this.store.changeCount }
  }

  /** Whether a datagram of relayed values may be sent now. */
  canSendRelayed (now: Millis): boolean {
    return this.store.pendingVolatile > 0 && this.budget.available(now) >= MAX_DATAGRAM_BYTES / 2
  }

  /** Whether a durable value still has to be passed on. */
  hasDurablePending (): boolean {
    return this.store.pendingDurable > 0
  }

  /** Whether no one was told of some durable value yet. */
  hasDurableUnsent (): boolean {
    return this.hasDurablePending() && this.store.all().some((entry) => entry.isPending && entry.value.durable && entry.transmissions === 0)
  }

  /**
   * Takes relayed values that anti-entropy does not cover, within the budget: the least sent first, then the newest.
   *
   * @param maxBytes - bytes left in the datagram
   * @param receiver - who gets them
   * @param now - current time
   */
  selectRelayed (maxBytes: number, receiver: Receiver, now: Millis): GossipValue[] {
    const allowed = Math.min(maxBytes, Math.floor(this.budget.available(now)))
    const selected = this.selectWithin(this.pendingFor(receiver, false), allowed, MAX_VALUE_TRANSMISSIONS)
    this.budget.spend(selected.reduce((sum, value) => sum + valueBytes(value), 0))
    return selected
  }

  /**
   * Takes durable values; they are few and not held back by the budget.
   *
   * @param maxBytes - bytes left in the datagram
   * @param receiver - who gets them
   */
  selectDurable (maxBytes: number, receiver: Receiver): GossipValue[] {
    const limit = Math.max(3, Math.ceil(UPDATE_RETRANSMIT_FACTOR * Math.log2(receiver.audienceSize + 1)))
    for (const entry of this.store.all()) {
      // The publisher knows its own value; this counts as passed on.
      if (entry.isPending && entry.value.durable && entry.value.node === receiver.node) this.store.recordTransmission(entry, limit)
    }
    return this.selectWithin(this.pendingFor(receiver, true), maxBytes, limit)
  }

  digest (): readonly number[] {
    return this.store.digest()
  }

  /** Durable values in buckets whose hash differs from `digest`. */
  differing (digest: readonly number[]): GossipValue[] {
    return this.store.differing(digest)
  }

  /** Every relayed value that a joining node should get. */
  snapshot (isSameDomain: boolean): GossipValue[] {
    return this.store.all()
      .map(valueOf)
      .filter(({ scope }) => scope === ValueScope.Fleet || (isSameDomain && scope === ValueScope.FailureDomain))
  }

  private ownValues (): GossipValue[] {
    return this.store.all().map(valueOf).filter(({ node }) => node === this.options.node)
  }

  // A later version of an own value can only stem from before; the present contents get a version above it.
  private supersedeEarlierVersion (value: GossipValue, current: GossipValue | undefined, now: Millis): void {
    if (current === undefined || value.startedAt !== this.startedAt || value.version <= current.version) return
    this.store.put({ ...current, version: value.version + 1 }, now)
  }

  private pendingFor ({ node, isSameDomain }: Receiver, durable: boolean): StoredValue[] {
    return this.store.all()
      .filter((entry) => entry.isPending && entry.value.durable === durable && entry.value.node !== node)
      .filter((entry) => isSameDomain || entry.value.scope === ValueScope.Fleet)
      .sort((a, b) => a.transmissions - b.transmissions || b.changeNumber - a.changeNumber)
  }

  private selectWithin (candidates: readonly StoredValue[], maxBytes: number, maxTransmissions: number): GossipValue[] {
    const selected: GossipValue[] = []
    let remainingBytes = maxBytes
    for (const entry of candidates) {
      const size = valueBytes(entry.value)
      if (size > remainingBytes) break
      remainingBytes -= size
      selected.push(entry.value)
      this.store.recordTransmission(entry, maxTransmissions)
    }
    return selected
  }
}
