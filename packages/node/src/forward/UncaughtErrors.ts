/** Decides what ends because of an error that is handled nowhere else: only the callback that threw it, or the node. */
import type { Millis } from '@bluebellhill/domain'

import { errorText } from '../log/index.js'
import type { Log } from '../log/index.js'

/** Errors within a period from which on the state of the node counts as broken. */
const MAX_ERRORS = 30
const PERIOD: Millis = 10_000

export interface UncaughtErrorsOptions {
  readonly log: Log
  readonly clock: () => Millis
  /** Ends the process. */
  readonly onBroken: () => void
}

/**
 * Errors out of timers and callbacks. A value that one of them cannot handle reaches all nodes, and would end all of them at once, and again after
 * each restart; so each error ends its task only. A node that throws again and again ends, since what it does is no longer known.
 */
export class UncaughtErrors {
  readonly #options: UncaughtErrorsOptions
  /** Times of the last errors, oldest first. */
  #times: Millis[] = []
  #count = 0

  /** @param options - log and clock, and what ends the process */
  constructor (options: UncaughtErrorsOptions) {
    this.#options = options
  }

  /** Number of errors since the start of the process. */
  get count (): number {
    return this.#count
  }

  /** @param error - what nothing has handled */
  record (error: unknown): void {
    const { log, clock, onBroken } = this.#options
    const now = clock()
    this.#count += 1
    this.#times = [...this.#times.filter((at) => now - at < PERIOD), now]
    const isBroken = this.#times.length >= MAX_ERRORS
    log.error(isBroken ? 'node.failed' : 'node.task_failed', { errors: this.#count, reason: errorText(error) })
    if (isBroken) onBroken()
  }
}
