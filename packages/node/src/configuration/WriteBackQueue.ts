/** Writes newer configuration values back to a store that has older ones, at a limited rate and in random order. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import { compareVersions } from '@bluebellhill/domain'
import type { ConfigurationValue, StoredValue, ValueVersion } from '@bluebellhill/domain'
import type { ConfigurationStore } from '@bluebellhill/services'

import { MAX_WRITE_BACK_DELAY_MS, WRITE_BACK_PERIOD_MS } from './constants.js'

/** Result of a write-back: the value was stored, its key had changed in the meantime, or the call failed. */
export const WriteBackResult = {
  Swapped: 'swapped',
  Changed: 'changed',
  Failed: 'failed'
} as const
export type WriteBackResult = typeof WriteBackResult[keyof typeof WriteBackResult]

interface PendingWrite {
  readonly value: ConfigurationValue
  readonly modRevision: number
}

/** Called with the result of each finished write-back. */
export type WriteBackListener = (value: ConfigurationValue, result: WriteBackResult) => void

/** Each write succeeds only if its key is unchanged since it was read. */
export class WriteBackQueue {
  readonly #store: ConfigurationStore
  readonly #onFinished: WriteBackListener
  readonly #rng: RandomGenerator
  readonly #pending = new Map<string, PendingWrite>()
  readonly #storedVersions = new Map<string, ValueVersion>()
  #timer: NodeJS.Timeout | null = null
  #isDisposed = false

  /**
   * @param store - the stored configuration
   * @param onFinished - called with the result of each write-back
   * @param rng - adds jitter, so that several nodes do not write the same values at the same time
   */
  constructor (store: ConfigurationStore, onFinished: WriteBackListener, rng: RandomGenerator) {
    this.#store = store
    this.#onFinished = onFinished
    this.#rng = rng
  }

  /** Records the version that the store has now. A pending write is skipped if that version is the same or newer. */
  recordStored ({ name, value }: StoredValue): void {
    if (value !== null) this.#storedVersions.set(name, value)
  }

  /** Adds a value of which the store has an older version or none. */
  add (value: ConfigurationValue, modRevision: number): void {
    this.#storedVersions.delete(value.name)
    this.#pending.set(value.name, { value, modRevision })
    this.#schedule(MAX_WRITE_BACK_DELAY_MS * uniformFloat64(this.#rng))
  }

  dispose (): void {
    this.#isDisposed = true
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  #schedule (delay: number): void {
    if (this.#timer !== null || this.#isDisposed) return
    this.#timer = setTimeout(() => void this.#writeNext(), delay)
  }

  async #writeNext (): Promise<void> {
    const next = this.#removeRandom()
    if (next !== undefined) this.#onFinished(next.value, await this.#write(next))
    this.#timer = null
    if (this.#pending.size > 0) this.#schedule(WRITE_BACK_PERIOD_MS)
  }

  #removeRandom (): PendingWrite | undefined {
    const names = [...this.#pending.keys()]
    const name = names[Math.floor(uniformFloat64(this.#rng) * names.length)]
    if (name === undefined) return undefined
    const pendingWrite = this.#pending.get(name)
    this.#pending.delete(name)
    return pendingWrite
  }

  async #write ({ value, modRevision }: PendingWrite): Promise<WriteBackResult> {
    const storedVersion = this.#storedVersions.get(value.name)
    if (storedVersion !== undefined && compareVersions(storedVersion, value) >= 0) return WriteBackResult.Changed
    const result = await this.#store.compareAndSwap(value, modRevision)
    if (!result.ok) return WriteBackResult.Failed
    return result.value.swapped ? WriteBackResult.Swapped : WriteBackResult.Changed
  }
}
