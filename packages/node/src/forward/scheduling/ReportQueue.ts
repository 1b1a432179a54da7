/** Collects reports about attempts for a short time, and sends those for one scheduler together. */
import type { Millis } from '@bluebellhill/domain'

import { encodeAttemptReports } from '../peers/datagramCodec.js'
import type { DatagramContent } from '../peers/datagramCodec.js'
import type { AttemptReport } from './types.js'

/** How long reports are collected. */
const REPORT_DELAY: Millis = 5

/** Reports that wait to be sent, by address of the scheduler. */
export class ReportQueue {
  readonly #unsent = new Map<string, AttemptReport[]>()
  #timer: NodeJS.Timeout | null = null

  /** @param send - sends a message to the node at an address */
  constructor (private readonly send: (address: string, content: DatagramContent) => void) {}

  /**
   * @param address - `ip:port` of the scheduler
   * @param report - report for it
   */
  add (address: string, report: AttemptReport): void {
    const queued = this.#unsent.get(address)
    if (queued === undefined) this.#unsent.set(address, [report])
    else queued.push(report)
    this.#timer ??= setTimeout(() => this.#sendAll(), REPORT_DELAY)
  }

  dispose (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  #sendAll (): void {
    this.#timer = null
    for (const [address, reports] of this.#unsent) this.send(address, { $case: 'attemptReports', value: encodeAttemptReports(reports) })
    this.#unsent.clear()
  }
}
