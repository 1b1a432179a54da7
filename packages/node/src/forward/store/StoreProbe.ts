/** Checks whether the platform's store still answers a node that watches it, and up to which revision. */
import { StoreKey } from '@bluebellhill/platform'
import type { MetadataStore } from '@bluebellhill/platform'
import type { Millis, NodeId, StoreRevision } from '@bluebellhill/domain'

import type { StoreAvailability } from './StoreAvailability.js'

/** Time without an answer of the store after which it is probed; a watch may wait for longer than the other nodes can. */
const MAX_SILENCE: Millis = 300

/**
 * Timeout of a probe, and of other calls that find out whether the store answers. Two probes, and the list of the node that takes over,
 * fit into the time in which a change has to be in force.
 */
export const PROBE_TIMEOUT: Millis = 350

const CHECK_PERIOD: Millis = 100

/** Part of the time in which a change has to be in force after which a watcher reads the present revision; the rest is for the change itself. */
const CURRENT_READ_SHARE = 0.5

export interface StoreProbeOptions {
  readonly store: MetadataStore
  readonly node: NodeId
  /** Receives the results. */
  readonly availability: StoreAvailability
  readonly clock: () => Millis
  /** Time in which a change in the store has to be in force on all nodes. */
  readonly changeBound: Millis
  /** Returns whether this node watches the store. */
  readonly isStoreWatcher: () => boolean
  /** Called when the store does not answer any more: watches that wait for it will not end soon. */
  readonly onSilent: () => void
  /** Called with the revision that an answer states; it may be that of a replica that is behind. */
  readonly onRevision: (revision: StoreRevision) => void
}

/**
 * Probes the store whenever it has not answered a watcher for a short time. A store, or the way to it, that has gone silent leaves a
 * watch waiting like a store without changes, and the other nodes rely on the watchers. Most probes are reads that may be stale, the
 * cheapest ones: they show that the store answers. Only a read of its present state shows that the watches have missed nothing.
 */
export class StoreProbe {
  readonly #options: StoreProbeOptions
  #timer: NodeJS.Timeout | null = null
  #isProbing = false
  #isDisposed = false

  /** @param options - the store, and whether this node watches it */
  constructor (options: StoreProbeOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = setInterval(() => { if (this.#isDue()) void this.#probe() }, CHECK_PERIOD)
  }

  dispose (): void {
    this.#isDisposed = true
    if (this.#timer !== null) clearInterval(this.#timer)
  }

  /** A node that has lost the store repeats its calls anyway. */
  #isDue (): boolean {
    const { availability, isStoreWatcher } = this.#options
    const isSilent = (availability.silence ?? Infinity) >= MAX_SILENCE || this.#isCurrentReadDue()
    return !this.#isProbing && !availability.isLost && isSilent && isStoreWatcher()
  }

  #isCurrentReadDue (): boolean {
    const { availability, changeBound } = this.#options
    return (availability.currentSilence ?? Infinity) >= changeBound * CURRENT_READ_SHARE
  }

  /** Only the revision in the answer matters, so the node reads its own entry. */
  async #probe (): Promise<void> {
    const { store, node, availability, clock, onSilent, onRevision } = this.#options
    this.#isProbing = true
    const startedAt = clock()
    const mayBeStale = !this.#isCurrentReadDue()
    const result = await store.range(`${StoreKey.Nodes}${node}`, '', mayBeStale, PROBE_TIMEOUT).finally(() => { this.#isProbing = false })
    if (this.#isDisposed) return
    if (result.ok && mayBeStale) availability.recordStaleAnswer()
    else availability.recordResult(result, startedAt, startedAt)
    if (result.ok) onRevision(result.value.revision)
    else if (availability.isLost) onSilent()
  }
}
