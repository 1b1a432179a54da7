/** What the parts of forwarding share. */
import type { BackendServer, PlacementChoice, Millis, Assignment } from '@bluebellhill/domain'
import type { AnswerHeaders, EngineMemoryClient } from '@bluebellhill/platform'

import type { Log } from '../log/index.js'
import type { AnswerHead, ServerCall } from './backend/ServerCall.js'
import type { FleetDispatch } from './FleetDispatch.js'
import type { ForwardMetrics } from './ForwardMetrics.js'
import type { Knowledge } from './Knowledge.js'
import type { Reservations } from './Reservations.js'

/** What requests share. */
export interface ForwardingContext {
  readonly dispatch: FleetDispatch
  readonly knowledge: Knowledge
  readonly log: Log
  readonly metrics: ForwardMetrics
  readonly memory: EngineMemoryClient
  readonly clock: () => Millis
}

/** One attempt in progress. */
export interface OpenAttempt {
  readonly server: BackendServer
  readonly work: Assignment
  readonly sentAt: Millis
  readonly choice: PlacementChoice
  /** Memory of other engines that holds parts of the prompt; null where none is needed. */
  readonly reservations: Reservations | null
  /** Null until the request is sent. */
  call: ServerCall | null
  /** Whether its first event has come. */
  isRead: boolean
  head: AnswerHead | null
  answer: AnswerHeaders | null
}

/** A failure that a backend server answered with and signed. */
export interface SignedFailure {
  readonly head: AnswerHead
  readonly body: Buffer
}

/** How requests end, for logs and metrics. */
export const ForwardOutcome = {
  Answered: 'answered',
  ServerFailed: 'server_failed',
  Refused: 'refused',
  Lost: 'lost',
  TimedOut: 'timed_out',
  CallerGone: 'caller_gone'
} as const
export type ForwardOutcome = typeof ForwardOutcome[keyof typeof ForwardOutcome]
