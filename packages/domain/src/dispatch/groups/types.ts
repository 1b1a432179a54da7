/** Messages between dispatchers that reserve runners for a sequence group. */
import type { AttemptId, Millis, NodeId, RunnerId, Tokens } from '../../types.js'

/** Memory that is reserved for a group on one runner. */
export interface GroupMember {
  readonly runner: RunnerId
  readonly tokens: Tokens
}

/** Request of one dispatcher to another to reserve runners for a group. */
export interface ReservationRequest {
  readonly attempt: AttemptId
  /** Number of the request within the group; answers and releases repeat it. */
  readonly round: number
  readonly model: string
  readonly version: string | null
  readonly adapter: string | null
  /** Memory that the group still needs. */
  readonly tokens: Tokens
  /** Time for which the group has waited; the oldest group goes first. */
  readonly age: Millis
  readonly excluded: readonly RunnerId[]
}

/** Messages that a dispatcher receives from other dispatchers of its failure domain. */
export type GroupEvent =
  | { readonly type: 'reservation_requested', readonly from: NodeId, readonly request: ReservationRequest }
  /** Answer to a request; without members if no memory is free. */
  | { readonly type: 'reservation_answered', readonly from: NodeId, readonly attempt: AttemptId, readonly round: number, readonly members: readonly GroupMember[] }
  | { readonly type: 'reservation_released', readonly attempt: AttemptId, readonly round: number }

/** Messages to another dispatcher, which receives each as the corresponding `GroupEvent`. */
export type GroupEffect =
  | { readonly type: 'request_reservation', readonly to: NodeId, readonly request: ReservationRequest }
  | { readonly type: 'answer_reservation', readonly to: NodeId, readonly attempt: AttemptId, readonly round: number, readonly members: readonly GroupMember[] }
  | { readonly type: 'release_reservation', readonly to: NodeId, readonly attempt: AttemptId, readonly round: number }
