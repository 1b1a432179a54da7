/** Messages between dispatchers that reserve the members of a sequence group. */
import type { AttemptId, Millis, NodeId, RunnerId, Tokens } from '../../types.js'

/** A part of a group's memory on one runner. */
export interface GroupMember {
  readonly runner: RunnerId
  readonly tokens: Tokens
}

/** What a dispatcher asks another for. */
export interface ReservationRequest {
  readonly attempt: AttemptId
  /** Counts the group's requests; answers and releases name the request that they belong to. */
  readonly round: number
  readonly model: string
  readonly version: string | null
  readonly adapter: string | null
  /** Memory still wanted. */
  readonly tokens: Tokens
  /** How long the group has waited; the oldest goes first. */
  readonly age: Millis
  readonly excluded: readonly RunnerId[]
}

/** Events about groups; they come from the other dispatchers of the failure domain. */
export type GroupEvent =
  | { readonly type: 'reservation_requested', readonly from: NodeId, readonly request: ReservationRequest }
  /** Answer to a request; without members where nothing is free. */
  | { readonly type: 'reservation_answered', readonly from: NodeId, readonly attempt: AttemptId, readonly round: number, readonly members: readonly GroupMember[] }
  | { readonly type: 'reservation_released', readonly attempt: AttemptId, readonly round: number }

/** Effects about groups, each to be carried to another dispatcher as the event of like name. */
export type GroupEffect =
  | { readonly type: 'request_reservation', readonly to: NodeId, readonly request: ReservationRequest }
  | { readonly type: 'answer_reservation', readonly to: NodeId, readonly attempt: AttemptId, readonly round: number, readonly members: readonly GroupMember[] }
  | { readonly type: 'release_reservation', readonly to: NodeId, readonly attempt: AttemptId, readonly round: number }
