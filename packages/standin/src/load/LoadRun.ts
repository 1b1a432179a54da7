/** Sends the planned arrivals at their times, whatever became of the ones before. */
import { Disposables } from '../Disposables.js'
import { answerSeed, answerText, preparePrompt } from '../text.js'
import { Balancer } from './Balancer.js'
import { Caller, NotConnected } from './Caller.js'
import { PromptMaker } from './PromptMaker.js'
import { makeSchedule } from './schedule.js'
import { ArrivalKind } from './types.js'
import type { Arrival, CallOutcome, LoadOptions, RequestRecord } from './types.js'

const REDIRECTS = 4
const RETRY_DELAY_MS = 100

/** What a run has seen. */
export interface LoadRecords {
  readonly records: readonly RequestRecord[]
  /** Arrivals dropped by the tool itself. */
  readonly dropped: number
  readonly durationMs: number
}

type Send = (target: string) => Promise<CallOutcome>

const sleep = async (ms: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, ms))

const isRefusal = ({ type }: CallOutcome): boolean => type === 'refused'

/** One run of the load tool. */
export class LoadRun {
  private readonly owned = new Disposables()
  private readonly balancer: Balancer
  private readonly caller: Caller
  private readonly prompts: PromptMaker
  private readonly records: RequestRecord[] = []
  private inFlight = 0
  private dropped = 0

  /**
   * @param options - the load
   * @param onRecord - called with each finished request
   */
  constructor (private readonly options: LoadOptions, private readonly onRecord: (record: RequestRecord) => void = () => {}) {
    this.balancer = this.owned.add(new Balancer(options.targets))
    this.caller = this.owned.add(new Caller(options.deadlineMs, options.graceMs))
    this.prompts = new PromptMaker(options.seed)
  }

  /**
   * Runs to the last answer.
   *
   * @returns every request's outcome
   */
  async run (): Promise<LoadRecords> {
    const startedAt = performance.now()
    const pending: Promise<void>[] = []
    for (const arrival of makeSchedule(this.options)) {
      const wait = startedAt + arrival.atMs - performance.now()
      if (wait > 0) await sleep(wait)
      if (this.inFlight < this.options.maxInFlight) pending.push(this.handle(arrival))
      else this.dropped++
    }
    await Promise.all(pending)
    await this.owned.dispose()
    return { records: this.records, dropped: this.dropped, durationMs: performance.now() - startedAt }
  }

  private async handle (arrival: Arrival): Promise<void> {
    this.inFlight++
    const record = arrival.kind === ArrivalKind.Order ? await this.order(arrival) : await this.complete(arrival)
    this.inFlight--
    this.records.push(record)
    this.onRecord(record)
  }

  private async complete (arrival: Arrival): Promise<RequestRecord> {
    const { model, organisations } = this.options
    const prompt = this.prompts.make(arrival)
    const seed = answerSeed(preparePrompt(prompt).bytes)
    const call = {
      apiKey: organisations[arrival.organisation]!.apiKey,
      model,
      prompt,
      maxTokens: arrival.maxTokens,
      expected: answerText(seed, 0, arrival.maxTokens)
    }
    const { outcome, sends } = await this.withRetries(async (target) => await this.caller.complete(target, call))
    return { arrival, outcome, digest: seed.digest, key: null, sends }
  }

  private async order (arrival: Arrival): Promise<RequestRecord> {
    const { orders, organisations, seed } = this.options
    const key = `order-${seed}-${arrival.id}`
    const call = { apiKey: organisations[arrival.organisation]!.apiKey, service: orders!.service, key }
    const send: Send = async (target) => await this.caller.order(target, call)
    const copies = await Promise.all(Array.from({ length: arrival.twice ? 2 : 1 }, async () => await this.withRetries(send)))
    const sends = copies.reduce((sum, copy) => sum + copy.sends, 0)
    return { arrival, outcome: this.bestOf(copies.map(({ outcome }) => outcome)), digest: null, key, sends }
  }

  /** An order counts as refused only where every copy was. */
  private bestOf (outcomes: readonly CallOutcome[]): CallOutcome {
    return outcomes.find(({ type }) => type === 'answered') ?? outcomes.find((outcome) => !isRefusal(outcome)) ?? outcomes[0]!
  }

  private async withRetries (send: Send): Promise<{ outcome: CallOutcome, sends: number }> {
    const startedAt = performance.now()
    let outcome = await this.balanced(send, new Set())
    let sends = 1
    while (outcome.type === 'broken' && sends <= this.options.retries && performance.now() - startedAt < this.options.deadlineMs) {
      await sleep(RETRY_DELAY_MS)
      outcome = await this.balanced(send, new Set())
      sends++
    }
    return { outcome, sends }
  }

  private async balanced (send: Send, avoid: Set<string>): Promise<CallOutcome> {
    for (let tries = 0; tries <= REDIRECTS; tries++) {
      const target = this.balancer.pick(avoid)
      try {
        return await send(target)
      } catch (error) {
        if (!(error instanceof NotConnected)) throw error
        avoid.add(target)
      }
    }
    return { type: 'refused', code: 'no_node_reachable', retryAfterMs: null, totalMs: 0 }
  }
}
