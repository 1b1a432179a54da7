/** What the operator configures and what backend servers say of themselves, in the terms of the decision logic. */
import type { FailureDomain, Millis, RunnerId, Tokens } from '../types.js'

/** What may be repeated of a request. */
export const CallKind = {
  /** May run any number of times. */
  Safe: 'safe',
  /** May run once at most. */
  Unsafe: 'unsafe',
  /** Answered by a stream of events; may run again only where the route allows a stream to be resumed. */
  Stream: 'stream'
} as const
export type CallKind = typeof CallKind[keyof typeof CallKind]

/** A service that a route sends a share of its requests to. */
export interface WeightedService {
  readonly service: string
  readonly weight: number
}

/** Where requests with a host and a path go, and what holds for them. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: CallKind
  /** Whether a stream may go on at another backend server after the last event that the caller has. */
  readonly resumable: boolean
  /** Longest time that a request is kept waiting. */
  readonly timeout: Millis
  /** Time within which the answer, or the first event of a stream, is on time. */
  readonly objective: Millis
  /** Longest pause between two events of a stream that is on time; null where none is set. */
  readonly pauseObjective: Millis | null
  /** Rank; 0 is the most urgent. */
  readonly priority: number
  /** Backend servers that one request may be sent to. */
  readonly maxAttempts: number
  /** Whether requests need no API key. */
  readonly isPublic: boolean
  readonly services: readonly WeightedService[]
}

/** Published speed and size of a service's engines. */
export interface EngineFigures {
  /** Requests that one engine writes for at the same time. */
  readonly slots: number
  readonly memory: Tokens
  /** Token steps of a pass in which any request is written for. */
  readonly stepsPerPass: number
  readonly step: Millis
  /** Added to a step for each request that is written for. */
  readonly stepPerWriter: Millis
  /** Added to a step for each 1,000 tokens of context of the requests that are written for. */
  readonly stepPerThousandContext: Millis
  readonly readTokensPerMs: number
  /** Added to reading for each million pairs of a token and one before it. */
  readonly readPerMillionPairs: Millis
  /** Mean length of an answer. */
  readonly usualAnswer: Tokens
}

export interface Service {
  readonly name: string
  readonly healthPath: string
  /** Connections that one backend server accepts from all callers. */
  readonly maxConnections: number
  /** Null for a plain service. */
  readonly engine: EngineFigures | null
}

/** Bounds on what a caller may send, and on how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeout: Millis
  readonly idleTimeout: Millis
}

export interface OrganisationKeys {
  readonly name: string
  readonly apiKeys: readonly string[]
  /** Takes precedence over the priority of a route; null where none is set. */
  readonly priority: number | null
}

/** One version of the operator's configuration, in full. */
export interface Deployment {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: CallerLimits
  readonly organisations: readonly OrganisationKeys[]
}

/** Whether a backend server takes new work. */
export const Readiness = {
  Ready: 'ready',
  Draining: 'draining'
} as const
export type Readiness = typeof Readiness[keyof typeof Readiness]

/** What a backend server says of itself. */
export interface BackendServer {
  readonly id: RunnerId
  readonly service: string
  /** `ip:port` */
  readonly address: string
  readonly failureDomain: FailureDomain
  readonly slots: number
  readonly readiness: Readiness
  /** Wall-clock milliseconds of its start; null where it does not say. A later start under the same id holds nothing of before. */
  readonly startedAt: number | null
}

/** What a caller says of a prompt and of its answer. */
export interface PromptSize {
  readonly prompt: Tokens
  readonly mostAnswer: Tokens
}
