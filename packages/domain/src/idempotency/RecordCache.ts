/** Caches the most recently added records of concluded claims, bounded by their total size. */
import { CACHE_BYTES, RECORD_BYTES } from './constants.js'
import type { KeyDigest, KeyRecord } from './types.js'

/**
 * Estimates the size of a record in the store and in memory.
 *
 * @param record - a record; null for the deletion of a key
 * @returns size in bytes
 */
export const sizeOfRecord = (record: KeyRecord | null): number => RECORD_BYTES + (record?.outcome?.answer?.length ?? 0)

export class RecordCache {
  readonly #records = new Map<KeyDigest, KeyRecord>()
  #bytes = 0

  /** Estimated size of all cached records. */
  get bytes (): number {
    return this.#bytes
  }

  /** @returns the cached record of a key, or null */
  find (key: KeyDigest): KeyRecord | null {
    return this.#records.get(key) ?? null
  }

  /** Adds or replaces a record, and evicts the oldest records while the cache exceeds `CACHE_BYTES`. */
  add (key: KeyDigest, record: KeyRecord): void {
    this.#remove(key)
    this.#records.set(key, record)
    this.#bytes += sizeOfRecord(record)
    for (const oldest of this.#records.keys()) {
      if (this.#bytes <= CACHE_BYTES) break
      this.#remove(oldest)
    }
  }

  #remove (key: KeyDigest): void {
    const record = this.#records.get(key)
    if (record === undefined) return
    this.#records.delete(key)
    this.#bytes -= sizeOfRecord(record)
  }
}
