/** Watches the stored configuration for one node and reopens the watch after failures, with exponential backoff and jitter. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import type { ConfigurationStore, StoredConfiguration, ConfigurationListener } from '@bluebellhill/services'

import { FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, FULL_READ_PERIOD_MS } from './constants.js'
import type { Disposable } from '../store/index.js'

/** Receives the state of the store, its changes and its availability. */
export interface StoreWatcherListener extends Pick<ConfigurationListener, 'changed' | 'deleted'> {
  /** Applies the whole stored configuration. The watch opens, or the next read is scheduled, after the promise resolves. */
  allRead (stored: StoredConfiguration): Promise<void>
  /** Called when the store becomes available or unavailable. */
  availabilityChanged (available: boolean, reason: string): void
}

/** Reads the whole configuration, then watches its changes, and reads it again periodically. */
export class StoreWatcher {
  readonly #store: ConfigurationStore
  readonly #listener: StoreWatcherListener
  readonly #rng: RandomGenerator
  #watch: Disposable | null = null
  #timer: NodeJS.Timeout | null = null
  #failureCount = 0
  #isRunning = false
  /** Increases each time that the watch is opened or ended; callbacks of earlier watches are ignored. */
  #generation = 0
  #isAvailable: boolean | null = null

  /**
   * @param store - the stored configuration
   * @param listener - receives the state of the store
   * @param rng - adds jitter to the delays, so that nodes do not call the store at the same time
   */
  constructor (store: ConfigurationStore, listener: StoreWatcherListener, rng: RandomGenerator) {
    this.#store = store
    this.#listener = listener
    this.#rng = rng
  }

  /** Whether this node watches the store, or is about to open the watch. */
  get isRunning (): boolean {
    return this.#isRunning
  }

  /** Starts to watch after a short random delay, so that nodes that start together do not call the store at the same time. */
  start (): void {
    if (this.#isRunning) return
    this.#isRunning = true
    this.#failureCount = 0
    this.#schedule(FIRST_RETRY_DELAY_MS * uniformFloat64(this.#rng))
  }

  stop (): void {
    this.#isRunning = false
    this.#generation += 1
    this.#endWatch()
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  /** Reads the whole configuration once, even if this node does not watch. Returns whether the store answered. */
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

  /** Reads the whole configuration while the watch stays open, to find changes that the watch missed. A failed read reopens the watch. */
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
