/** Concluded records that a node has seen lately, bounded by their size. */
import { CACHE_BYTES, RECORD_BYTES } from './constants.js'
import type { KeyDigest, KeyRecord } from './types.js'

/**
 * Estimates the size of a record in the store and in memory.
 *
 * @param record - a record; null for a deletion
 * @returns bytes
 */
export const sizeOfRecord = (record: KeyRecord | null): number => RECORD_BYTES + (record?.outcome?.answer?.length ?? 0)

export class RecordCache {
  readonly #records = new Map<KeyDigest, KeyRecord>()
  #bytes = 0

  /** Bytes held. */
  get bytes (): number {
    return this.#bytes
  }

  /** @returns the record of a key, or null */
  find (key: KeyDigest): KeyRecord | null {
    return this.#records.get(key) ?? null
  }

  /** Keeps a record and drops the oldest ones above the bound. */
  keep (key: KeyDigest, record: KeyRecord): void {
    this.#drop(key)
    this.#records.set(key, record)
    this.#bytes += sizeOfRecord(record)
    for (const oldest of this.#records.keys()) {
      if (this.#bytes <= CACHE_BYTES) break
      this.#drop(oldest)
    }
  }

  #drop (key: KeyDigest): void {
    const record = this.#records.get(key)
    if (record === undefined) return
    this.#records.delete(key)
    this.#bytes -= sizeOfRecord(record)
  }
}
