/** Measures when the process of the soak could not run: all callers, servers, proxies and the store stand still then. */

/** Period of the measurement. */
const PERIOD_MS = 10

/** Shortest delay that counts. */
const SHORTEST_DELAY_MS = 30

interface Delay {
  readonly from: number
  readonly until: number
}

/** Delays of the event loop of this process. Times are milliseconds on the monotonic clock. */
export class EventLoopDelays {
  readonly #delays: Delay[] = []
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
    const delay = { from: this.#observedAt + PERIOD_MS, until: now }
    if (delay.until - delay.from >= SHORTEST_DELAY_MS) this.#delays.push(delay)
    this.#observedAt = now
  }

  /** @returns the time between two times in which the event loop ran */
  runningTime (from: number, until: number): number {
    this.observe()
    const overlaps = this.#delays.map((delay) => Math.max(0, Math.min(delay.until, until) - Math.max(delay.from, from)))
    return until - from - overlaps.reduce((sum, overlap) => sum + overlap, 0)
  }

  dispose (): void {
    clearInterval(this.#timer)
  }
}
