/** Limits processes to a share of a processor, as a quota does: each runs until it has used up its processor time, and is paused until it has gained more. */
import { processorRunTimeOf } from './ProcessorWaits.js'

/** Time over which a process gets its share. */
const PERIOD_MS = 100
const CHECK_PERIOD_MS = 20

/** Part of the processor time of a period from which a paused process goes on. */
const RESUMED_FROM = 0.9

/** A process that can be paused. */
export interface Pausable {
  /** Id of the running process; null if none runs. */
  readonly pid: number | null
}

interface Quota {
  readonly owner: Pausable
  /** Processor time that it may still use, in milliseconds. */
  left: number
  /** Process whose processor time is known, and that time. */
  measuredPid: number | null
  used: number
  /** Id of the process that is paused; null if none is. */
  pausedPid: number | null
}

/** Pauses processes until it is disposed of. */
export class ProcessorShares {
  readonly #quotas: readonly Quota[]
  readonly #timer: NodeJS.Timeout
  #checkedAt = performance.now()

  /**
   * @param processes - the processes
   * @param share - processor time of a process a millisecond
   */
  constructor (processes: readonly Pausable[], private readonly share: number) {
    this.#quotas = processes.map((owner, index) => ({ owner, left: share * PERIOD_MS * index / processes.length, measuredPid: null, used: 0, pausedPid: null }))
    this.#timer = setInterval(() => this.#check(), CHECK_PERIOD_MS)
  }

  /** Lets all processes run freely. */
  dispose (): void {
    clearInterval(this.#timer)
    for (const quota of this.#quotas) resume(quota)
  }

  /** A late check makes one period longer and not a share smaller. Time in which a process waits for a processor is not charged. */
  #check (): void {
    const now = performance.now()
    const elapsed = now - this.#checkedAt
    this.#checkedAt = now
    for (const quota of this.#quotas) {
      const isPaused = quota.pausedPid !== null && quota.pausedPid === quota.owner.pid
      const most = this.share * PERIOD_MS
      quota.left = Math.min(most, quota.left + elapsed * this.share - usedSince(quota))
      if (isPaused && quota.left >= most * RESUMED_FROM) resume(quota)
      else if (!isPaused && quota.left <= 0) pause(quota)
    }
  }
}

/** @returns processor time that the process has used since the last call, in milliseconds */
const usedSince = (quota: Quota): number => {
  const { pid } = quota.owner
  const used = pid === null ? 0 : processorRunTimeOf(pid) ?? 0
  const before = pid === quota.measuredPid ? quota.used : 0
  quota.measuredPid = pid
  quota.used = used
  return Math.max(0, used - before)
}

const pause = (quota: Quota): void => {
  const { pid } = quota.owner
  if (pid !== null && signal(pid, 'SIGSTOP')) quota.pausedPid = pid
}

const resume = (quota: Quota): void => {
  const { pid } = quota.owner
  if (pid !== null && pid === quota.pausedPid) signal(pid, 'SIGCONT')
  quota.pausedPid = null
}

/** @returns whether the process runs; its end may not be reported yet */
const signal = (pid: number, name: NodeJS.Signals): boolean => {
  try {
    return process.kill(pid, name)
  } catch {
    return false
  }
}
