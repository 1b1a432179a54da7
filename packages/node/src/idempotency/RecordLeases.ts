/** Leases that let the records of claims expire: one for all claims of a node in one part of the retention time. */
import { success } from '@bluebellhill/services'
import type { CallFailure, KeyValueService, Result } from '@bluebellhill/services'
import type { Millis } from '@bluebellhill/domain'

import { LEASES_PER_RETENTION } from './constants.js'

const MS_PER_SECOND = 1_000

/** A lease outlives the records that hang on it by design: it is never renewed, and lapses after the retention time. */
export class RecordLeases {
  readonly #keyValue: KeyValueService
  readonly #retention: Millis
  readonly #clock: () => Millis
  #lease: { readonly id: string, readonly reusableUntil: Millis } | null = null
  #pendingGrant: Promise<Result<string, CallFailure>> | null = null

  /**
   * @param keyValue - the platform's key-value service
   * @param retention - time that a record is kept at least
   * @param clock - the monotonic clock
   */
  constructor (keyValue: KeyValueService, retention: Millis, clock: () => Millis) {
    this.#keyValue = keyValue
    this.#retention = retention
    this.#clock = clock
  }

  /** @returns the lease for records that are written now */
  async current (): Promise<Result<string, CallFailure>> {
    if (this.#lease !== null && this.#clock() < this.#lease.reusableUntil) return success(this.#lease.id)
    this.#pendingGrant ??= this.#grantLease().finally(() => { this.#pendingGrant = null })
    return await this.#pendingGrant
  }

  /** Drops a lease that the store does not know any more. */
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
