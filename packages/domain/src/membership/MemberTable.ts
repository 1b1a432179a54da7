import type { FailureDomain, Millis, NodeId } from '../types.js'
import { DIGEST_BUCKETS } from './constants.js'
import { hashText } from './hash.js'
import { isCompact, isReachable, mergeClaims } from './precedence.js'
import { MemberState } from './types.js'
import type { Member } from './types.js'

interface Row {
  member: Member
  hash: number
  bucket: number
  changedAt: Millis
}

const rowHash = (member: Member): number =>
  hashText(`${member.node}|${member.startedAt}|${member.incarnation}|${member.state}|${member.leaving}`)

/**
 * @param node - member
 * @returns bucket of the anti-entropy digest that the member belongs to
 */
export const bucketOf = (node: NodeId): number => hashText(node) % DIGEST_BUCKETS

/** Stores the entry of every member, with an anti-entropy digest of all entries and a cached list of the reachable members. */
export class MemberTable {
  private readonly rows = new Map<NodeId, Row>()
  private readonly buckets: number[] = Array.from({ length: DIGEST_BUCKETS }, () => 0)
  private reachableCache: readonly Member[] | null = null

  get (node: NodeId): Member | undefined {
    return this.rows.get(node)?.member
  }

  all (): Member[] {
    return [...this.rows.values()].map((row) => row.member)
  }

  /** Alive and suspect members, including this node. */
  reachable (): readonly Member[] {
    this.reachableCache ??= this.all().filter(isReachable)
    return this.reachableCache
  }

  inState (state: MemberState): Member[] {
    return this.all().filter((member) => member.state === state)
  }

  inDomain (failureDomain: FailureDomain): Member[] {
    return this.reachable().filter((member) => member.failureDomain === failureDomain)
  }

  /**
   * Merges a claim about a member into the table.
   *
   * @param claim - claim about a member
   * @param now - current time
   * @returns the member's previous entry (null for a new member) if the claim changed the table; undefined if it did not
   */
  merge (claim: Member, now: Millis): Member | null | undefined {
    const row = this.rows.get(claim.node)
    if (row === undefined) {
      if (isCompact(claim)) return undefined
      this.put(claim, now)
      return null
    }
    const merged = mergeClaims(claim, row.member)
    if (merged === row.member) return undefined
    const previous = row.member
    this.put(merged, now)
    return previous
  }

  /** Stores an entry without comparing it with the current one; callers outside this class use it only for the node's own entry. */
  put (member: Member, now: Millis): void {
    const bucket = bucketOf(member.node)
    const hash = rowHash(member)
    const old = this.rows.get(member.node)
    this.buckets[bucket] = ((this.buckets[bucket] ?? 0) ^ (old?.hash ?? 0) ^ hash) >>> 0
    this.rows.set(member.node, { member, hash, bucket, changedAt: now })
    this.reachableCache = null
  }

  /** Removes members that left more than `lifetime` ago and returns their ids. */
  removeExpired (now: Millis, lifetime: Millis): NodeId[] {
    const expired = [...this.rows.values()].filter((row) => row.member.state === MemberState.Left && now - row.changedAt > lifetime)
    for (const row of expired) {
      this.buckets[row.bucket] = ((this.buckets[row.bucket] ?? 0) ^ row.hash) >>> 0
      this.rows.delete(row.member.node)
    }
    if (expired.length > 0) this.reachableCache = null
    return expired.map((row) => row.member.node)
  }

  digest (): readonly number[] {
    return [...this.buckets]
  }

  /** Members in digest buckets whose hash differs from the one in `digest`. */
  differing (digest: readonly number[]): Member[] {
    return [...this.rows.values()]
      .filter((row) => this.buckets[row.bucket] !== digest[row.bucket])
      .map((row) => row.member)
  }
}
