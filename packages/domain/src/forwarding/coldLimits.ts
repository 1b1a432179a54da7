/** Divides the requests that a cold backend server may get within a second among the nodes that may send to it at the same time. */
import type { Quota } from './RequestQuotas.js'
import type { WarmUpFigures } from './types.js'

/** By how much a second may exceed the rate that a cold server accepts. */
export interface WarmUpBounds {
  /** Factor on the rate. */
  readonly overage: number
  /** Requests in addition to that. */
  readonly tolerance: number
}

/** Applied if the settings state no bounds. */
export const STRICT_WARM_UP_BOUNDS: WarmUpBounds = { overage: 1, tolerance: 0 }

/** Why a node may place requests on a cold server. Nodes of all roles may do so at the same time. */
export const SenderRole = {
  /** It schedules for its group, and hears no other node that may do so too. */
  Scheduler: 'scheduler',
  /** It decides for its own requests, since no scheduler answers it, or it has just taken over from a scheduler that other nodes may still reach. */
  Lone: 'lone'
} as const
export type SenderRole = typeof SenderRole[keyof typeof SenderRole]

/** Part of the bound that the nodes of each role may use together; the parts add up to 1. With the bounds of the target workload, the scheduler's is the whole rate. */
const ROLE_SHARES: Readonly<Record<SenderRole, number>> = { scheduler: 0.6, lone: 0.4 }

/** Longest time between the placement of a request on a cold server and its sending, in seconds; later grants are returned. */
export const MAX_SENDING_DELAY_S = 0.1

/** Keeps a window of exactly one second below the next whole number of requests. */
const ROUNDING_MARGIN = 0.1

/**
 * @param figures - what the servers of the service accept while they are cold
 * @param bounds - by how much a second may exceed it
 * @param role - role of a node
 * @param share - part of the requests of this role that the node may place
 * @returns whole number of requests that it may have sent to one cold server within any second
 */
export const coldAllowance = ({ requestsPerSecond }: WarmUpFigures, { overage, tolerance }: WarmUpBounds, role: SenderRole, share: number): number => {
  const bound = requestsPerSecond * overage + tolerance
  const isOnlyScheduler = role === SenderRole.Scheduler && share === 1
  return Math.floor(Math.max(ROLE_SHARES[role] * bound * share, isOnlyScheduler ? Math.min(1, bound) : 0))
}

/**
 * The quota allows at most `allowance` requests to be sent within any second, also if each is sent up to `MAX_SENDING_DELAY_S` after it was placed.
 *
 * @param figures - what the servers of the service accept while they are cold
 * @param allowance - whole number of requests within any second, at least 1
 * @param phase - part of an interval that passes before the first request
 * @returns the quota
 */
export const coldQuota = ({ requestsPerSecond }: WarmUpFigures, allowance: number, phase: number): Quota => {
  const usable = allowance - ROUNDING_MARGIN
  const window = 1 + MAX_SENDING_DELAY_S
  const limit = Math.min(requestsPerSecond, usable / window)
  return { limit, share: 1, phase, burst: usable - window * limit }
}
