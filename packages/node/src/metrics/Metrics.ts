/** The metrics of a node: histograms for latencies, counters and gauges for everything else. */
import type { Millis, OutcomeKind, Tokens } from '@bluebellhill/domain'
import { LENGTH_CLASSES } from '@bluebellhill/domain'
import { HistogramName, HistogramUnit, codeOf } from '@bluebellhill/protocol'
import type { CounterValue, DropCause, EncodedHistogram } from '@bluebellhill/protocol'
import { Counter, Gauge, Registry, collectDefaultMetrics } from 'prom-client'

import { LengthClassHistograms } from './histograms.js'
import { ShortRequestBaseline } from './ShortRequestBaseline.js'
import type { ShortRequest } from './ShortRequestBaseline.js'

/** Factor between a unit and its thousandths. Histograms store integers, so a slowdown of 1 is recorded as 1,000. */
const THOUSANDTHS_PER_UNIT = 1_000

const QUANTILES = [50, 90, 95, 99] as const
const PERCENT_PER_UNIT = 100

/** Returns the current value of a metric; called whenever the metrics are read. */
export type MetricReader = () => number

/** Records the metrics of a node. A recording costs a few array accesses, and a token only one addition. */
export class Metrics {
  /** The Prometheus registry that `/metrics` exposes. */
  readonly registry = new Registry()

  private readonly firstTokens = new LengthClassHistograms(HistogramName.FirstToken, HistogramUnit.Millis)
  private readonly slowdowns = new LengthClassHistograms(HistogramName.ShortSlowdown, HistogramUnit.Thousandths)
  private readonly queueDelays = new LengthClassHistograms(HistogramName.QueueDelay, HistogramUnit.Millis)
  private readonly shortRequestBaseline = new ShortRequestBaseline()
  private generatedTokens = 0
  private relayedBytes = 0

  private readonly outcomes = this.addCounter('requests_total', 'Requests ended, by result code', ['code', 'number', 'ran'])
  private readonly attempts = this.addCounter('attempts_total', 'Attempts sent to backend servers, by mode', ['mode'])
  private readonly droppedAnswers = this.addCounter('answers_dropped_total', 'Answers that were not passed on, by cause', ['cause'])
  private readonly storeCalls = this.addCounter('store_calls_total', 'Calls to the key-value service, by operation and result', ['operation', 'result'])
  private readonly answeredOrders = this.addCounter('orders_total', 'Orders answered by this dispatcher, by result', ['result'])
  private readonly freedOrphans = this.addCounter('orphans_freed_total', 'Attempts without an owner that were freed on runners', [])
  private readonly expiredGrants = this.addCounter('grants_lapsed_total', 'Grants that were not used in time', [])

  constructor () {
    this.addReaderCounter('generated_tokens_total', 'Tokens passed on to callers', () => this.generatedTokens)
    this.addReaderCounter('relayed_bytes_total', 'Bytes passed on to callers', () => this.relayedBytes)
    this.addQuantiles(this.firstTokens, 'first_token_seconds', 'Time to first token, by prompt length', THOUSANDTHS_PER_UNIT)
    this.addQuantiles(this.slowdowns, 'short_slowdown_ratio', 'Duration of short requests over the duration expected without others', THOUSANDTHS_PER_UNIT)
    this.addQuantiles(this.queueDelays, 'queue_delay_seconds', 'Time an order waited for its grant, by prompt length', THOUSANDTHS_PER_UNIT)
  }

  /**
   * Records the time to the first token of a request.
   *
   * @param promptTokens - the prompt's length
   * @param elapsed - time since the admission of the request
   */
  recordFirstToken (promptTokens: Tokens, elapsed: Millis): void {
    this.firstTokens.record(promptTokens, elapsed)
  }

  /**
   * Records the slowdown of a short request; longer requests are ignored.
   *
   * @param promptTokens - the prompt's length
   * @param actual - the duration of the request
   * @param expected - the estimated duration of the request on an idle engine
   */
  recordSlowdown (promptTokens: Tokens, actual: Millis, expected: Millis): void {
    if (promptTokens > LENGTH_CLASSES[0] || expected <= 0) return
    this.slowdowns.record(promptTokens, actual / expected * THOUSANDTHS_PER_UNIT)
  }

  /**
   * Records the slowdown of a short request, compared with the fastest requests of the same model and similar prompt length.
   *
   * @param request - a request that was answered completely
   */
  recordShortRequest (request: ShortRequest): void {
    this.recordSlowdown(request.promptTokens, request.duration, this.shortRequestBaseline.recordAndEstimate(request))
  }

