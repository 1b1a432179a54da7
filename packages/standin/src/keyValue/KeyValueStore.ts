/** Keys with revisions, leases and a history of changes. No clock and no sockets. */
import { futureRevision, leaseNotFound } from './errors.js'
import { CompareResult, CompareTarget } from './types.js'
import type { Change, Comparison, Entry, KeyRange, Lease, Operation, OperationResult } from './types.js'

const MS_PER_SECOND = 1_000
const HISTORY = 100_000

/** What a transaction did. */
export interface TransactionResult {
  readonly succeeded: boolean
  readonly results: readonly OperationResult[]
}

const inRange = (key: string, { key: from, end }: KeyRange): boolean => {
  if (end === null) return key === from
  return key >= from && (end === '\0' || key < end)
}

const holds = (actual: number | string, result: CompareResult, wanted: number | string): boolean => {
  switch (result) {
    case CompareResult.Equal: return actual === wanted
    case CompareResult.NotEqual: return actual !== wanted
    case CompareResult.Greater: return actual > wanted
    case CompareResult.Less: return actual < wanted
  }
}

/** The store; each writing call makes one revision. */
export class KeyValueStore {
  revision = 1
  /** Changes up to this revision are no longer known. */
  compactedRevision = 0
  /** Called after each revision with its changes. */
  onChanges: (changes: readonly Change[]) => void = () => {}
  private entries = new Map<string, Entry>()
  private changes: Change[] = []
  private readonly leases = new Map<string, Lease>()
  private nextLease = 1_000

  /**
   * Reads entries.
   *
   * @param range - which keys
   * @param revision - the revision to read at; 0 for the newest
   * @returns the entries in the order of their keys
   * @throws KeyValueRefusal for a revision not reached yet
   */
  range (range: KeyRange, revision = 0): Entry[] {
    if (revision > this.revision) throw futureRevision()
    const entries = revision > 0 && revision < this.revision ? this.entriesAt(revision) : this.entries
    if (range.end === null) {
      const entry = entries.get(range.key)
      return entry ? [entry] : []
    }
    return [...entries.values()]
      .filter(({ key }) => inRange(key, range))
      .sort((one, other) => one.key < other.key ? -1 : 1)
  }

  /**
   * Compares and then writes, all in one revision.
   *
   * @param comparisons - all must hold
   * @param success - run where they hold
   * @param failure - run otherwise
   * @returns which branch ran, and its results
   * @throws KeyValueRefusal for an unknown lease; nothing is written then
   */
  transact (comparisons: readonly Comparison[], success: readonly Operation[], failure: readonly Operation[] = []): TransactionResult {
    const succeeded = comparisons.every((comparison) => this.compare(comparison))
    const operations = succeeded ? success : failure
    this.checkLeases(operations)
    const written: Change[] = []
    const results = operations.map((operation) => this.apply(operation, written))
    this.record(written)
    return { succeeded, results }
  }

  /**
   * Grants a lease.
   *
   * @param ttlSeconds - its length
   * @param now - milliseconds
   * @param id - wanted id; null for any
   * @returns the lease
   */
  grant (ttlSeconds: number, now: number, id: string | null = null): Lease {
    const ttlMs = ttlSeconds * MS_PER_SECOND
    const lease = { id: id ?? String(this.nextLease++), ttlMs, expiresAt: now + ttlMs }
    this.leases.set(lease.id, lease)
    return lease
  }

  /**
   * Prolongs a lease.
   *
   * @param id - the lease
   * @param now - milliseconds
   * @returns the lease; null where it has expired
   */
  keepAlive (id: string, now: number): Lease | null {
    this.expire(now)
    const lease = this.leases.get(id)
    if (!lease) return null
    lease.expiresAt = now + lease.ttlMs
    return lease
  }

  /**
   * Finds a lease.
   *
   * @param id - the lease
   * @param now - milliseconds
   * @returns the lease and its keys; null where there is none
   */
  lease (id: string, now: number): { lease: Lease, keys: string[] } | null {
    this.expire(now)
    const lease = this.leases.get(id)
    return lease ? { lease, keys: this.keysOf(id) } : null
  }

