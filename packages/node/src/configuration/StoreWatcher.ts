/** Keeps one node's watch of the stored configuration up, with jittered pauses after failures. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import type { ConfigurationStore, StoredConfiguration, StoreListener } from '@bluebellhill/services'

import { FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, FULL_READ_PERIOD_MS } from './constants.js'
import type { Disposable } from '../store/index.js'

/** Receives what the store shows. */
export interface StoreWatcherListener extends Pick<StoreListener, 'changed' | 'deleted'> {
  /** Takes everything that the store holds; the watch goes on when it is taken in. */
  allRead (stored: StoredConfiguration): Promise<void>
  /** Whether the store answers, each time that it changes. */
  availabilityChanged (available: boolean, reason: string): void
}

export class StoreWatcher {
  readonly #store: ConfigurationStore
  readonly #listener: StoreWatcherListener
  readonly #rng: RandomGenerator
  #watch: Disposable | null = null
  #timer: NodeJS.Timeout | null = null
  #failureCount = 0
  #isRunning = false
  #generation = 0
  #isAvailable: boolean | null = null

  /**
   * @param store - the stored configuration
   * @param listener - receives what it shows
   * @param rng - spreads the pauses of many nodes
   */
  constructor (store: ConfigurationStore, listener: StoreWatcherListener, rng: RandomGenerator) {
    this.#store = store
    this.#listener = listener
    this.#rng = rng
  }

  /** Whether this node watches. */
  get isRunning (): boolean {
    return this.#isRunning
  }

  /** Starts to watch, after a short random delay so that nodes that start together spread. */
  start (): void {
    if (this.#isRunning) return
    this.#isRunning = true
    this.#failureCount = 0
    this.#schedule(FIRST_RETRY_DELAY_MS * uniformFloat64(this.#rng))
  }

  /** Stops watching. */
  stop (): void {
    this.#isRunning = false
    this.#generation += 1
    this.#endWatch()
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  /** Reads everything once, whether this node watches or not. */
  async readOnce (): Promise<boolean> {
    const stored = await this.#store.readAll()
    this.#reportAvailability(stored.ok, stored.ok ? '' : stored.failure.reason)
    if (stored.ok) await this.#listener.allRead(stored.value)
    return stored.ok
  }

  async #openWatch (): Promise<void> {
    this.#endWatch()
    this.#generation += 1
    const generation = this.#generation
    const stored = await this.#store.readAll()
    if (generation !== this.#generation) return
    if (!stored.ok) return this.#retry(stored.failure.reason)
    this.#reportAvailability(true, '')
    await this.#listener.allRead(stored.value)
    if (generation !== this.#generation) return
    this.#watch = this.#store.watch(stored.value.revision + 1, {
      opened: () => { this.#failureCount = 0 },
      changed: (value) => { if (generation === this.#generation) this.#listener.changed(value) },
      deleted: (name) => { if (generation === this.#generation) this.#listener.deleted(name) },
      closed: (failure) => { if (generation === this.#generation) this.#retry(failure.reason) }
    })
    this.#schedule(FULL_READ_PERIOD_MS * (0.5 + uniformFloat64(this.#rng)), () => this.#reread(generation))
  }

  /** Reads beside the standing watch; a failure or a store that was set back opens the watch anew. */
  async #reread (generation: number): Promise<void> {
    const stored = await this.#store.readAll()
    if (generation !== this.#generation) return
    if (!stored.ok) return this.#retry(stored.failure.reason)
    await this.#listener.allRead(stored.value)
    if (generation !== this.#generation) return
    this.#schedule(FULL_READ_PERIOD_MS * (0.5 + uniformFloat64(this.#rng)), () => this.#reread(generation))
  }

  #retry (reason: string): void {
    if (!this.#isRunning) return
    this.#reportAvailability(false, reason)
    this.#endWatch()
    this.#generation += 1
    const pause = Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2 ** this.#failureCount)
    this.#failureCount += 1
    this.#schedule(pause * (0.5 + uniformFloat64(this.#rng)))
  }

  #reportAvailability (isAvailable: boolean, reason: string): void {
    if (this.#isAvailable === isAvailable) return
    this.#isAvailable = isAvailable
    this.#listener.availabilityChanged(isAvailable, reason)
  }

  #schedule (delay: number, run: () => Promise<void> = () => this.#openWatch()): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = setTimeout(() => void run(), delay)
  }

  #endWatch (): void {
    void this.#watch?.dispose()
    this.#watch = null
  }
}
