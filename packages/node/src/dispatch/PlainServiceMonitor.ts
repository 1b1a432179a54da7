/** Polls the health check of one plain service and reports the service as a runner with a fixed capacity. */
import type { RunnerReport } from '@bluebellhill/domain'
import type { PlainService } from '@bluebellhill/services'
import { setTimeout as delay } from 'node:timers/promises'

import { Monitor } from './Monitor.js'
import type { MonitorListener } from './Monitor.js'

const HEALTH_INTERVAL_MS = 500
const UNREACHABLE_AFTER_FAILURES = 2
/** Capacity that is reported for a plain service; each call counts as one token. */
const SERVICE_CAPACITY_TOKENS = 1_000_000

/** Builds the model name under which a plain service is dispatched. */
export const serviceModelName = (service: string): string => `service:${service}`

/** Monitor of one plain service. */
export class PlainServiceMonitor extends Monitor {
  readonly #service: PlainService
  readonly #report: RunnerReport
  readonly #listener: MonitorListener
  readonly #controller = new AbortController()
  #failures = 0

  /**
   * @param service - client of the backend server
   * @param name - the service's name
   * @param slots - number of calls that the backend server accepts at once
   * @param listener - receives the reports
   */
  constructor (service: PlainService, name: string, slots: number, listener: MonitorListener) {
    super()
    this.#service = service
    this.#listener = listener
    this.#report = serviceReport(name, slots)
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
      this.#applyHealthCheck(healthy)
      await delay(HEALTH_INTERVAL_MS, undefined, { signal: this.#controller.signal }).catch(() => {})
    }
  }

  #applyHealthCheck (healthy: boolean): void {
    this.#failures = healthy ? 0 : this.#failures + 1
    if (healthy) this.#listener.reported(this.#report)
    else if (this.#failures === UNREACHABLE_AFTER_FAILURES) this.#listener.unreachable('health check failed')
  }
}

const serviceReport = (name: string, slots: number): RunnerReport => ({
  model: serviceModelName(name),
  version: null,
  adapters: [],
  loading: false,
  totalTokens: SERVICE_CAPACITY_TOKENS,
  slots,
  blockTokens: 1,
  chunkTokens: SERVICE_CAPACITY_TOKENS,
  loadAge: 0,
  running: 0,
  waiting: 0,
  freeTokens: SERVICE_CAPACITY_TOKENS,
  pendingPrefillTokens: 0,
  prefillRate: 0,
  decodeRate: 0,
  held: []
})
