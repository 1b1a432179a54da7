/** Limits processes to a share of a processor: each is paused for a part of each period, at a phase of its own. */

const PERIOD_MS = 100
const CHECK_PERIOD_MS = 5

/** A process that can be paused. */
export interface Pausable {
  /** Id of the running process; null if none runs. */
  readonly pid: number | null
}

/** Pauses processes in turn until it is disposed of. */
export class ProcessorShares {
  readonly #paused = new Map<Pausable, number>()
  readonly #timer: NodeJS.Timeout

  /**
   * @param processes - the processes
   * @param share - part of each period in which a process runs
   */
  constructor (private readonly processes: readonly Pausable[], private readonly share: number) {
    this.#timer = setInterval(() => this.#check(), CHECK_PERIOD_MS)
  }

  /** Lets all processes run freely. */
  dispose (): void {
    clearInterval(this.#timer)
    for (const process of this.processes) this.#setRunning(process, true)
  }

  #check (): void {
    const now = performance.now() / PERIOD_MS
    for (const [index, process] of this.processes.entries()) {
      const phase = (now + index / this.processes.length) % 1
      this.#setRunning(process, phase < this.share)
    }
  }

  #setRunning (owner: Pausable, isRunning: boolean): void {
    const { pid } = owner
    const paused = this.#paused.get(owner)
    // A process that has been started anew runs.
    const isPaused = pid !== null && paused === pid
    if (pid === null || isPaused === !isRunning) return
    try {
      process.kill(pid, isRunning ? 'SIGCONT' : 'SIGSTOP')
    } catch {
      // It has ended, and its end is not reported yet.
    }
    if (isRunning) this.#paused.delete(owner)
    else this.#paused.set(owner, pid)
  }
}
