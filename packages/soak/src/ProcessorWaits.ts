/** Measures how long another process waits for a processor although it could run, as Linux counts it. */
import { readFileSync } from 'node:fs'

import { DelayRecord } from './runningTime.js'

const PERIOD_MS = 50
const NANOSECONDS_PER_MS = 1_000_000

/** @returns a field of what the system counts for the main thread of a process, in milliseconds; null if it is not known */
const readSchedulerField = (pid: number, field: number): number | null => {
  try {
    const value = readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ')[field]
    return value === undefined ? null : Number(value) / NANOSECONDS_PER_MS
  } catch {
    // The process has ended, or the system does not count it: no delay is recorded then.
    return null
  }
}

/**
 * @param pid - id of a process
 * @returns time in milliseconds for which its main thread has run so far; null if it is not known
 */
export const processorRunTimeOf = (pid: number): number | null => readSchedulerField(pid, 0)

/**
 * @param pid - id of a process
 * @returns time in milliseconds for which its main thread has waited for a processor so far; null if it is not known
 */
export const processorWaitOf = (pid: number): number | null => readSchedulerField(pid, 1)

/** Waits of one process; of none until `follow` is called. Nothing is recorded where the system does not count them. */
export class ProcessorWaits {
  readonly record = new DelayRecord()
  #timer: NodeJS.Timeout | null = null
  #waited: number | null = null

  /**
   * @param waitOf - total wait of a process, in milliseconds; null if it is not known
   * @param clock - current time
   */
  constructor (private readonly waitOf = processorWaitOf, private readonly clock: () => number = () => performance.now()) {}

  /** Measures a process from now on, in place of the one before. */
  follow (pid: number): void {
    this.dispose()
    this.#waited = this.waitOf(pid)
    this.#timer = setInterval(() => this.observe(pid), PERIOD_MS).unref()
  }

  /** Records the wait since the last call. The system counts a wait when it ends, so that it may have begun before that call. */
  observe (pid: number): void {
    const before = this.#waited
    this.#waited = this.waitOf(pid)
    if (before === null || this.#waited === null) return
    const now = this.clock()
    this.record.add(now - (this.#waited - before), now)
  }

  dispose (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#timer = null
  }
}
