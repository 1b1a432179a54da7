/** Logs when the process comes near the memory at which it would be ended. */
import { getHeapStatistics } from 'node:v8'

import type { Millis } from '@bluebellhill/domain'

import type { Log } from '../log/index.js'

/** Interval at which the memory is measured. */
const CHECK_PERIOD: Millis = 1_000

/** Share of a limit from which on the memory counts as high. */
const HIGH_SHARE = 0.85

/** Share of a limit below which it no longer does. */
const USUAL_SHARE = 0.75

const BYTES_PER_MB = 1_000_000

/** Memory of the process, in bytes. */
export interface ProcessMemory {
  /** What the operating system counts. */
  readonly resident: number
  readonly heap: number
  /** Heap beyond which the runtime ends the process. */
  readonly heapLimit: number
}

/** @returns the present memory of this process */
export const measureMemory = (): ProcessMemory => {
  const { used_heap_size: heap, heap_size_limit: heapLimit } = getHeapStatistics()
  return { resident: process.memoryUsage.rss(), heap, heapLimit }
}

export interface MemoryWatchOptions {
  /** Memory of the VM in bytes; null if the settings do not state it. */
  readonly limit: number | null
  readonly measure: () => ProcessMemory
  /** Returns log fields: what the node holds. */
  readonly describe: () => Record<string, unknown>
  readonly log: Log
}

/** Compares the memory of the process with its limits. */
export class MemoryWatch {
  readonly #options: MemoryWatchOptions
  #isHigh = false
  #timer: NodeJS.Timeout | null = null

  /** @param options - limit, measurement and log */
  constructor (options: MemoryWatchOptions) {
    this.#options = options
  }

  /** Starts to measure periodically. */
  start (): void {
    this.#timer = setInterval(() => this.check(), CHECK_PERIOD).unref()
  }

  dispose (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
  }

  /** Measures, and logs if the memory has become high or usual again. */
  check (): void {
    const memory = this.#options.measure()
    const isHigh = this.#usedShare(memory) >= (this.#isHigh ? USUAL_SHARE : HIGH_SHARE)
    if (isHigh === this.#isHigh) return
    this.#isHigh = isHigh
    const { log, describe, limit } = this.#options
    const fields = { resident_mb: toMegabytes(memory.resident), limit_mb: limit === null ? undefined : toMegabytes(limit), heap_mb: toMegabytes(memory.heap), heap_limit_mb: toMegabytes(memory.heapLimit), ...describe() }
    if (isHigh) log.warn('memory.high', fields)
    else log.info('memory.usual', fields)
  }

  #usedShare ({ resident, heap, heapLimit }: ProcessMemory): number {
    const { limit } = this.#options
    return Math.max(heap / heapLimit, limit === null ? 0 : resident / limit)
  }
}

const toMegabytes = (bytes: number): number => Math.round(bytes / BYTES_PER_MB)
