/** What a node measures: histograms for latencies, counters for everything else. */
import type { Millis, OutcomeKind, Tokens } from '@bluebellhill/domain'
import { LENGTH_CLASSES } from '@bluebellhill/domain'
import { HistogramName, HistogramUnit, codeOf } from '@bluebellhill/protocol'
import type { CounterValue, DropCause, EncodedHistogram } from '@bluebellhill/protocol'
import { Counter, Gauge, Registry, collectDefaultMetrics } from 'prom-client'

import { LengthHistograms } from './histograms.js'
import { ShortBaseline } from './ShortBaseline.js'
import type { ShortRequest } from './ShortBaseline.js'

/** A slowdown of 1 is recorded as this many thousandths. */
const THOUSANDTHS = 1_000

const QUANTILES = [50, 90, 95, 99] as const
const PERCENT = 100

/** Reads a figure when the metrics are read. */
export type GaugeReader = () => number

/** The node's metrics. Recording costs a few array accesses; nothing is recorded for each token but one addition. */
export class Metrics {
  /** The registry behind `/metrics`. */
  readonly registry = new Registry()

  private readonly firstTokens = new LengthHistograms(HistogramName.FirstToken, HistogramUnit.Millis)
  private readonly slowdowns = new LengthHistograms(HistogramName.ShortSlowdown, HistogramUnit.Thousandths)
  private readonly queueDelays = new LengthHistograms(HistogramName.QueueDelay, HistogramUnit.Millis)
  private readonly baseline = new ShortBaseline()
  private generatedTokens = 0
  private relayedBytes = 0

  private readonly outcomes = this.counter('requests_total', 'Requests ended, by result code', ['code', 'number', 'ran'])
  private readonly attempts = this.counter('attempts_total', 'Attempts sent to backend servers, by mode', ['mode'])
  private readonly drops = this.counter('answers_dropped_total', 'Answers that were not passed on, by cause', ['cause'])
  private readonly storeCalls = this.counter('store_calls_total', 'Calls to the key-value service, by operation and result', ['operation', 'result'])
  private readonly grants = this.counter('orders_total', 'Orders answered by this dispatcher, by result', ['result'])
  private readonly orphans = this.counter('orphans_freed_total', 'Attempts without an owner that were freed on runners', [])
  private readonly lapses = this.counter('grants_lapsed_total', 'Grants that were not used in time', [])

  constructor () {
    this.readerCounter('generated_tokens_total', 'Tokens passed on to callers', () => this.generatedTokens)
    this.readerCounter('relayed_bytes_total', 'Bytes passed on to callers', () => this.relayedBytes)
    this.addQuantiles(this.firstTokens, 'first_token_seconds', 'Time to first token, by prompt length', THOUSANDTHS)
    this.addQuantiles(this.slowdowns, 'short_slowdown_ratio', 'Duration of short requests over the duration expected without others', THOUSANDTHS)
    this.addQuantiles(this.queueDelays, 'queue_delay_seconds', 'Time an order waited for its grant, by prompt length', THOUSANDTHS)
  }

  /**
   * Records the time to the first token of a request.
   *
   * @param promptTokens - the prompt's length
   * @param elapsed - since the request was admitted
   */
  firstToken (promptTokens: Tokens, elapsed: Millis): void {
    this.firstTokens.record(promptTokens, elapsed)
  }

  /**
   * Records the slowdown of a short request; longer requests are passed over.
   *
   * @param promptTokens - the prompt's length
   * @param actual - what the request took
   * @param expected - what it would take alone, by the learned rates
   */
  slowdown (promptTokens: Tokens, actual: Millis, expected: Millis): void {
    if (promptTokens > LENGTH_CLASSES[0] || expected <= 0) return
    this.slowdowns.record(promptTokens, actual / expected * THOUSANDTHS)
  }

  /**
   * Records the slowdown of a short request against what the fastest of its kind took.
   *
   * @param request - answered in full
   */
  shortAnswered (request: ShortRequest): void {
    this.slowdown(request.promptTokens, request.duration, this.baseline.expect(request))
  }

  /**
   * Records how long an order waited in this dispatcher's queue.
   *
   * @param promptTokens - the prompt's length
   * @param waited - from its arrival to its grant
   */
  queueDelay (promptTokens: Tokens, waited: Millis): void {
    this.queueDelays.record(promptTokens, waited)
  }

