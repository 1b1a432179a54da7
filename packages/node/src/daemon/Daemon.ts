/** Runs one node: starts its components and stops them in order. */
import { EventKind } from '@bluebellhill/protocol'
import { setTimeout as delay } from 'node:timers/promises'

import { buildNode } from './buildNode.js'
import type { NodeComponents } from './buildNode.js'
import { buildBaseComponents } from './baseComponents.js'
import type { DaemonAddresses, DaemonOptions } from './types.js'

/** Longest time that a stopping node waits until the outcomes of its last keyed requests are written. */
const KEY_SETTLE_TIMEOUT_MS = 5_000

/** Longest time that a stopping node waits until its callers have read their answers. */
const ANSWER_READ_TIMEOUT_MS = 5_000

/** A running node. It stops when `stop` is called or an operator requests a planned stop. */
export class Daemon {
  readonly #components: NodeComponents
  #stopping: Promise<void> | null = null

  private constructor (components: NodeComponents) {
    this.#components = components
    components.drain.addEventListener('drain', () => { void this.stop() }, { once: true })
  }

  /**
   * Builds a node and joins the fleet. If this fails, everything that was opened is closed.
   *
   * @param options - settings of the node
   * @throws Error if an address cannot be bound
   */
  static async start (options: DaemonOptions): Promise<Daemon> {
    const base = await buildBaseComponents(options)
    try {
      return new Daemon(await buildNode(base))
    } catch (error) {
      await base.store.dispose()
      throw error
    }
  }

  /** Addresses on which the node listens, with the ports that were bound. */
  get addresses (): DaemonAddresses {
    return this.#components.addresses
  }

  /**
   * Stops the node in order: the readiness check fails, new requests are refused after the drain grace, requests in progress
   * finish and their answers are read, then everything is closed.
   *
   * @returns promise that resolves when everything is closed; further calls return the same promise
   */
  stop (): Promise<void> {
    this.#stopping ??= this.#stop()
    return this.#stopping
  }

  async #stop (): Promise<void> {
    const { base, fleet, idempotency, requests, callers, availability } = this.#components
    const { timeLine, options, store } = base
    timeLine.record(EventKind.NodeStopping, {}, 'planned stop', { inProgress: requests.size })
    options.log.info('node_stopping', { in_progress: requests.size })
    availability.isReady = false
    fleet.membership.leave()
    await delay(options.drainGrace)
    availability.acceptsRequests = false
    callers.stopListening()
    await requests.whenIdle()
    await callers.whenAnswered(ANSWER_READ_TIMEOUT_MS)
    await idempotency?.waitUntilConcluded(KEY_SETTLE_TIMEOUT_MS)
    timeLine.record(EventKind.NodeStopped, {}, '', {})
    options.log.info('node_stopped', {})
    await store.dispose()
  }
}
