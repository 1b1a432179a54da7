/** Default timings and limits of placement. */
import type { LeaseTimings, PlacementLimits } from './types.js'

export const DEFAULT_LEASE_TIMINGS: LeaseTimings = {
  lifetime: 10_000,
  margin: 2_000,
  renewPeriod: 3_000,
  retryPeriod: 5_000,
  pauseThreshold: 1_000
}

/** Time between two comparisons of the wanted models with those that the runners have, in milliseconds. */
export const RECONCILE_PERIOD_MS = 1_000

export const DEFAULT_PLACEMENT_LIMITS: PlacementLimits = {
  concurrentLoads: 4,
  weightStoreRate: 1_000_000_000,
  commandRetry: 5_000,
  drainTimeout: 120_000,
  idleAfter: 60_000,
  rollingShare: 0.25,
  reportLifetime: 5_000
}
