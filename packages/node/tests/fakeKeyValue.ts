/** Key-value service in memory, with the faults that configuration and idempotency claims must tolerate. */
import { KeyValueService } from '@bluebellhill/services'
import type { CallFailure, Comparison, KeyValue, Lease, Operation, OperationResponse, RangeResponse, RangeQuery, Result, Transaction, TransactionResponse, Watch, WatchListener, WatchQuery } from '@bluebellhill/services'

const OUTAGE_FAILURE: CallFailure = { type: 'not_sent', reason: 'the store is down' }

export class FakeKeyValue extends KeyValueService {
  entries = new Map<string, KeyValue>()
  revision = 1
  calls = 0
  isDown = false
  /** Number of next writing transactions that take effect but whose response is lost. */
  lostAnswers = 0
  readonly #watches = new Set<{ query: WatchQuery, listener: WatchListener }>()

  goDown (): void {
    this.isDown = true
    for (const { listener } of this.#watches) listener.closed(OUTAGE_FAILURE)
    this.#watches.clear()
  }

  /** Replaces the state by an earlier snapshot, as when a backup is restored. */
  restore (state: { entries: Map<string, KeyValue>, revision: number }): void {
    this.entries = new Map(state.entries)
    this.revision = state.revision
    for (const { listener } of this.#watches) listener.closed(OUTAGE_FAILURE)
    this.#watches.clear()
  }

  snapshot (): { entries: Map<string, KeyValue>, revision: number } {
    return { entries: new Map(this.entries), revision: this.revision }
  }

  override async range (query: RangeQuery): Promise<Result<RangeResponse, CallFailure>> {
    return await this.#answer(() => {
      const values = this.#read(query)
      return { revision: this.revision, values, more: query.limit !== undefined && values.length === query.limit }
    })
  }

  override async transact (transaction: Transaction): Promise<Result<TransactionResponse, CallFailure>> {
    const result = await this.#answer(() => {
      const succeeded = transaction.compare.every((comparison) => this.#holds(comparison))
      const operations = succeeded ? transaction.success : transaction.failure
      if (operations.some(({ type }) => type !== 'range')) this.revision += 1
      return { succeeded, answers: operations.map((operation) => this.#run(operation)), revision: this.revision }
    })
    if (!result.ok || this.lostAnswers === 0 || transaction.success.every(({ type }) => type === 'range')) return result
    this.lostAnswers -= 1
    return { ok: false, failure: { type: 'interrupted', reason: 'answer lost' } }
  }

  override async grantLease (ttlSeconds: number): Promise<Result<Lease, CallFailure>> {
    return await this.#answer(() => ({ id: '7', ttlSeconds }))
  }

  override async keepLeaseAlive (id: string): Promise<Result<Lease, CallFailure>> {
    return await this.#answer(() => ({ id, ttlSeconds: 1 }))
  }

  override async revokeLease (): Promise<Result<void, CallFailure>> {
    return await this.#answer(() => undefined)
  }

  override watch (query: WatchQuery, listener: WatchListener): Watch {
    this.calls += 1
    const watch = { query, listener }
    queueMicrotask(() => {
      if (this.isDown) return listener.closed(OUTAGE_FAILURE)
      this.#watches.add(watch)
      listener.opened(this.revision)
    })
    return { dispose: () => { this.#watches.delete(watch) } }
  }

  override async dispose (): Promise<void> {}

  async #answer<Value> (run: () => Value): Promise<Result<Value, CallFailure>> {
    this.calls += 1
    await new Promise((resolve) => setImmediate(resolve))
    return this.isDown ? { ok: false, failure: OUTAGE_FAILURE } : { ok: true, value: run() }
  }

  #read ({ key, prefix, after, limit }: RangeQuery): KeyValue[] {
    return [...this.entries.values()]
      .filter((entry) => prefix === true ? entry.key.startsWith(key) && (after === undefined || entry.key > after) : entry.key === key)
      .sort((left, right) => left.key < right.key ? -1 : 1)
      .slice(0, limit)
  }

  #holds (comparison: Comparison): boolean {
    const entry = this.entries.get(comparison.key)
    if (comparison.target === 'mod') return (entry?.modRevision ?? 0) === comparison.revision
    throw new Error(`the fake does not support the comparison of ${comparison.target}`)
  }

  #run (operation: Operation): OperationResponse {
    if (operation.type === 'range') return { type: 'range', values: this.#read(operation.query) }
    if (operation.type === 'delete') return { type: 'delete', deleted: this.entries.delete(operation.key) ? 1 : 0 }
    const { key, value, lease } = operation
    const before = this.entries.get(key)
    const entry = { key, value, modRevision: this.revision, createRevision: before?.createRevision ?? this.revision, version: (before?.version ?? 0) + 1, lease: lease ?? '0' }
    this.entries.set(key, entry)
    for (const { query, listener } of this.#watches) {
      if (key.startsWith(query.key)) listener.changed(this.revision, [{ type: 'put', value: entry }])
    }
    return { type: 'put' }
  }
}
