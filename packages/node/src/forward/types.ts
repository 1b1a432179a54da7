/** Types that the modules of the forwarding node share. */
import type { BackendServer, Millis } from '@bluebellhill/domain'
import type { AnswerHeaders, EngineMemoryClient } from '@bluebellhill/platform'

import type { Log } from '../log/index.js'
import type { ReadTurns } from './ReadTurns.js'
import type { AnswerMemory } from './backend/AnswerMemory.js'
import type { NodeBuffers } from './buffers/NodeBuffers.js'
import type { AnswerHead, ServerCall } from './backend/ServerCall.js'
import type { ForwardMetrics } from './ForwardMetrics.js'
import type { FleetState } from './FleetState.js'
import type { MemoryReservations } from './MemoryReservations.js'
import type { AttemptWatch } from './quarantine/AttemptWatch.js'
import type { PlacementClient } from './scheduling/PlacementClient.js'
import type { Relay } from './relay/Relay.js'
import type { RelayPeer } from './relay/RelayPeers.js'
import type { PlacedAttempt } from './scheduling/types.js'
import type { StartTimes } from './StartTimes.js'
import type { AnswerForecast } from './stop/AnswerForecast.js'
import type { NodeStop } from './stop/NodeStop.js'

/** Objects that all requests of a node share. */
export interface ForwardingContext {
  readonly placement: PlacementClient
  readonly fleetState: FleetState
  readonly log: Log
  readonly metrics: ForwardMetrics
  readonly startTimes: StartTimes
  readonly memory: EngineMemoryClient
  readonly answerMemory: AnswerMemory
  /** Turns in which the connections to backend servers, and the bodies of callers, are read. */
  readonly readTurns: ReadTurns
  readonly buffers: NodeBuffers
  readonly relay: Relay
  readonly stop: NodeStop
  readonly forecast: AnswerForecast
  readonly clock: () => Millis
}

/** State of one attempt in progress. */
export interface OpenAttempt {
  readonly server: BackendServer
  /** Null if the request is passed on to another node, which places it. */
  readonly placed: PlacedAttempt | null
  /** Node that the request is passed on to; null if it is sent to the server itself. */
  readonly peer: RelayPeer | null
  readonly sentAt: Millis
  /** KV cache memory that is reserved on other engines for this prompt; null if none is needed. */
  readonly reservations: MemoryReservations | null
  /** Null until the request is sent, while memory is being reserved. */
  serverCall: ServerCall | null
  /** Observes it as evidence on what crashes servers; null until the request is sent, or if another node sends it. */
  watch: AttemptWatch | null
  /** Whether the first event of the answer has arrived. */
  hasFirstEvent: boolean
  /** Whether it was sent as a hedge, beside an attempt that was later than nearly all others. */
  readonly isHedge: boolean
  /** Whether a hedge has been asked for, so that no other one is. */
  isHedgeTried: boolean
  /** Whether it is one of two attempts side by side of which the first complete answer wins. */
  isRaced: boolean
  /** Whether the scheduler has been told that the server sends no data. */
  isSilenceReported: boolean
  head: AnswerHead | null
  answer: AnswerHeaders | null
}

/** Signed answer of a backend server with a failure status. */
export interface SignedFailure {
  readonly head: AnswerHead
  readonly body: Buffer
}
