/** Defines the Prometheus metrics of a node: counters, latency histograms and gauges. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

import type { CallKind, Millis } from '@bluebellhill/domain'

import type { ForwardOutcome } from './ForwardOutcome.js'

const MS_PER_SECOND = 1_000

/** Upper bounds of the buckets of the duration histograms, in seconds. */
const DURATION_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 15]

/** Upper bounds of the buckets of the staleness histogram, in seconds; fine around the bounds within which a change has to be in force. */
const STALENESS_BUCKETS = [0.01, 0.05, 0.1, 0.2, 0.4, 0.7, 1, 1.3, 1.6, 1.8, 2, 2.5, 3, 4, 5, 6, 8]

/** Hops of a change on its way from the platform's store to this node. */
export const StateHop = {
  /** Time without an answer of the store that shows its present state, while this node watches it. */
  Store: 'store',
  /** Time from the first message that another node has a newer state to the installation of that state. */
  Peer: 'peer'
} as const
export type StateHop = typeof StateHop[keyof typeof StateHop]

/** What an error of the node has ended instead of the process. */
export const ErrorScope = {
  Request: 'request',
  /** One run of a task that is repeated, such as the exchange with the store. */
  Task: 'task'
} as const
export type ErrorScope = typeof ErrorScope[keyof typeof ErrorScope]

/** Records the metrics of one node in a registry of their own. */
export class ForwardMetrics {
  readonly registry = new Registry()
  readonly #endedRequests = new Counter({ name: 'bluebellhill_requests_total', help: 'Requests that ended, by kind and outcome', labelNames: ['kind', 'outcome'], registers: [this.registry] })
  readonly #refusedRequests = new Counter({ name: 'bluebellhill_refusals_total', help: 'Requests that this node has answered itself, without an answer of a backend server, by cause', labelNames: ['cause'], registers: [this.registry] })
  /** Requests that this node has answered itself since its start, by cause. */
  readonly refusalCounts = new Map<string, number>()
  readonly #closedConnections = new Counter({ name: 'bluebellhill_unanswered_total', help: 'Requests that this node ended before the complete answer of a backend server had been read: by closing the connection, or at the end of its stop by an answer of its own, by stage and cause', labelNames: ['stage', 'cause'], registers: [this.registry] })
  readonly #hedges = new Counter({ name: 'bluebellhill_hedges_total', help: 'Second attempts beside late ones: sent, and won by the second', labelNames: ['result'], registers: [this.registry] })
  readonly #refusedHedges = new Counter({ name: 'bluebellhill_hedges_refused_total', help: 'Second attempts that were due and not sent, by cause', labelNames: ['cause'], registers: [this.registry] })
  readonly #containedErrors = new Counter({ name: 'bluebellhill_errors_contained_total', help: 'Errors of this node, by what each of them has ended', labelNames: ['scope'], registers: [this.registry] })
  readonly #unusableEntries = new Counter({ name: 'bluebellhill_store_entries_unusable_total', help: 'Values of the store that were not used because they cannot be decoded, by prefix of their keys', labelNames: ['prefix'], registers: [this.registry] })
  readonly #cutOffCallers = new Counter({ name: 'bluebellhill_callers_cut_off_total', help: 'Callers that were cut off because they read slowest while the buffers were full', registers: [this.registry] })
  readonly #heldServers = new Counter({ name: 'bluebellhill_servers_held_total', help: 'Times that a backend server was held back because its caller did not read', registers: [this.registry] })
  readonly #requestDuration = new Histogram({ name: 'bluebellhill_request_seconds', help: 'Time from arrival to end', labelNames: ['kind', 'outcome'], buckets: DURATION_BUCKETS, registers: [this.registry] })
  readonly #firstAnswerTime = new Histogram({ name: 'bluebellhill_first_answer_seconds', help: 'Time from sending to the first event or the answer', labelNames: ['kind'], buckets: DURATION_BUCKETS, registers: [this.registry] })
  readonly #predictionError = new Histogram({ name: 'bluebellhill_prediction_error_seconds', help: 'First event later than predicted', labelNames: ['kind'], buckets: [-0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1], registers: [this.registry] })

  readonly #hopDuration = new Histogram({ name: 'bluebellhill_state_hop_seconds', help: 'Longest time by which a hop may have delayed a change of the configuration or of the backend servers', labelNames: ['hop'], buckets: STALENESS_BUCKETS, registers: [this.registry] })

  /**
   * Records by how much a hop may have delayed a change.
   *
   * @param hop - the hop
   * @param took - longest possible delay
   */
  stateHopEnded (hop: StateHop, took: Millis): void {
    this.#hopDuration.observe({ hop }, took / MS_PER_SECOND)
  }

  /** Counts a request that has ended, and records its duration. */
  requestEnded (kind: CallKind, outcome: ForwardOutcome, took: Millis): void {
    this.#endedRequests.inc({ kind, outcome })
    this.#requestDuration.observe({ kind, outcome }, took / MS_PER_SECOND)
  }

  /** Counts a request that this node answers itself. */
  requestRefused (cause: string): void {
    this.#refusedRequests.inc({ cause })
    this.refusalCounts.set(cause, (this.refusalCounts.get(cause) ?? 0) + 1)
  }

  /** Counts a value in the platform's store that cannot be used. */
  storeEntryUnusable (prefix: string): void {
    this.#unusableEntries.inc({ prefix })
  }

  /** Counts an error of this node that has ended less than the process. */
  errorContained (scope: ErrorScope): void {
    this.#containedErrors.inc({ scope })
  }

  /** Counts a second attempt that was sent beside a late one. */
  hedgeSent (): void {
    this.#hedges.inc({ result: 'sent' })
  }

  /** Counts a second attempt whose complete answer came first. */
  hedgeWon (): void {
    this.#hedges.inc({ result: 'won' })
  }

  /** Counts a second attempt that was due and not sent. */
  hedgeRefused (cause: string): void {
    this.#refusedHedges.inc({ cause })
  }

  /** Counts a caller that was cut off because it reads too slowly. */
  callerCutOff (): void {
    this.#cutOffCallers.inc()
  }

  /** Counts a server that is held back for a moment. */
  serverHeld (): void {
    this.#heldServers.inc()
  }

  /** Counts a request whose connection this node has closed without a complete answer. */
  connectionClosed (stage: string, cause: string): void {
    this.#closedConnections.inc({ stage, cause })
  }

  /**
   * Records the time to the first event or the answer, and its difference from the predicted time.
   *
   * @param kind - kind of the request
   * @param expected - predicted time; not finite if the figures of the engine allow no prediction
   * @param took - time that it took
   */
  firstAnswerSent (kind: CallKind, expected: Millis, took: Millis): void {
    this.#firstAnswerTime.observe({ kind }, took / MS_PER_SECOND)
    if (Number.isFinite(expected)) this.#predictionError.observe({ kind }, (took - expected) / MS_PER_SECOND)
  }

  /** Adds a gauge whose value is read whenever the metrics are requested. */
  addGauge (name: string, help: string, read: () => number): void {
    // eslint-disable-next-line no-new -- the registry owns it
    new Gauge({ name: `bluebellhill_${name}`, help, registers: [this.registry], collect () { this.set(read()) } })
  }
}
