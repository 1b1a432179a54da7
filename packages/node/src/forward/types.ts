/** What the parts of forwarding share. */
import type { BackendServer, Choice, Millis, Work } from '@bluebellhill/domain'
import type { AnswerHeaders, EngineMemory } from '@bluebellhill/platform'

import type { Log } from '../log/index.js'
import type { AnswerHead, ServerCall } from './backend/ServerCall.js'
import type { FleetDispatch } from './FleetDispatch.js'
import type { ForwardMetrics } from './ForwardMetrics.js'
import type { FleetState } from './FleetState.js'
import type { MemoryReservations } from './MemoryReservations.js'

/** What requests share. */
export interface ForwardingContext {
  readonly dispatch: FleetDispatch
  readonly fleetState: FleetState
  readonly log: Log
  readonly metrics: ForwardMetrics
  readonly memory: EngineMemory
  readonly clock: () => Millis
}

/** One attempt in progress. */
export interface OpenAttempt {
  readonly server: BackendServer
  readonly assignment: Work
  readonly sentAt: Millis
  readonly choice: Choice
  /** Memory of other engines that holds parts of the prompt; null where none is needed. */
  readonly reservations: MemoryReservations | null
  /** Null until the request is sent. */
  serverCall: ServerCall | null
  /** Whether its first event has come. */
  hasFirstEvent: boolean
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
  CallerDisconnected: 'caller_gone'
} as const
export type ForwardOutcome = typeof ForwardOutcome[keyof typeof ForwardOutcome]
