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

/** Records executions by attempt, by answer and by `X-Request-Key`; the oldest are dropped when full. */
export class EngineLedger {
  private readonly runs = new Map<string, Run>()
  private readonly calls: Record<string, number> = {}
  private readonly keys: Record<string, number> = {}
  private readonly repeated: string[] = []

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

  /** Everything recorded, as it is sent. */
  report (): { runs: Run[], executionsByKey: Record<string, number>, repeatedIds: string[], calls: Record<string, number> } {
    return { runs: [...this.runs.values()], executionsByKey: { ...this.keys }, repeatedIds: [...this.repeated], calls: { ...this.calls } }
  }
}
