import type { Millis, NodeId } from '../types.js'
import { ByteBudget } from './ByteBudget.js'
import { MAX_DATAGRAM_BYTES, UPDATE_RETRANSMIT_FACTOR, MAX_VALUE_TRANSMISSIONS } from './constants.js'
import { CONTENT_CAPACITY_BYTES } from './datagrams.js'
import { valueBytes } from './messageSize.js'
import { ValueScope } from './types.js'
import type { GossipValue } from './types.js'
import { ValueStore } from './ValueStore.js'
import type { StoredValue } from './ValueStore.js'

/** Options of a gossip board. */
export interface GossipBoardOptions {
  readonly node: NodeId
  readonly startedAt: number
  /** Bytes per second for relayed values that anti-entropy does not cover. */
  readonly relayBudget: number
}

/** Receiver of a datagram of values. */
export interface Receiver {
  readonly node: NodeId
  readonly isSameDomain: boolean
  /** Number of nodes that should receive the values. */
  readonly audienceSize: number
}

/** How a value is distributed to other nodes. */
export interface ValueDistribution {
  readonly scope: ValueScope
  /** Whether the value is covered by anti-entropy and sent at once; meant for fleet-wide values that rarely change. */
  readonly durable: boolean
}

const isNewer = (value: GossipValue, current: GossipValue): boolean =>
  value.startedAt === current.startedAt ? value.version > current.version : value.startedAt > current.startedAt

const hasSameBytes = (a: Uint8Array, b: Uint8Array): boolean =>
  a.length === b.length && a.every((byte, index) => byte === b[index])

const valueOf = (entry: StoredValue): GossipValue => entry.value

/**
 * Stores small versioned values by node and topic, and selects those to send. The greatest version wins. A value that is
 * replaced before it was sent is never sent, so a small byte budget delays values but builds up no backlog.
 */
export class GossipBoard {
  private readonly store = new ValueStore()
  private readonly budget: ByteBudget
  private startedAt: number

  constructor (private readonly options: GossipBoardOptions) {
    this.budget = new ByteBudget(options.relayBudget, 2 * MAX_DATAGRAM_BYTES)
    this.startedAt = options.startedAt
  }

  /** Changes the start time of this node's values, after an earlier process of this node was found to have a later one. */
  setStartedAt (startedAt: number, now: Millis): void {
    this.startedAt = startedAt
    for (const value of this.ownValues()) this.store.put({ ...value, startedAt }, now)
  }

  /**
   * Sets this node's value of a topic.
   *
   * @param topic - name of the value
   * @param bytes - contents; together with topic and node they must fit one datagram
   * @param distribution - which nodes receive it, and whether it is durable
   * @param now - current time
   * @returns the stored value, or null if the contents did not change
   * @throws RangeError if the value does not fit one datagram, or is durable and not for the whole fleet
   */
  publish (topic: string, bytes: Uint8Array, { scope, durable }: ValueDistribution, now: Millis): GossipValue | null {
    const { node } = this.options
    if (durable && scope !== ValueScope.Fleet) throw new RangeError(`durable value of topic ${topic} must be for the whole fleet`)
    const current = this.store.get(node, topic)
    if (current !== undefined && hasSameBytes(current.bytes, bytes)) return null
    const value: GossipValue = { node, topic, scope, durable, startedAt: this.startedAt, version: (current?.version ?? 0) + 1, bytes }
    if (valueBytes(value) > CONTENT_CAPACITY_BYTES) throw new RangeError(`value of topic ${topic} has ${bytes.length} bytes and does not fit a datagram`)
    this.store.put(value, now)
    return value
  }

  /** Gives this node's non-durable values a new version, so that they are sent again: this repairs losses and shows that they are still valid. */
  renew (now: Millis): void {
    for (const value of this.ownValues()) {
      if (!value.durable) this.store.put({ ...value, version: value.version + 1 }, now)
    }
  }

  /**
   * Stores a received value if it is newer than the stored one.
   *
   * @param value - received value
   * @param now - current time
   * @returns whether it was stored
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

  /** Time at which the value was last received or renewed; undefined if there is none. */
  receivedAt (node: NodeId, topic: string): Millis | undefined {
    return this.store.receivedAt(node, topic)
  }

  /**
   * @param prefix - prefix of the topic names
   * @param since - returns only values that were received or renewed at this time or later
   * @returns every value whose topic starts with `prefix`
   */
  valuesUnder (prefix: string, since = -Infinity): GossipValue[] {
    return this.store.all()
      .filter((entry) => entry.receivedAt >= since && entry.value.topic.startsWith(prefix))
      .map(valueOf)
  }