  /** Counts tokens and bytes passed on to a caller. */
  relayed (tokens: Tokens, bytes: number): void {
    this.generatedTokens += tokens
    this.relayedBytes += bytes
  }

  /** Counts a request that ended. */
  outcome (kind: OutcomeKind, ran: string): void {
    this.outcomes.inc({ code: kind, number: String(codeOf(kind).number), ran })
  }

  /** Counts an attempt sent to a backend server. */
  attempt (mode: string): void {
    this.attempts.inc({ mode })
  }

  /** Counts an answer that was not passed on. */
  dropped (cause: DropCause): void {
    this.drops.inc({ cause })
  }

  /** Counts a call to the key-value service; a waiting watch is one. */
  storeCall (operation: string, result: string): void {
    this.storeCalls.inc({ operation, result })
  }

  /** Counts an order that this dispatcher granted or refused; `result` is `granted` or the refusal's kind. */
  order (result: string): void {
    this.grants.inc({ result })
  }

  /** Counts an attempt freed on a runner because nobody owned it. */
  orphanFreed (): void {
    this.orphans.inc()
  }

  /** Counts a grant that was not used in time. */
  grantLapsed (): void {
    this.lapses.inc()
  }

  /**
   * Adds a figure that is read whenever the metrics are read.
   *
   * @param name - without the product's prefix
   * @param help - one sentence
   * @param read - returns the figure
   */
  gauge (name: string, help: string, read: GaugeReader): void {
    const gauge: Gauge = new Gauge({
      name: `bluebellhill_${name}`,
      help,
      registers: [this.registry],
      collect () { gauge.set(read()) }
    })
  }

  /** Adds processor time, memory and event loop lag of the process. */
  observeProcess (): void {
    collectDefaultMetrics({ register: this.registry })
  }

  /**
   * Writes all metrics in the Prometheus text format.
   *
   * @returns the text
   */
  text (): Promise<string> {
    return this.registry.metrics()
  }

  /** Content type of `text`. */
  get contentType (): string {
    return this.registry.contentType
  }

  /**
   * Encodes the histograms, so that the command line can add those of several nodes.
   *
   * @returns the histograms that hold values
   */
  encoded (): EncodedHistogram[] {
    return [this.firstTokens, this.slowdowns, this.queueDelays].flatMap((histograms) => histograms.encoded())
  }

  /**
   * Reads every counter.
   *
   * @returns name, labels and value of each
   */
  async counters (): Promise<CounterValue[]> {
    const metrics = await this.registry.getMetricsAsJSON()
    return metrics
      .filter((metric) => String(metric.type) === 'counter')
      .flatMap((metric) => metric.values.map((value) => ({
        name: metric.name,
        labels: Object.fromEntries(Object.entries(value.labels).map(([label, text]) => [label, String(text)])),
        value: value.value
      })))
  }

  private counter<Label extends string>(name: string, help: string, labelNames: readonly Label[]): Counter<Label> {
    return new Counter({ name: `bluebellhill_${name}`, help, labelNames, registers: [this.registry] })
  }

  private readerCounter (name: string, help: string, read: GaugeReader): void {
    const counter: Counter = new Counter({
      name: `bluebellhill_${name}`,
      help,
      registers: [this.registry],
      collect () {
        counter.reset()
        counter.inc(read())
      }
    })
  }

  private addQuantiles (histograms: LengthHistograms, name: string, help: string, perUnit: number): void {
    const gauge: Gauge<'length' | 'quantile'> = new Gauge({
      name: `bluebellhill_${name}`,
      help,
      labelNames: ['length', 'quantile'],
      registers: [this.registry],
      collect () {
        for (const [length, histogram] of histograms.entries()) {
          if (histogram.totalCount === 0) continue
          for (const quantile of QUANTILES) {
            gauge.set({ length, quantile: String(quantile / PERCENT) }, histogram.getValueAtPercentile(quantile) / perUnit)
          }
        }
      }
    })
    const count: Counter<'length'> = new Counter({
      name: `bluebellhill_${name}_count`,
      help: `${help}: number of values`,
      labelNames: ['length'],
      registers: [this.registry],
      collect () {
        count.reset()
        for (const [length, histogram] of histograms.entries()) count.inc({ length }, histogram.totalCount)
      }
    })
  }
}
