/** Limits processes to a share of a processor, as a quota does: each runs until its time of a period is used up, and is paused until it has gained it again. */

/** Time over which a process gets its share. */
const PERIOD_MS = 100
const CHECK_PERIOD_MS = 5

/** A process that can be paused. */
export interface Pausable {
  /** Id of the running process; null if none runs. */
  readonly pid: number | null
}

interface Quota {
  readonly owner: Pausable
  /** Time for which it may still run. */
  left: number
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
   * @param share - part of the time in which a process runs
   */
  constructor (processes: readonly Pausable[], private readonly share: number) {
    this.#quotas = processes.map((owner, index) => ({ owner, left: share * PERIOD_MS * index / processes.length, pausedPid: null }))
    this.#timer = setInterval(() => this.#check(), CHECK_PERIOD_MS)
  }

  /** Lets all processes run freely. */
  dispose (): void {
    clearInterval(this.#timer)
    for (const quota of this.#quotas) resume(quota)
  }

  /** A late check makes one period longer and not a share smaller: the time that passes is accounted for. */
  #check (): void {
    const now = performance.now()
    const elapsed = now - this.#checkedAt
    this.#checkedAt = now
    for (const quota of this.#quotas) {
      const isPaused = quota.pausedPid !== null && quota.pausedPid === quota.owner.pid
      quota.left += elapsed * (isPaused ? this.share : this.share - 1)
      if (isPaused && quota.left >= this.share * PERIOD_MS) resume(quota)
      else if (!isPaused && quota.left <= 0) pause(quota)
    }
  }
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
