/** One running node. */
import { EventKind } from '@bluebellhill/protocol'
import { setTimeout as delay } from 'node:timers/promises'

import { buildNode } from './buildNode.js'
import type { NodeComponents } from './buildNode.js'
import { buildFoundation } from './foundation.js'
import type { DaemonAddresses, DaemonOptions } from './types.js'

/** Time that a stopping node takes to write the outcomes of its last keyed requests. */
const KEY_SETTLE_TIMEOUT_MS = 5_000

/** A node that is in service until it is stopped. */
export class Daemon {
  readonly #components: NodeComponents
  #stopping: Promise<void> | null = null

  private constructor (components: NodeComponents) {
    this.#components = components
    components.drain.addEventListener('drain', () => { void this.stop() }, { once: true })
  }

  /**
   * Builds a node and joins the fleet.
   *
   * @param options - what it is started with
   * @throws Error where an address cannot be bound
   */
  static async start (options: DaemonOptions): Promise<Daemon> {
    const foundation = await buildFoundation(options)
    try {
      return new Daemon(await buildNode(foundation))
    } catch (error) {
      await foundation.store.dispose()
      throw error
    }
  }

  /** Addresses in use. */
  get addresses (): DaemonAddresses {
    return this.#components.addresses
  }

  /**
   * Stops in order: readiness fails, new work is refused, requests in progress finish, then everything closes.
   *
   * @returns resolves when all is closed; further calls wait for the first
   */
  stop (): Promise<void> {
    this.#stopping ??= this.#stop()
    return this.#stopping
  }

  async #stop (): Promise<void> {
    const { foundation, fleet, idempotency, requests, callers, availability } = this.#components
    const { timeLine, options, store } = foundation
    timeLine.record(EventKind.NodeStopping, {}, 'planned stop', { inProgress: requests.size })
    options.log.info('node_stopping', { in_progress: requests.size })
    availability.isReady = false
    fleet.membership.leave()
    await delay(options.drainGrace)
    availability.acceptsRequests = false
    callers.stopListening()
    await requests.idle()
    await idempotency?.settled(KEY_SETTLE_TIMEOUT_MS)
    timeLine.record(EventKind.NodeStopped, {}, '', {})
    options.log.info('node_stopped', {})
    await store.dispose()
  }
}
