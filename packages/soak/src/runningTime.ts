/** Accounts for periods in which a process could not run. Times are milliseconds on the monotonic clock. */

/** Shortest delay that counts. */
const SHORTEST_DELAY_MS = 30

/** Period in which a process could not run. */
export interface Delay {
  readonly from: number
  readonly until: number
}

/** Delays of one process. */
export class DelayRecord {
  readonly #delays: Delay[] = []

  get delays (): readonly Delay[] {
    return this.#delays
  }

  /** Records a delay unless it is short. */
  add (from: number, until: number): void {
    if (until - from >= SHORTEST_DELAY_MS) this.#delays.push({ from, until })
  }
}

/**
 * @param from - start of a period
 * @param until - its end
 * @param records - delays of some processes
 * @returns the part of the period in which none of them was delayed
 */
export const runningTime = (from: number, until: number, records: readonly DelayRecord[]): number => {
  const delays = records.flatMap((record) => record.delays).sort((a, b) => a.from - b.from)
  let countedUntil = from
  let delayed = 0
  for (const delay of delays) {
    const start = Math.max(delay.from, countedUntil)
    const end = Math.min(delay.until, until)
    if (end <= start) continue
    delayed += end - start
    countedUntil = end
  }
  return until - from - delayed
}
