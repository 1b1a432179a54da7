/** A request that is placed on a backend server, and its id. */
import type { Millis, NodeId, RunnerId, Tokens } from '../types.js'

/** KV cache memory that an engine keeps for another engine's request. */
export interface KvCacheReservation {
  readonly runner: RunnerId
  readonly tokens: Tokens
}

/** A request placed on a backend server, from the time it is sent until it ends. */
export interface Assignment {
  /** Unique over all nodes. */
  readonly id: string
  readonly server: RunnerId
  /** Engines that prefill segments of the prompt for `server`. */
  readonly helpers: readonly RunnerId[]
  /** KV cache memory reserved on other engines, which keep part of the prompt there. */
  readonly reservations: readonly KvCacheReservation[]
  readonly prompt: Tokens
  /** Expected length of the answer. */
  readonly answer: Tokens
  /** Prefill time on each participating engine at its published speed. */
  readonly prefillTime: Millis
  readonly sentAt: Millis
  /** Whether its first event has arrived, which means that the prompt is prefilled. */
  readonly isPrefilled: boolean
  /** When this node learned that the prompt is prefilled; absent if it is not, or if a peer reported it so from the start. */
  readonly prefilledAt?: Millis
  /** Longest pause between events that keeps the answer on time; null if the route sets none. */
  readonly pauseObjective: Millis | null
  /** When its first event is due. */
  readonly dueAt: Millis
  /** Whether its engine admits it only after all requests that can still be on time. */
  readonly isDeferred: boolean
}

/**
 * @param node - the node that sent the request
 * @param sequence - sequence number of the request on that node
 * @returns an assignment id that is unique over all nodes
 */
export const assignmentId = (node: NodeId, sequence: number): string => `${node}/${sequence}`

/** @returns the sequence number in the id of an assignment, which its node counts up */
export const assignmentNumber = ({ id }: Assignment): number => Number(id.slice(id.lastIndexOf('/') + 1))
