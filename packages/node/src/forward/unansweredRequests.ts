/** Logs and counts the requests that this node ends before the complete answer of a backend server has been read. */
import type { Millis } from '@bluebellhill/domain'

import type { ForwardingContext } from './types.js'

/** How far a request had come. */
export const RequestStage = {
  /** Its body was not read completely. */
  Reading: 'reading',
  /** It waited for a backend server. */
  Placement: 'placement',
  /** It waited for KV cache memory on other engines. */
  Reservation: 'reservation',
  /** It was sent, and the caller had nothing of the answer. */
  Sent: 'sent',
  /** The caller had a part of the answer. */
  Answer: 'answer'
} as const
export type RequestStage = typeof RequestStage[keyof typeof RequestStage]

/** Why the request was ended. */
export const CloseCause = {
  /** It or a part of its prompt crashes backend servers. */
  Quarantined: 'quarantined',
  /** The attempt failed, and there was no other one. */
  AnswerLost: 'answer_lost',
  DeadlinePassed: 'deadline_passed',
  /** The buffers of the node were full, and this caller read slowest. */
  SlowReader: 'slow_reader',
  /** The stop grace of this node was over. */
  StopGraceOver: 'stop_grace_over'
} as const
export type CloseCause = typeof CloseCause[keyof typeof CloseCause]

export interface UnansweredRequest {
  /** Attempt id of the caller; null if it sent none. */
  readonly id: string | null
  readonly stage: RequestStage
  readonly cause: CloseCause
  /** Last failure; empty if there was none. */
  readonly problem: string
  /** Time from the arrival of the request until its end. */
  readonly took: Millis
}

/**
 * Records a request that this node ends without the complete answer of a backend server: it closes the connection, or answers itself because it stops.
 *
 * @param context - log, metrics and configuration in force
 * @param request - the request
 */
export const recordUnanswered = ({ log, metrics, fleetState }: ForwardingContext, { id, stage, cause, problem, took }: UnansweredRequest): void => {
  metrics.connectionClosed(stage, cause)
  log.warn('request.unanswered', {
    request: id ?? undefined,
    stage,
    cause,
    problem: problem || undefined,
    took_ms: Math.round(took),
    configuration: fleetState.configurationVersion,
    configuration_age_ms: Math.round(fleetState.configurationAge)
  })
}
