import type { Millis, NodeId } from '../types.js'
import { DIGEST_BUCKETS } from './constants.js'
import { hashText } from './hash.js'
import { bucketOf } from './MemberTable.js'
import { ValueScope } from './types.js'
import type { GossipValue } from './types.js'

/** A value with the state of its distribution. */
export interface StoredValue {
  readonly value: GossipValue
  readonly hash: number
  /** Number of the change of the store that stored the value; later changes have greater numbers. */
  readonly changeNumber: number
  readonly receivedAt: Millis
  transmissions: number
  isPending: boolean
}

const keyOf = (node: NodeId, topic: string): string => `${node}\u0000${topic}`

/** Stores the values of all nodes by node and topic, with an anti-entropy digest of the durable ones. */
export class ValueStore {
  private readonly entries = new Map<string, StoredValue>()
  private readonly buckets: number[] = Array.from({ length: DIGEST_BUCKETS }, () => 0)
  private changes = 0
  private durablePending = 0
  private volatilePending = 0

  /** Number of the last change of the store. */
  get changeCount (): number {
    return this.changes
  }

  /** Number of durable values that still have to be sent. */
  get pendingDurable (): number {
    return this.durablePending
  }

  /** Number of relayed values that anti-entropy does not cover and that still have to be sent. */
  get pendingVolatile (): number {
    return this.volatilePending
  }

  get (node: NodeId, topic: string): GossipValue | undefined {
    return this.entries.get(keyOf(node, topic))?.value
  }

  /** Time at which the value was last received or renewed; undefined if there is none. */
  receivedAt (node: NodeId, topic: string): Millis | undefined {
    return this.entries.get(keyOf(node, topic))?.receivedAt
  }

  all (): StoredValue[] {
    return [...this.entries.values()]
  }

  /** Replaces the node's stored value of the topic. */
  put (value: GossipValue, now: Millis): void {
    this.remove(value)
    this.changes += 1
    const key = keyOf(value.node, value.topic)
    const hash = value.durable ? hashText(`${key}|${value.startedAt}|${value.version}`) : 0
    const entry: StoredValue = { value, hash, changeNumber: this.changes, receivedAt: now, transmissions: 0, isPending: value.scope !== ValueScope.Subscribers }
    this.toggleDigest(value.node, hash)
    this.entries.set(key, entry)
    if (entry.isPending) this.countPending(value, 1)
  }

  remove ({ node, topic }: Pick<GossipValue, 'node' | 'topic'>): void {
    const key = keyOf(node, topic)
    const entry = this.entries.get(key)
    if (entry === undefined) return
    this.clearPending(entry)
    this.toggleDigest(node, entry.hash)
    this.entries.delete(key)
  }

  /** Counts a transmission of the value; after `maxTransmissions` the value is no longer sent. */
  recordTransmission (entry: StoredValue, maxTransmissions: number): void {
    entry.transmissions += 1
    if (entry.transmissions >= maxTransmissions) this.clearPending(entry)
  }

  digest (): readonly number[] {
    return [...this.buckets]
  }

  /** Durable values in digest buckets whose hash differs from the one in `digest`. */
  differing (digest: readonly number[]): GossipValue[] {
    return this.all()
      .map((entry) => entry.value)
      .filter((value) => value.durable && this.buckets[bucketOf(value.node)] !== digest[bucketOf(value.node)])
  }

  private clearPending (entry: StoredValue): void {
    if (!entry.isPending) return
    entry.isPending = false
    this.countPending(entry.value, -1)
  }

  private countPending (value: GossipValue, change: number): void {
    if (value.durable) this.durablePending += change
    else this.volatilePending += change
  }

  private toggleDigest (node: NodeId, hash: number): void {
    const bucket = bucketOf(node)
    this.buckets[bucket] = ((this.buckets[bucket] ?? 0) ^ hash) >>> 0
  }
}
