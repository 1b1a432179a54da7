import type { Millis, NodeId } from '../types.js'
import { ByteBudget } from './ByteBudget.js'
import { MAX_DATAGRAM_BYTES, UPDATE_RETRANSMIT_FACTOR, VALUE_TRANSMISSIONS } from './constants.js'
import { UPDATE_ROOM } from './datagrams.js'
import { valueBytes } from './messageSize.js'
import { ValueScope } from './types.js'
import type { GossipValue } from './types.js'
import { ValueStore } from './ValueStore.js'
import type { StoredValue } from './ValueStore.js'

/** Options of a board. */
export interface BoardOptions {
  readonly node: NodeId
  readonly startedAt: number
  /** Bytes a second for relayed values that anti-entropy does not cover. */
  readonly relayBudget: number
}

/** Who a datagram is for. */
export interface Receiver {
  readonly node: NodeId
  readonly sameDomain: boolean
  /** Number of nodes that the values are meant for. */
  readonly audience: number
}

/** How a value is spread. */
export interface Spread {
  readonly scope: ValueScope
  /** Covered by anti-entropy and sent at once; for values of the whole fleet that change seldom. */
  readonly durable: boolean
}

const isNewer = (value: GossipValue, known: GossipValue): boolean =>
  value.startedAt === known.startedAt ? value.version > known.version : value.startedAt > known.startedAt

const sameBytes = (a: Uint8Array, b: Uint8Array): boolean =>
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

  constructor (private readonly options: BoardOptions) {
    this.budget = new ByteBudget(options.relayBudget, 2 * MAX_DATAGRAM_BYTES)
    this.startedAt = options.startedAt
  }

  /** Takes a new start stamp after another life of this node was seen to have a later one. */
  restart (startedAt: number, now: Millis): void {
    this.startedAt = startedAt
    for (const value of this.own()) this.store.put({ ...value, startedAt }, now)
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
  publish (topic: string, bytes: Uint8Array, { scope, durable }: Spread, now: Millis): GossipValue | null {
    const { node } = this.options
    if (durable && scope !== ValueScope.Fleet) throw new RangeError(`durable value of topic ${topic} is not for the whole fleet`)
    const known = this.store.get(node, topic)
    if (known !== undefined && sameBytes(known.bytes, bytes)) return null
    const value: GossipValue = { node, topic, scope, durable, startedAt: this.startedAt, version: (known?.version ?? 0) + 1, bytes }
    if (valueBytes(value) > UPDATE_ROOM) throw new RangeError(`value of topic ${topic} has ${bytes.length} bytes and does not fit a datagram`)
    this.store.put(value, now)
    return value
  }

  /** Renews this node's values that anti-entropy does not cover, which repairs losses and shows that they still hold. */
  renew (now: Millis): void {
    for (const value of this.own()) {
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
    const known = this.store.get(value.node, value.topic)
    if (value.node === this.options.node) {
      this.outrun(value, known, now)
      return false
    }
    if (known !== undefined && !isNewer(value, known)) return false
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
   * @param before - only values of processes that started earlier
   * @returns topics that it had
   */
  forget (node: NodeId, before = Infinity): string[] {
    const gone = this.store.all().map(valueOf).filter((value) => value.node === node && value.startedAt < before)
    for (const value of gone) this.store.remove(value)
    return gone.map(({ topic }) => topic)
  }

  /**
   * @param order - order of the last change that the subscriber was sent
   * @returns this node's later values for subscribers, and the order up to which they go
   */
  forSubscriber (order: number): { readonly values: GossipValue[], readonly order: number } {
    const entries = this.store.all().filter((entry) =>
      entry.order > order && entry.value.scope === ValueScope.Subscribers && entry.value.node === this.options.node)
    return { values: entries.map(valueOf), order: this.store.order }
  }

  /** Whether a datagram of relayed values may be sent now. */
  mayPush (now: Millis): boolean {
    return this.store.pendingOthers > 0 && this.budget.available(now) >= MAX_DATAGRAM_BYTES / 2
  }

  /** Whether a durable value still has to be passed on. */
  hasDurablePending (): boolean {
    return this.store.pendingDurable > 0
  }

  /** Whether no one was told of some durable value yet. */
  hasDurableUnsent (): boolean {
    return this.hasDurablePending() && this.store.all().some((entry) => entry.pending && entry.value.durable && entry.transmissions === 0)
  }

  /**
   * Takes relayed values that anti-entropy does not cover, within the budget: the least sent first, then the newest.
   *
   * @param room - bytes left in the datagram
   * @param receiver - who gets them
   * @param now - current time
   */
  take (room: number, receiver: Receiver, now: Millis): GossipValue[] {
    const allowed = Math.min(room, Math.floor(this.budget.available(now)))
    const taken = this.takeFrom(this.sendable(receiver, false), allowed, VALUE_TRANSMISSIONS)
    this.budget.spend(taken.reduce((sum, value) => sum + valueBytes(value), 0))
    return taken
  }

  /**
   * Takes durable values; they are few and not held back by the budget.
   *
   * @param room - bytes left in the datagram
   * @param receiver - who gets them
   */
  takeDurable (room: number, receiver: Receiver): GossipValue[] {
    const limit = Math.max(3, Math.ceil(UPDATE_RETRANSMIT_FACTOR * Math.log2(receiver.audience + 1)))
    for (const entry of this.store.all()) {
      // The publisher knows its own value; this counts as passed on.
      if (entry.pending && entry.value.durable && entry.value.node === receiver.node) this.store.transmitted(entry, limit)
    }
    return this.takeFrom(this.sendable(receiver, true), room, limit)
  }

  digest (): readonly number[] {
    return this.store.digest()
  }

  /** Durable values in buckets whose hash differs from `digest`. */
  differing (digest: readonly number[]): GossipValue[] {
    return this.store.differing(digest)
  }

  /** Every relayed value that a joining node should get. */
  snapshot (sameDomain: boolean): GossipValue[] {
    return this.store.all()
      .map(valueOf)
      .filter(({ scope }) => scope === ValueScope.Fleet || (sameDomain && scope === ValueScope.FailureDomain))
  }

  private own (): GossipValue[] {
    return this.store.all().map(valueOf).filter(({ node }) => node === this.options.node)
  }

  // A later version of an own value can only stem from before; the present contents get a version above it.
  private outrun (value: GossipValue, known: GossipValue | undefined, now: Millis): void {
    if (known === undefined || value.startedAt !== this.startedAt || value.version <= known.version) return
    this.store.put({ ...known, version: value.version + 1 }, now)
  }

  private sendable ({ node, sameDomain }: Receiver, durable: boolean): StoredValue[] {
    return this.store.all()
      .filter((entry) => entry.pending && entry.value.durable === durable && entry.value.node !== node)
      .filter((entry) => sameDomain || entry.value.scope === ValueScope.Fleet)
      .sort((a, b) => a.transmissions - b.transmissions || b.order - a.order)
  }

  private takeFrom (candidates: readonly StoredValue[], room: number, limit: number): GossipValue[] {
    const taken: GossipValue[] = []
    let left = room
    for (const entry of candidates) {
      const size = valueBytes(entry.value)
      if (size > left) break
      left -= size
      taken.push(entry.value)
      this.store.transmitted(entry, limit)
    }
    return taken
  }
}
