/** Types of the operator's configuration and of the entries of backend servers, as the forwarding logic uses them. */
import type { FailureDomain, Millis, Region, RunnerId, Tokens } from '../types.js'

/** Whether a request may be repeated, and how it is answered. */
export const CallKind = {
  /** The request may run any number of times. */
  Safe: 'safe',
  /** The request may run at most once. */
  Unsafe: 'unsafe',
  /** The request is answered by a stream of events; it may run again only if the route allows streams to be resumed. */
  Stream: 'stream'
} as const
export type CallKind = typeof CallKind[keyof typeof CallKind]

/** A service that gets a share of a route's requests, in proportion to its weight. */
export interface WeightedService {
  readonly service: string
  readonly weight: number
}

/** Maps a host and a path prefix to services, with the rules and objectives of their requests. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Path prefix; starts and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: CallKind
  /** Whether a stream may be resumed at another backend server after the last event that the caller received. */
  readonly resumable: boolean
  /** Longest total duration of a request. */
  readonly timeout: Millis
  /** Time from arrival within which the answer, or the first event of a stream, is on time. */
  readonly objective: Millis
  /** Longest pause between two events of a stream that is on time; null if none is set. */
  readonly pauseObjective: Millis | null
  /** Priority of its requests; 0 is the most urgent. */
  readonly priority: number
  /** Maximum number of backend servers that one request may be sent to. */
  readonly maxAttempts: number
  /** Whether requests need no API key. */
  readonly isPublic: boolean
  readonly services: readonly WeightedService[]
  /** The only regions whose backend servers may run its requests; absent if all may. */
  readonly regions?: readonly Region[]
}

/** Speed and size of a service's engines, as published in the configuration. */
export interface EngineFigures {
  /** Maximum number of requests that one engine decodes at the same time. */
  readonly slots: number
  readonly memory: Tokens
  /** Number of token steps of a pass in which at least one request is decoded. */
  readonly stepsPerPass: number
  readonly step: Millis
  /** Time added to a step for each request that is decoded. */
  readonly stepPerWriter: Millis
  /** Time added to a step for each 1,000 context tokens of the requests that are decoded. */
  readonly stepPerThousandContext: Millis
  readonly readTokensPerMs: number
  /** Time added to prefill for each million pairs of a token and an earlier token. */
  readonly readPerMillionPairs: Millis
  /** Mean prompt length in tokens; absent if it is not published. */
  readonly usualPrompt?: Tokens
  /** Mean answer length in tokens. */
  readonly usualAnswer: Tokens
}

/** What the servers of a service accept while they are cold, as published in the configuration. */
export interface WarmUpFigures {
  /** Time after its start for which a server is cold. */
  readonly period: Millis
  /** Requests per second that a cold server accepts from all nodes together; 0 if it sets no limit. */
  readonly requestsPerSecond: number
}

export interface Service {
  readonly name: string
  readonly healthPath: string
  /** Maximum number of connections that one backend server accepts in total. */
  readonly maxConnections: number
  /** Figures of its engines; null for a plain service. */
  readonly engine: EngineFigures | null
  /** Absent if the configuration states none. */
  readonly warmUp?: WarmUpFigures
}

/** Limits on the size of a caller's request and on the time that the caller may take to send it. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeout: Millis
  readonly idleTimeout: Millis
}

export interface OrganisationKeys {
  readonly name: string
  readonly apiKeys: readonly string[]
  /** Overrides the priority of the route; null if none is set. */
  readonly priority: number | null
  /** The only regions whose backend servers may run its requests; absent if all may. */
  readonly regions?: readonly Region[]
}

/** One complete version of the operator's configuration. */
export interface Deployment {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: CallerLimits
  /** Null if callers need no API key. An empty list differs from that: no key is known, and callers need one. */
  readonly organisations: readonly OrganisationKeys[] | null
}

/** Whether a backend server accepts new requests. */
export const Readiness = {
  Ready: 'ready',
  Draining: 'draining'
} as const
export type Readiness = typeof Readiness[keyof typeof Readiness]

/** What a backend server reports about itself in its store entry. */
export interface BackendServer {
  readonly id: RunnerId
  readonly service: string
  /** `ip:port` */
  readonly address: string
  readonly failureDomain: FailureDomain
  readonly slots: number
  readonly readiness: Readiness
  /** Wall-clock start time in milliseconds; null if it reports none. A server that restarts under its id keeps no earlier state. */
  readonly startedAt: number | null
  /** Time for which it stays cold, from the writing of the entry; 0 if it is warm, absent if it reports none. */
  readonly warmUpLeft?: Millis
}

/** Prompt length and maximum answer length that a caller declares. */
export interface PromptSize {
  readonly prompt: Tokens
  readonly mostAnswer: Tokens
}
