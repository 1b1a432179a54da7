/** Types of a small fleet on one machine. */
import type { ChildProcess } from '../processes/index.js'

/** Arguments of a stand-in by name. */
export type StandinArgs = Readonly<Record<string, string | number | boolean>>

export const Policy = { RoundRobin: 'round_robin', LeastReportedLoad: 'least_reported_load', LengthAware: 'length_aware' } as const
export type Policy = typeof Policy[keyof typeof Policy]

/** What a fleet consists of. */
export interface FleetPlan {
  readonly failureDomains: readonly string[]
  /** Over all failure domains, shared out in turn. */
  readonly nodes: number
  readonly engines: number
  readonly plains: number
  readonly engineArgs: StandinArgs
  readonly plainArgs: StandinArgs
  readonly vmListLagMs: number
  readonly organisations: readonly PlannedOrganisation[]
  readonly policy: Policy
  /** Weights of the policy; their ratio counts. */
  readonly weights: { readonly shortSlowdown: number, readonly firstToken: number }
  readonly logLevel: 'error' | 'warn' | 'info' | 'debug'
  /** Time limit of every template, as the configuration writes it. */
  readonly deadline: string
  /** Whether nodes read their configuration from files of their own in place of the key-value service. */
  readonly configurationFromFiles: boolean
}

/** An organisation with one API key. */
export interface PlannedOrganisation {
  readonly name: string
  readonly apiKey: string
  readonly weight: number
  /** Requests in progress at most, over all nodes. */
  readonly requestsAtOnce?: number
}

/** A process at its place. */
export interface Placed {
  readonly name: string
  readonly failureDomain: string
  readonly process: ChildProcess
}
