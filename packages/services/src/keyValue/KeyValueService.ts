/** The platform's key-value service with compare-and-swap, leases and watches. */
import type { CallFailure } from '../errors.js'
import type { Result } from '../result.js'
import type { KeyValue, Lease, RangeResponse, RangeQuery, Transaction, TransactionResponse, WatchedChange, WatchQuery } from './types.js'

/** Receives what a watch reports. */
export interface WatchListener {
  /** The watch stands; changes from its start revision on will follow. */
  opened (revision: number): void
  changed (revision: number, changes: readonly WatchedChange[]): void
  /** The watch ended, by a failure or by the server; it does not reopen by itself. */
  closed (failure: CallFailure): void
}

export interface Watch {
  /** Ends the watch without a report. */
  dispose (): void
}

export type SwapResult =
  | { readonly swapped: true, readonly modRevision: number }
  /** `current` is what the key held instead; null where it did not exist. */
  | { readonly swapped: false, readonly current: KeyValue | null, readonly revision: number }

export abstract class KeyValueService {
  /**
   * Reads keys.
   *
   * @param query - a key or a prefix
   * @returns the values and the store revision
   */
  abstract range (query: RangeQuery): Promise<Result<RangeResponse, CallFailure>>

  /**
   * Runs one transaction.
   *
   * @param transaction - comparisons and the operations of both branches
   * @returns the answers of the branch that ran
   */
  abstract transact (transaction: Transaction): Promise<Result<TransactionResponse, CallFailure>>

  /**
   * Asks for a lease.
   *
   * @param ttlSeconds - time after which it lapses unless kept alive
   * @returns the lease with the time that the store granted
   */
  abstract grantLease (ttlSeconds: number): Promise<Result<Lease, CallFailure>>

  /**
   * Renews a lease.
   *
   * @param id - the lease
   * @returns the lease; its `ttlSeconds` is 0 where it had lapsed
   */
  abstract keepLeaseAlive (id: string): Promise<Result<Lease, CallFailure>>

  /**
   * Ends a lease, which deletes its keys.
   *
   * @param id - the lease
   */
  abstract revokeLease (id: string): Promise<Result<void, CallFailure>>

  /**
   * Reports changes until it is disposed of or breaks.
   *
   * @param query - what to watch
   * @param listener - receives the reports
   * @returns the handle that ends the watch
   */
  abstract watch (query: WatchQuery, listener: WatchListener): Watch

  /** Releases connections. */
  abstract dispose (): Promise<void>

  /**
   * Writes a key if it has not changed since it was read.
   *
   * @param key - the key
   * @param modRevision - its revision when read; 0 where it did not exist
   * @param value - what to write
   * @param lease - lease that the key shall hang on
   * @returns whether the write took place, and otherwise what the key holds
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