  /**
   * @param topic - name of the values
   * @param since - returns only values that were received or renewed at this time or later
   * @returns every node's value of the topic
   */
  values (topic: string, since = -Infinity): GossipValue[] {
    return this.valuesUnder(topic, since).filter((value) => value.topic === topic)
  }

  /**
   * Removes the values of a node that has left, or of its earlier process.
   *
   * @param node - publisher
   * @param startedBefore - removes only values of processes that started before this time
   * @returns topics of the removed values
   */
  removeValues (node: NodeId, startedBefore = Infinity): string[] {
    const removed = this.store.all().map(valueOf).filter((value) => value.node === node && value.startedAt < startedBefore)
    for (const value of removed) this.store.remove(value)
    return removed.map(({ topic }) => topic)
  }

  /**
   * @param lastSent - number of the last change of the store that the subscriber has received
   * @returns this node's values for subscribers that changed later, and the number of the last change
   */
  changesForSubscriber (lastSent: number): { readonly values: GossipValue[], readonly lastChange: number } {
    const entries = this.store.all().filter((entry) =>
      entry.changeNumber > lastSent && entry.value.scope === ValueScope.Subscribers && entry.value.node === this.options.node)
    return { values: entries.map(valueOf), lastChange: this.store.changeCount }
  }

  /** Whether relayed non-durable values are pending and the byte budget allows sending them now. */
  canSendRelayed (now: Millis): boolean {
    return this.store.pendingVolatile > 0 && this.budget.available(now) >= MAX_DATAGRAM_BYTES / 2
  }

  /** Whether a durable value still has to be sent to other members. */
  hasDurablePending (): boolean {
    return this.store.pendingDurable > 0
  }

  /** Whether some durable value has not been sent to any member yet. */
  hasDurableUnsent (): boolean {
    return this.hasDurablePending() && this.store.all().some((entry) => entry.isPending && entry.value.durable && entry.transmissions === 0)
  }

  /**
   * Selects relayed values that anti-entropy does not cover, within the byte budget, and counts each as sent once. Values that
   * were sent least often come first, then the newest.
   *
   * @param maxBytes - bytes left in the datagram
   * @param receiver - receiver of the datagram
   * @param now - current time
   */
  selectRelayed (maxBytes: number, receiver: Receiver, now: Millis): GossipValue[] {
    const allowed = Math.min(maxBytes, Math.floor(this.budget.available(now)))
    const selected = this.selectWithin(this.pendingFor(receiver, false), allowed, MAX_VALUE_TRANSMISSIONS)
    this.budget.spend(selected.reduce((sum, value) => sum + valueBytes(value), 0))
    return selected
  }

  /**
   * Selects durable values and counts each as sent once. The byte budget does not apply to them, because they are few.
   *
   * @param maxBytes - bytes left in the datagram
   * @param receiver - receiver of the datagram
   */
  selectDurable (maxBytes: number, receiver: Receiver): GossipValue[] {
    const limit = Math.max(3, Math.ceil(UPDATE_RETRANSMIT_FACTOR * Math.log2(receiver.audienceSize + 1)))
    for (const entry of this.store.all()) {
      // The publisher already has its own value, so the value counts as sent.
      if (entry.isPending && entry.value.durable && entry.value.node === receiver.node) this.store.recordTransmission(entry, limit)
    }
    return this.selectWithin(this.pendingFor(receiver, true), maxBytes, limit)
  }

  digest (): readonly number[] {
    return this.store.digest()
  }

  /** Durable values in digest buckets whose hash differs from the one in `digest`. */
  differing (digest: readonly number[]): GossipValue[] {
    return this.store.differing(digest)
  }

  /**
   * @param isSameDomain - whether the joining node is in this node's failure domain
   * @returns every relayed value that a joining node should receive
   */
  snapshot (isSameDomain: boolean): GossipValue[] {
    return this.store.all()
      .map(valueOf)
      .filter(({ scope }) => scope === ValueScope.Fleet || (isSameDomain && scope === ValueScope.FailureDomain))
  }

  private ownValues (): GossipValue[] {
    return this.store.all().map(valueOf).filter(({ node }) => node === this.options.node)
  }

  // Only an earlier process of this node can have published a later version of its value; the current contents get a version above it.
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
