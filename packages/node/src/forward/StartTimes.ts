/** Records when a node that starts reaches each phase until it has answered its first request, and writes one log line about it. */
import type { Millis } from '@bluebellhill/domain'

import type { Log } from '../log/index.js'
import type { ForwardMetrics } from './ForwardMetrics.js'

/** Phases of a start; a node may reach some of them in another order. */
export const StartPhase = {
  SettingsRead: 'settings',
  /** The other nodes were listed in the store. */
  NodesListed: 'nodes_listed',
  /** The backend servers were listed in the store. */
  ServersListed: 'servers_listed',
  ConfigurationInForce: 'configuration',
  /** A backend server is known, from the store or another node. */
  ServersKnown: 'servers_known',
  PeerHeard: 'peer_heard',
  /** Another node schedules for this one. */
  SchedulerKnown: 'scheduler_known',
  /** It listens at all of its addresses. */
  Listening: 'listening',
  /** The readiness check is answered positively. */
  Ready: 'ready',
  RequestAccepted: 'accepted',
  RequestPlaced: 'placed',
  RequestAnswered: 'answered'
} as const
export type StartPhase = typeof StartPhase[keyof typeof StartPhase]

/** Phases at which the processor time until then is logged too. */
const MEASURED_PHASES: ReadonlySet<StartPhase> = new Set([StartPhase.SettingsRead, StartPhase.Listening, StartPhase.Ready, StartPhase.RequestAnswered])

/** Time after the start at which the line is written although no request was answered. */
const LONGEST_START: Millis = 20_000

const MICROSECONDS_PER_MS = 1_000

export interface StartTimesOptions {
  readonly log: Log
  /** Counts the refusals. */
  readonly metrics: ForwardMetrics
  /** Time since the start of the process. */
  readonly clock: () => Millis
  /** Processor time of the process so far, in microseconds. */
  readonly processorTime: () => number
}

/** Phases that one process has reached. */
export class StartTimes {
  readonly #options: StartTimesOptions
  /** Log fields in the order of the phases; null once the line is written. */
  #fields: Map<string, unknown> | null = new Map()
  #timer: NodeJS.Timeout | null

  /** @param options - log, metrics and clocks */
  constructor (options: StartTimesOptions) {
    this.#options = options
    this.#timer = setTimeout(() => this.#write(), LONGEST_START).unref()
  }

  /**
   * Records a phase when it is reached for the first time.
   *
   * @param phase - the phase
   * @param details - further log fields
   */
  reached (phase: StartPhase, details: Readonly<Record<string, unknown>> = {}): void {
    if (this.#fields === null || this.#fields.has(timeField(phase))) return
    this.#fields.set(timeField(phase), Math.round(this.#options.clock()))
    for (const [name, value] of Object.entries(details)) this.#fields.set(name, value)
    if (MEASURED_PHASES.has(phase)) this.#fields.set(`${phase}_processor_ms`, Math.round(this.#options.processorTime() / MICROSECONDS_PER_MS))
    if (phase === StartPhase.RequestAnswered) this.#write()
  }

  /** Writes the line unless it is written. */
  dispose (): void {
    this.#write()
  }

  #write (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
    if (this.#fields === null) return
    const { log, metrics } = this.#options
    const refused = [...metrics.refusalCounts].map(([cause, count]) => `${cause}:${count}`).join(',')
    log.info('node.start_times', { ...Object.fromEntries(this.#fields), refused: refused || undefined })
    this.#fields = null
  }
}

const timeField = (phase: StartPhase): string => `${phase}_ms`
