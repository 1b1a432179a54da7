/** Keeps one node's watch of the stored configuration up, with jittered pauses after failures. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import type { ConfigurationStore, StoredConfiguration, ConfigurationListener } from '@bluebellhill/services'

import { FIRST_RETRY_MS, LONGEST_RETRY_MS, READ_PERIOD_MS } from './constants.js'
import type { Disposable } from '../store/index.js'

/** Receives what the store shows. */
export interface WatcherListener extends Pick<ConfigurationListener, 'changed' | 'deleted'> {
  /** Takes everything that the store holds; the watch goes on when it is taken in. */
  read (stored: StoredConfiguration): Promise<void>
  /** Whether the store answers, each time that it changes. */
  availability (available: boolean, reason: string): void
}

export class StoreWatcher {
  readonly #store: ConfigurationStore
  readonly #listener: WatcherListener
  readonly #rng: RandomGenerator
  #watch: Disposable | null = null
  #timer: NodeJS.Timeout | null = null
  #failures = 0
  #running = false
  #round = 0
  #available: boolean | null = null

  /**
   * @param store - the stored configuration
   * @param listener - receives what it shows
   * @param rng - spreads the pauses of many nodes
   */
  constructor (store: ConfigurationStore, listener: WatcherListener, rng: RandomGenerator) {
    this.#store = store
    this.#listener = listener
    this.#rng = rng
  }

  /** Whether this node watches. */
  get isRunning (): boolean {
    return this.#running
  }

  /** Starts to watch, after a short random delay so that nodes that start together spread. */
  start (): void {
    if (this.#running) return
    this.#running = true
    this.#failures = 0
    this.#schedule(FIRST_RETRY_MS * uniformFloat64(this.#rng))
  }

  /** Stops watching. */
  stop (): void {
    this.#running = false
    this.#round += 1
    this.#endWatch()
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  /** Reads everything once, whether this node watches or not. */
  async readOnce (): Promise<boolean> {
    const stored = await this.#store.readAll()
    this.#report(stored.ok, stored.ok ? '' : stored.failure.reason)
    if (stored.ok) await this.#listener.read(stored.value)
    return stored.ok
  }

  async #open (): Promise<void> {
    this.#endWatch()
    this.#round += 1
    const round = this.#round
    const stored = await this.#store.readAll()
    if (round !== this.#round) return
    if (!stored.ok) return this.#retry(stored.failure.reason)
    this.#report(true, '')
    await this.#listener.read(stored.value)
    if (round !== this.#round) return
    this.#watch = this.#store.watch(stored.value.revision + 1, {
      opened: () => { this.#failures = 0 },
      changed: (value) => { if (round === this.#round) this.#listener.changed(value) },
      deleted: (name) => { if (round === this.#round) this.#listener.deleted(name) },
      closed: (failure) => { if (round === this.#round) this.#retry(failure.reason) }
    })
    this.#schedule(READ_PERIOD_MS * (0.5 + uniformFloat64(this.#rng)), () => this.#reread(round))
  }

  /** Reads beside the standing watch; a failure or a store that was set back opens the watch anew. */
  async #reread (round: number): Promise<void> {
    const stored = await this.#store.readAll()
    if (round !== this.#round) return
    if (!stored.ok) return this.#retry(stored.failure.reason)
    await this.#listener.read(stored.value)
    if (round !== this.#round) return
    this.#schedule(READ_PERIOD_MS * (0.5 + uniformFloat64(this.#rng)), () => this.#reread(round))
  }

  #retry (reason: string): void {
    if (!this.#running) return
    this.#report(false, reason)
    this.#endWatch()
    this.#round += 1
    const pause = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** this.#failures)
    this.#failures += 1
    this.#schedule(pause * (0.5 + uniformFloat64(this.#rng)))
  }

  #report (available: boolean, reason: string): void {
    if (this.#available === available) return
    this.#available = available
    this.#listener.availability(available, reason)
  }

  #schedule (delay: number, run: () => Promise<void> = () => this.#open()): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = setTimeout(() => void run(), delay)
  }

  #endWatch (): void {
    void this.#watch?.dispose()
    this.#watch = null
  }
}
