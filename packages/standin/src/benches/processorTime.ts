/** Processor time of other processes, from the system's process table. */
import { readFileSync } from 'node:fs'

const TICKS_PER_SECOND = 100
const MS_PER_SECOND = 1_000
const USER_FIELD = 11
const SYSTEM_FIELD = 12

/**
 * Reads the processor time that a process has used.
 *
 * @param pid - the process
 * @returns milliseconds
 */
export const processorMs = (pid: number): number => {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) * MS_PER_SECOND / TICKS_PER_SECOND
}

/** Share of a core that a process uses between two moments. */
export class ProcessorShare {
  private readonly startedAt = performance.now()
  private readonly usedBefore: number

  /**
   * @param pid - the process
   */
  constructor (private readonly pid: number) {
    this.usedBefore = processorMs(pid)
  }

  /** Cores used since the start; 1 is one whole core. */
  get cores (): number {
    const used = processorMs(this.pid) - this.usedBefore
    return Math.round(used * 1_000 / (performance.now() - this.startedAt)) / 1_000
  }
}
