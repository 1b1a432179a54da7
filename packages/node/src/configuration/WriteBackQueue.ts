/** Writes newer values back into a store that shows older ones, slowly and in random order. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import { compareVersions } from '@bluebellhill/domain'
import type { ConfigurationValue, StoredValue, ValueVersion } from '@bluebellhill/domain'
import type { ConfigurationStore } from '@bluebellhill/services'

import { WRITE_BACK_DELAY_MS, WRITE_BACK_PERIOD_MS } from './constants.js'

/** How a write-back ended: the store took it, its key had changed, or it did not get through. */
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

/** Told of each write-back that ended. */
export type WriteBackListener = (value: ConfigurationValue, result: WriteBackResult) => void

export class WriteBackQueue {
  readonly #store: ConfigurationStore
  readonly #ended: WriteBackListener
  readonly #rng: RandomGenerator
  readonly #pending = new Map<string, PendingWrite>()
  readonly #shown = new Map<string, ValueVersion>()
  #timer: NodeJS.Timeout | null = null
  #disposed = false

  /**
   * @param store - the stored configuration
   * @param ended - told of each write-back
   * @param rng - spreads the writes of several nodes
   */
  constructor (store: ConfigurationStore, ended: WriteBackListener, rng: RandomGenerator) {
    this.#store = store
    this.#ended = ended
    this.#rng = rng
  }

  /** Notes what the store shows now; another node may have written the value back already. */
  show ({ name, value }: StoredValue): void {
    if (value !== null) this.#shown.set(name, value)
  }

  /** Takes a value that the store showed in an older version. */
  add (value: ConfigurationValue, modRevision: number): void {
    this.#shown.delete(value.name)
    this.#pending.set(value.name, { value, modRevision })
    this.#schedule(WRITE_BACK_DELAY_MS * uniformFloat64(this.#rng))
  }

  dispose (): void {
    this.#disposed = true
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  #schedule (delay: number): void {
    if (this.#timer !== null || this.#disposed) return
    this.#timer = setTimeout(() => void this.#writeNext(), delay)
  }

  async #writeNext (): Promise<void> {
    const next = this.#takeAny()
    if (next !== undefined) this.#ended(next.value, await this.#write(next))
    this.#timer = null
    if (this.#pending.size > 0) this.#schedule(WRITE_BACK_PERIOD_MS)
  }

  #takeAny (): PendingWrite | undefined {
    const names = [...this.#pending.keys()]
    const name = names[Math.floor(uniformFloat64(this.#rng) * names.length)]
    if (name === undefined) return undefined
    const taken = this.#pending.get(name)
    this.#pending.delete(name)
    return taken
  }

  async #write ({ value, modRevision }: PendingWrite): Promise<WriteBackResult> {
    const shown = this.#shown.get(value.name)
    if (shown !== undefined && compareVersions(shown, value) >= 0) return WriteBackResult.Changed
    const answer = await this.#store.compareAndSwap(value, modRevision)
    if (!answer.ok) return WriteBackResult.Failed
    return answer.value.swapped ? WriteBackResult.Swapped : WriteBackResult.Changed
  }
}
