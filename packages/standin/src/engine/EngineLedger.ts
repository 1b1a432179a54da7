/** What truly ran on an engine, for proofs. */
import { LEDGER_ENTRIES } from './constants.js'

export const RunState = { Running: 'running', Done: 'done', Cancelled: 'cancelled' } as const
export type RunState = typeof RunState[keyof typeof RunState]

/** One execution. */
export interface Run {
  readonly requestId: string
  readonly requestKey: string | null
  readonly digest: string
  readonly promptTokens: number
  readonly firstToken: number
  generated: number
  state: RunState
}

/** How late the machine let the engine run its steps; figures of a busy machine say little. */
export interface Lateness {
  readonly wakes: number
  readonly meanMs: number
  readonly maxMs: number
}

/** Records executions by attempt, by answer and by `X-Request-Key`; the oldest are dropped when full. */
export class EngineLedger {
  private readonly runs = new Map<string, Run>()
  private readonly calls: Record<string, number> = {}
  private readonly keys: Record<string, number> = {}
  private readonly repeated: string[] = []
  private wakes = 0
  private lateSum = 0
  private lateMost = 0

  /**
   * Counts a call.
   *
   * @param kind - route or event
   */
  count (kind: string): void {
    this.calls[kind] = (this.calls[kind] ?? 0) + 1
  }

  /**
   * Records the start of an execution.
   *
   * @param run - what starts
   */
  start (run: Run): void {
    if (this.runs.has(run.requestId)) this.repeated.push(run.requestId)
    if (run.requestKey !== null) this.keys[run.requestKey] = (this.keys[run.requestKey] ?? 0) + 1
    this.runs.set(run.requestId, run)
    if (this.runs.size > LEDGER_ENTRIES) this.runs.delete(this.runs.keys().next().value!)
  }

  /**
   * Records the end of an execution.
   *
   * @param requestId - the attempt
   * @param state - how it ended
   * @param generated - tokens generated
   */
  end (requestId: string, state: RunState, generated: number): void {
    const run = this.runs.get(requestId)
    if (!run) return
    run.state = state
    run.generated = generated
  }

  /**
   * Records a wake-up for due steps.
   *
   * @param lateMs - time since the step was due
   */
  wake (lateMs: number): void {
    this.wakes++
    this.lateSum += lateMs
    this.lateMost = Math.max(this.lateMost, lateMs)
  }

  /** Lateness since the start. */
  get lateness (): Lateness {
    return { wakes: this.wakes, meanMs: this.wakes === 0 ? 0 : this.lateSum / this.wakes, maxMs: this.lateMost }
  }

  /** Everything recorded, as it is sent. */
  report (): { runs: Run[], executionsByKey: Record<string, number>, repeatedIds: string[], calls: Record<string, number> } {
    return { runs: [...this.runs.values()], executionsByKey: { ...this.keys }, repeatedIds: [...this.repeated], calls: { ...this.calls } }
  }
}
