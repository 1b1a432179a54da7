import type { Millis, NodeId } from '../types.js'
import { DIGEST_BUCKETS } from './constants.js'
import { hashText } from './hash.js'
import { bucketOf } from './MemberTable.js'
import { ValueScope } from './types.js'
import type { GossipValue } from './types.js'

/** A value with what has been done to pass it on. */
export interface StoredValue {
  readonly value: GossipValue
  readonly hash: number
  /** Counts changes of the store; a later change has a greater one. */
  readonly changeNumber: number
  readonly receivedAt: Millis
  transmissions: number
  isPending: boolean
}

const keyOf = (node: NodeId, topic: string): string => `${node}\u0000${topic}`

/** The values of all nodes by node and topic, with the digest of the durable ones. */
export class ValueStore {
  private readonly entries = new Map<string, StoredValue>()
  private readonly buckets: number[] = Array.from({ length: DIGEST_BUCKETS }, () => 0)
  private changes = 0
  private durablePending = 0
  private volatilePending = 0

  /** Order of the last change. */
  get changeCount (): number {
    return this.changes
  }

  /** Durable values that have to be passed on. */
  get pendingDurable (): number {
    return this.durablePending
  }

  /** Values that anti-entropy does not cover and that have to be passed on. */
  get pendingVolatile (): number {
    return this.volatilePending
  }

  get (node: NodeId, topic: string): GossipValue | undefined {
    return this.entries.get(keyOf(node, topic))?.value
  }

  /** When the value was last received or renewed; undefined where there is none. */
  receivedAt (node: NodeId, topic: string): Millis | undefined {
    return this.entries.get(keyOf(node, topic))?.receivedAt
  }

  all (): StoredValue[] {
    return [...this.entries.values()]
  }

  /** Puts a value in place of the node's last one of that topic. */
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

  /** Counts a transmission; after `limit` of them the value is not passed on any more. */
  recordTransmission (entry: StoredValue, maxTransmissions: number): void {
    entry.transmissions += 1
    if (entry.transmissions >= maxTransmissions) this.clearPending(entry)
  }

  digest (): readonly number[] {
    return [...this.buckets]
  }

  /** Durable values in buckets whose hash differs from `digest`. */
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
