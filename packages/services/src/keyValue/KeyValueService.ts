/** Interface of the platform's key-value service with transactions, leases and watches. */
import type { CallFailure } from '../errors.js'
import type { Result } from '../result.js'
import type { KeyValue, Lease, RangeResponse, RangeQuery, Transaction, TransactionResponse, WatchedChange, WatchQuery } from './types.js'

/** Callbacks of a watch. */
export interface WatchListener {
  /** The watch is established; it reports all changes from its start revision on. */
  opened (revision: number): void
  changed (revision: number, changes: readonly WatchedChange[]): void
  /** The watch failed or the server ended it. It is not reopened automatically. */
  closed (failure: CallFailure): void
}

export interface Watch {
  /** Ends the watch without a call of `closed`. */
  dispose (): void
}

export type SwapResult =
  | { readonly swapped: true, readonly modRevision: number }
  /** `current` is the current entry of the key; null if the key does not exist. */
  | { readonly swapped: false, readonly current: KeyValue | null, readonly revision: number }

export abstract class KeyValueService {
  /**
   * Reads one key, or keys with a common prefix.
   *
   * @param query - key or prefix
   * @returns the entries and the store revision
   */
  abstract range (query: RangeQuery): Promise<Result<RangeResponse, CallFailure>>

  /**
   * Runs a transaction: the success operations if all comparisons are true, otherwise the failure operations.
   *
   * @param transaction - comparisons and operations
   * @returns the results of the operations that ran
   */
  abstract transact (transaction: Transaction): Promise<Result<TransactionResponse, CallFailure>>

  /**
   * Creates a lease.
   *
   * @param ttlSeconds - time after which the lease expires unless it is renewed
   * @returns the lease with the time to live that the store granted
   */
  abstract grantLease (ttlSeconds: number): Promise<Result<Lease, CallFailure>>

  /**
   * Renews a lease.
   *
   * @param id - id of the lease
   * @returns the lease; its `ttlSeconds` is 0 if it has expired
   */
  abstract keepLeaseAlive (id: string): Promise<Result<Lease, CallFailure>>

  /**
   * Revokes a lease, which deletes the keys attached to it.
   *
   * @param id - id of the lease
   */
  abstract revokeLease (id: string): Promise<Result<void, CallFailure>>

  /**
   * Watches keys until the watch is disposed or fails.
   *
   * @param query - keys to watch
   * @param listener - callbacks for changes and for the end of the watch
   * @returns handle that ends the watch
   */
  abstract watch (query: WatchQuery, listener: WatchListener): Watch

  /** Closes the connections to the service. */
  abstract dispose (): Promise<void>

  /**
   * Writes a key if it has not changed since it was read.
   *
   * @param key - the key
   * @param modRevision - revision of the key when it was read; 0 if the key did not exist
   * @param value - new value
   * @param lease - id of a lease to attach the key to
   * @returns whether the value was written; if not, the current entry of the key
   */
  async compareAndSwap (key: string, modRevision: number, value: Buffer, lease?: string): Promise<Result<SwapResult, CallFailure>> {
    const result = await this.transact({
      compare: [{ target: 'mod', key, revision: modRevision }],
      success: [{ type: 'put', key, value, lease }],
      failure: [{ type: 'range', query: { key } }]
    })
    if (!result.ok) return result
    const { succeeded, revision, answers } = result.value
    if (succeeded) return { ok: true, value: { swapped: true, modRevision: revision } }
    const read = answers[0]
    const current = read?.type === 'range' ? read.values[0] ?? null : null
    return { ok: true, value: { swapped: false, current, revision } }
  }
}
