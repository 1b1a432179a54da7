/** Leases under which a node stores the records of its claims, so that the records expire after the retention time. */
import { success } from '@bluebellhill/services'
import type { CallFailure, KeyValueService, Result } from '@bluebellhill/services'
import type { Millis } from '@bluebellhill/domain'

import { LEASES_PER_RETENTION } from './constants.js'

const MS_PER_SECOND = 1_000

/**
 * All records that the node writes during one reuse period, a fraction of the retention time, share a lease. The lease is
 * never renewed and expires one retention time after the end of its reuse period, so that every record is kept at least
 * for the retention time.
 */
export class RecordLeases {
  readonly #keyValue: KeyValueService
  readonly #retention: Millis
  readonly #clock: () => Millis
  #lease: { readonly id: string, readonly reusableUntil: Millis } | null = null
  #pendingGrant: Promise<Result<string, CallFailure>> | null = null

  /**
   * @param keyValue - the platform's key-value service
   * @param retention - minimum time for which a record is kept
   * @param clock - the monotonic clock
   */
  constructor (keyValue: KeyValueService, retention: Millis, clock: () => Millis) {
    this.#keyValue = keyValue
    this.#retention = retention
    this.#clock = clock
  }

  /** @returns the id of the lease for records that are written now */
  async current (): Promise<Result<string, CallFailure>> {
    if (this.#lease !== null && this.#clock() < this.#lease.reusableUntil) return success(this.#lease.id)
    this.#pendingGrant ??= this.#grantLease().finally(() => { this.#pendingGrant = null })
    return await this.#pendingGrant
  }

  /** Discards the current lease, after the store has reported that it does not exist. */
  discard (): void {
    this.#lease = null
  }

  async #grantLease (): Promise<Result<string, CallFailure>> {
    const reusePeriod = this.#retention / LEASES_PER_RETENTION
    const reusableUntil = this.#clock() + reusePeriod
    const granted = await this.#keyValue.grantLease(Math.ceil((this.#retention + reusePeriod) / MS_PER_SECOND))
    if (!granted.ok) return granted
    this.#lease = { id: granted.value.id, reusableUntil }
    return success(granted.value.id)
  }
}
