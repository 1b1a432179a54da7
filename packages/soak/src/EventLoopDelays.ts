/** Measures when the process of the soak could not run: all callers, servers, proxies and the store stand still then. */
import { DelayRecord, runningTime } from './runningTime.js'

/** Period of the measurement. */
const PERIOD_MS = 10

/** Delays of the event loop of this process. Times are milliseconds on the monotonic clock. */
export class EventLoopDelays {
  readonly #record = new DelayRecord()
  readonly #timer: NodeJS.Timeout
  #observedAt: number

  /** @param clock - current time */
  constructor (private readonly clock: () => number = () => performance.now()) {
    this.#observedAt = clock()
    this.#timer = setInterval(() => this.observe(), PERIOD_MS).unref()
  }

  /** Records that the event loop runs now. */
  observe (): void {
    const now = this.clock()
    this.#record.add(this.#observedAt + PERIOD_MS, now)
    this.#observedAt = now
  }

  /**
   * @param from - start of a period
   * @param until - its end
   * @param others - delays of other processes
   * @returns the part of the period in which this process and the others could run
   */
  runningTime (from: number, until: number, others: readonly DelayRecord[] = []): number {
    this.observe()
    return runningTime(from, until, [this.#record, ...others])
  }

  dispose (): void {
    clearInterval(this.#timer)
  }
}