  /**
   * Ends a lease and deletes its keys.
   *
   * @param id - the lease
   * @throws KeyValueRefusal where there is none
   */
  revoke (id: string): void {
    if (!this.leases.delete(id)) throw leaseNotFound()
    const deletes = this.keysOf(id).map((key): Operation => ({ type: 'delete', range: { key, end: null } }))
    this.transact([], deletes)
  }

  /**
   * Ends the leases whose time has passed.
   *
   * @param now - milliseconds
   */
  expire (now: number): void {
    for (const lease of [...this.leases.values()]) {
      if (lease.expiresAt <= now) this.revoke(lease.id)
    }
  }

  /**
   * Lists past changes.
   *
   * @param range - which keys
   * @param from - first revision
   * @returns the changes in order
   */
  history (range: KeyRange, from: number): Change[] {
    return this.changes.filter(({ key, revision }) => revision >= from && inRange(key, range))
  }

  /**
   * Sets the store back, as a restored backup does; later revisions are given out again.
   *
   * @param revision - the revision to return to
   */
  restore (revision: number): void {
    const target = Math.max(this.compactedRevision, Math.min(revision, this.revision))
    this.entries = this.entriesAt(target)
    this.changes = this.changes.filter((change) => change.revision <= target)
    this.revision = target
  }

  private entriesAt (revision: number): Map<string, Entry> {
    const entries = new Map(this.entries)
    for (let index = this.changes.length - 1; index >= 0; index--) {
      const change = this.changes[index]!
      if (change.revision <= revision) break
      if (change.previous) entries.set(change.key, change.previous)
      else entries.delete(change.key)
    }
    return entries
  }

  private keysOf (lease: string): string[] {
    return [...this.entries.values()].filter((entry) => entry.lease === lease).map(({ key }) => key)
  }

  private compare ({ key, target, result, wanted }: Comparison): boolean {
    const entry = this.entries.get(key)
    switch (target) {
      case CompareTarget.Version: return holds(entry?.version ?? 0, result, wanted)
      case CompareTarget.Create: return holds(entry?.createRevision ?? 0, result, wanted)
      case CompareTarget.Mod: return holds(entry?.modRevision ?? 0, result, wanted)
      case CompareTarget.Lease: return holds(Number(entry?.lease ?? 0), result, wanted)
      case CompareTarget.Value: return entry !== undefined && holds(entry.value, result, wanted)
    }
  }

  private checkLeases (operations: readonly Operation[]): void {
    for (const operation of operations) {
      if (operation.type === 'put' && operation.lease !== null && !this.leases.has(operation.lease)) throw leaseNotFound()
    }
  }

  private apply (operation: Operation, written: Change[]): OperationResult {
    switch (operation.type) {
      case 'range': {
        const entries = this.range(operation.range)
        const limited = operation.limit > 0 ? entries.slice(0, operation.limit) : entries
        return { type: 'range', entries: limited, count: entries.length }
      }
      case 'put': return { type: 'put', previous: this.put(operation.key, operation.value, operation.lease, written) }
      case 'delete': return { type: 'delete', deleted: this.delete(operation.range, written) }
    }
  }

  private put (key: string, value: string, lease: string | null, written: Change[]): Entry | null {
    const previous = this.entries.get(key) ?? null
    const revision = this.revision + 1
    const createRevision = previous?.createRevision ?? revision
    const entry = { key, value, createRevision, modRevision: revision, version: (previous?.version ?? 0) + 1, lease }
    this.entries.set(key, entry)
    written.push({ revision, key, entry, previous })
    return previous
  }

  private delete (range: KeyRange, written: Change[]): number {
    const gone = this.range(range)
    for (const previous of gone) {
      this.entries.delete(previous.key)
      written.push({ revision: this.revision + 1, key: previous.key, entry: null, previous })
    }
    return gone.length
  }

  private record (written: readonly Change[]): void {
    if (written.length === 0) return
    this.revision++
    for (const change of written) this.changes.push(change)
    if (this.changes.length > HISTORY) {
      const dropped = this.changes.splice(0, HISTORY / 2)
      this.compactedRevision = dropped.at(-1)!.revision
    }
    this.onChanges(written)
  }
}