  /**
   * Records how long an order waited in this dispatcher's queue.
   *
   * @param promptTokens - the prompt's length
   * @param waited - time from the arrival of the order to its grant
   */
  recordQueueDelay (promptTokens: Tokens, waited: Millis): void {
    this.queueDelays.record(promptTokens, waited)
  }

  /** Counts tokens and bytes that were sent to a caller. */
  countRelayed (tokens: Tokens, bytes: number): void {
    this.generatedTokens += tokens
    this.relayedBytes += bytes
  }

  /** Counts a request that ended. */
  countOutcome (kind: OutcomeKind, ran: string): void {
    this.outcomes.inc({ code: kind, number: String(codeOf(kind).number), ran })
  }

  /** Counts an attempt sent to a backend server. */
  countAttempt (mode: string): void {
    this.attempts.inc({ mode })
  }

  /** Counts an answer that was not sent to its caller. */
  countDroppedAnswer (cause: DropCause): void {
    this.droppedAnswers.inc({ cause })
  }

  /** Counts a call to the key-value service; a watch counts as one call. */
  countStoreCall (operation: string, result: string): void {
    this.storeCalls.inc({ operation, result })
  }

  /** Counts an order that this dispatcher granted or refused; `result` is `granted` or the refusal's kind. */
  countOrder (result: string): void {
    this.answeredOrders.inc({ result })
  }

  /** Counts an attempt that was freed on a runner because it had no owner. */
  countFreedOrphan (): void {
    this.freedOrphans.inc()
  }

  /** Counts a grant that expired before it was used. */
  countExpiredGrant (): void {
    this.expiredGrants.inc()
  }

  /**
   * Adds a gauge whose value is read whenever the metrics are read.
   *
   * @param name - the name without the prefix `bluebellhill_`
   * @param help - the description in one sentence
   * @param read - returns the current value
   */
  addGauge (name: string, help: string, read: MetricReader): void {
    const gauge: Gauge = new Gauge({
      name: `bluebellhill_${name}`,
      help,
      registers: [this.registry],
      collect () { gauge.set(read()) }
    })
  }

  /** Adds the default metrics of the process, such as processor time, memory and event loop lag. */
  observeProcess (): void {
    collectDefaultMetrics({ register: this.registry })
  }

  /**
   * Encodes all metrics in the Prometheus text format.
   *
   * @returns the text
   */
  toPrometheusText (): Promise<string> {
    return this.registry.metrics()
  }

  /** Content type of the Prometheus text. */
  get contentType (): string {
    return this.registry.contentType
  }

  /**
   * Encodes the histograms, so that the command line can merge those of several nodes.
   *
   * @returns the histograms that contain values
   */
  encodeHistograms (): EncodedHistogram[] {
    return [this.firstTokens, this.slowdowns, this.queueDelays].flatMap((histograms) => histograms.encode())
  }

  /**
   * Reads every counter.
   *
   * @returns name, labels and value of each
   */
  async readCounters (): Promise<CounterValue[]> {
    const metrics = await this.registry.getMetricsAsJSON()
    return metrics
      .filter((metric) => String(metric.type) === 'counter')
      .flatMap((metric) => metric.values.map((value) => ({
        name: metric.name,
        labels: Object.fromEntries(Object.entries(value.labels).map(([label, text]) => [label, String(text)])),
        value: value.value
      })))
  }

  private addCounter<Label extends string>(name: string, help: string, labelNames: readonly Label[]): Counter<Label> {
    return new Counter({ name: `bluebellhill_${name}`, help, labelNames, registers: [this.registry] })
  }

  private addReaderCounter (name: string, help: string, read: MetricReader): void {
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

  private addQuantiles (histograms: LengthClassHistograms, name: string, help: string, perUnit: number): void {
    const gauge: Gauge<'length' | 'quantile'> = new Gauge({
      name: `bluebellhill_${name}`,
      help,
      labelNames: ['length', 'quantile'],
      registers: [this.registry],
      collect () {
        for (const [length, histogram] of histograms.entries()) {
          if (histogram.totalCount === 0) continue
          for (const quantile of QUANTILES) {
            gauge.set({ length, quantile: String(quantile / PERCENT_PER_UNIT) }, histogram.getValueAtPercentile(quantile) / perUnit)
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
