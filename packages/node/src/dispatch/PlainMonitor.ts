/** Checks the health of one plain service and reports its capacity. */
import type { RunnerReport } from '@bluebellhill/domain'
import type { PlainService } from '@bluebellhill/services'
import { setTimeout as delay } from 'node:timers/promises'

import { Monitor } from './Monitor.js'
import type { MonitorListener } from './Monitor.js'

const HEALTH_INTERVAL_MS = 500
const UNREACHABLE_AFTER = 2
/** Each call counts as one token of this many. */
const CALL_CAPACITY = 1_000_000

/** The name that a plain service goes by in the dispatch tables. */
export const serviceModel = (service: string): string => `service:${service}`

/** Polls one plain service. */
export class PlainMonitor extends Monitor {
  readonly #service: PlainService
  readonly #report: RunnerReport
  readonly #listener: MonitorListener
  readonly #controller = new AbortController()
  #failures = 0

  /**
   * @param service - the backend server
   * @param name - the service's name
   * @param slots - calls that it takes at once
   * @param listener - told what is seen
   */
  constructor (service: PlainService, name: string, slots: number, listener: MonitorListener) {
    super()
    this.#service = service
    this.#listener = listener
    this.#report = plainReport(name, slots)
  }

  start (): void {
    void this.#poll()
  }

  dispose (): void {
    this.#controller.abort()
  }

  async #poll (): Promise<void> {
    while (!this.#controller.signal.aborted) {
      const healthy = await this.#service.isHealthy()
      if (this.#controller.signal.aborted) return
      this.#take(healthy)
      await delay(HEALTH_INTERVAL_MS, undefined, { signal: this.#controller.signal }).catch(() => {})
    }
  }

  #take (healthy: boolean): void {
    this.#failures = healthy ? 0 : this.#failures + 1
    if (healthy) this.#listener.reported(this.#report)
    else if (this.#failures === UNREACHABLE_AFTER) this.#listener.unreachable('health check failed')
  }
}

const plainReport = (name: string, slots: number): RunnerReport => ({
  model: serviceModel(name),
  version: null,
  adapters: [],
  loading: false,
  totalTokens: CALL_CAPACITY,
  slots,
  blockTokens: 1,
  chunkTokens: CALL_CAPACITY,
  loadAge: 0,
  running: 0,
  waiting: 0,
  freeTokens: CALL_CAPACITY,
  pendingPrefillTokens: 0,
  prefillRate: 0,
  decodeRate: 0,
  held: []
})
