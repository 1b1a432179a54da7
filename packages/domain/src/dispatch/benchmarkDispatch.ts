/** Measures the processor time of a dispatcher and a router without network or engines. */
import { Router } from '../routing/Router.js'
import type { UniformRandom } from '../routing/types.js'
import type { AttemptId, FailureDomain, Millis, NodeId, OrganisationId, RequestId, RunnerId } from '../types.js'
import { Dispatcher } from './Dispatcher.js'
import type { DispatchOrder, RunnerReport } from './types.js'

/** Sizes and inputs of one benchmark run. */
export interface DispatchBenchmarkOptions {
  readonly runners: number
  /** Number of orders that are submitted, granted, reported on and ended. */
  readonly orders: number
  /** Maximum number of orders in progress at the same time; four for each runner by default. */
  readonly inProgress?: number
  /** Number of dispatchers that the router chooses from; 76 by default. */
  readonly dispatchers?: number
  /** Reads a clock, in milliseconds; it is passed in because the decision logic reads no clock. */
  readonly clock: () => Millis
  readonly random: UniformRandom
}

/** Mean processor times of one benchmark run. */
export interface DispatchBenchmarkResult {
  readonly granted: number
  /** Microseconds that the dispatcher spends on each order, from its arrival to its end. */
  readonly dispatcherMicros: number
  /** Microseconds that the router needs to choose a dispatcher. */
  readonly routerMicros: number
  /** Microseconds that the dispatcher needs to apply a report of a runner. */
  readonly reportMicros: number
  /** Microseconds that the dispatcher needs to compute its summaries. */
  readonly summaryMicros: number
}

const DOMAIN = 'failure-domain' as FailureDomain
const MODEL = 'model'
const MICROS_PER_MILLI = 1_000
const STEP: Millis = 25

/**
 * Measures a dispatcher and a router under constant load.
 *
 * @param options - sizes, clock and random number generator
 * @returns mean processor times
 */
export const benchmarkDispatch = (options: DispatchBenchmarkOptions): DispatchBenchmarkResult => {
  const run = new DispatchBenchmark(options)
  return run.measure()
}

class DispatchBenchmark {
  readonly #options: DispatchBenchmarkOptions
  readonly #dispatcher = new Dispatcher({ node: 'node' as NodeId })
  readonly #inProgress: { readonly attempt: AttemptId, readonly runner: RunnerId }[] = []
  #granted = 0
  #now: Millis = 0

  constructor (options: DispatchBenchmarkOptions) {
    this.#options = options
    for (let index = 0; index < options.runners; index++) {
      const runner = `runner-${index}` as RunnerId
      this.#dispatcher.handle({ type: 'runner_assigned', runner, failureDomain: DOMAIN }, 0)
      this.#dispatcher.handle({ type: 'runner_reported', runner, report: this.#report() }, 0)
    }
  }

  measure (): DispatchBenchmarkResult {
    const { orders, runners } = this.#options
    const dispatcherMicros = this.#time(orders, (index) => this.#submitOrder(index))
    const reportMicros = this.#time(2_000, (index) => this.#dispatcher.handle({ type: 'runner_reported', runner: `runner-${index % runners}` as RunnerId, report: this.#report() }, this.#now))
    const summaryMicros = this.#time(200, () => this.#dispatcher.summaries(this.#now))
    return { granted: this.#granted, dispatcherMicros, reportMicros, summaryMicros, routerMicros: this.#timeRouter() }
  }

  #time (count: number, run: (index: number) => void): number {
    const before = this.#options.clock()
    for (let index = 0; index < count; index++) run(index)
    return (this.#options.clock() - before) * MICROS_PER_MILLI / count
  }

  /** Submits an order, and ends the oldest ones beyond the limit of orders in progress. */
  #submitOrder (index: number): void {
    this.#now += STEP
    for (const effect of this.#dispatcher.handle({ type: 'ordered', order: this.#order(index) }, this.#now)) {
      if (effect.type !== 'grant') continue
      this.#granted += 1
      this.#inProgress.push({ attempt: effect.grant.attempt, runner: effect.grant.runner })
      this.#progress(effect.grant.attempt, effect.grant.runner, 'first_token')
    }
    while (this.#inProgress.length > (this.#options.inProgress ?? this.#options.runners * 4)) {
      const { attempt, runner } = this.#inProgress.shift()!
      this.#progress(attempt, runner, 'ended')
    }
  }

  #progress (attempt: AttemptId, runner: RunnerId, kind: 'first_token' | 'ended'): void {
    this.#dispatcher.handle({ type: 'progressed', attempt, runner, kind, generated: 16, order: null }, this.#now)
  }

  #timeRouter (): number {
    const router = new Router({ random: this.#options.random })
    const count = this.#options.dispatchers ?? 76
    const summaries = this.#dispatcher.summaries(this.#now)
    const states = Array.from({ length: count }, (_, index) => ({ node: `node-${index}` as NodeId, failureDomain: DOMAIN, receivedAt: this.#now, summaries }))
    return this.#time(2_000, (index) => {
      const { model, promptTokens, maxTokens, prefix, remaining } = this.#order(index)
      this.#now += STEP
      router.choose({ model, promptTokens, maxTokens, prefix, remaining }, states, DOMAIN, [], this.#now)
    })
  }

  #order (index: number): DispatchOrder {
    const long = index % 50 === 0
    return {
      attempt: `request-${index}.1` as AttemptId,
      request: `request-${index}` as RequestId,
      entry: 'entry' as NodeId,
      organisation: `organisation-${index % 10}` as OrganisationId,
      model: MODEL,
      version: null,
      adapter: null,
      urgency: index % 3,
      promptTokens: long ? 120_000 : 1_000 + Math.floor(this.#options.random() * 20_000),
      maxTokens: 256,
      prefix: [`block-${index % 100}`, `block-${index % 100}-${index % 7}`],
      remaining: 60_000,
      excluded: []
    }
  }

  #report (): RunnerReport {
    const held = this.#inProgress.slice(0, 16).map(({ attempt }) => ({ attempt, heldTokens: 4_096, age: 100 }))
    return { model: MODEL, version: null, adapters: [], loading: false, totalTokens: 1_000_000, slots: 64, blockTokens: 256, chunkTokens: 2_048, loadAge: 250, running: 4, waiting: 0, freeTokens: 900_000, pendingPrefillTokens: 0, prefillRate: 80_000, decodeRate: 100, held }
  }
}
