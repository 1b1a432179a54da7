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

/** Every known member with the digest of the whole, and the reachable ones as a list. */
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

  /** Live and suspected members, this node among them. */
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
   * Takes a claim in.
   *
   * @param claim - claim about a member
   * @param now - current time
   * @returns the member before, or null, where the claim changed something; undefined otherwise
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

  /** Replaces a row without comparing; only for the node's own entry. */
  put (member: Member, now: Millis): void {
    const bucket = bucketOf(member.node)
    const hash = rowHash(member)
    const old = this.rows.get(member.node)
    this.buckets[bucket] = ((this.buckets[bucket] ?? 0) ^ (old?.hash ?? 0) ^ hash) >>> 0
    this.rows.set(member.node, { member, hash, bucket, changedAt: now })
    this.reachableCache = null
  }

  /** Drops members that left longer than `lifetime` ago. */
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

  /** Members in buckets whose hash differs from `digest`. */
  differing (digest: readonly number[]): Member[] {
    return [...this.rows.values()]
      .filter((row) => this.buckets[row.bucket] !== digest[row.bucket])
      .map((row) => row.member)
  }
}
