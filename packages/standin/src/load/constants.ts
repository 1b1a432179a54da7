/** Defaults of the load tool. */
import type { LoadOptions } from './types.js'

export const DEFAULT_LOAD_OPTIONS: LoadOptions = {
  seed: 1,
  targets: [],
  organisations: [],
  model: 'model',
  perSecond: 20,
  durationMs: 10_000,
  maxRequests: 100_000,
  longestTokens: 1_048_576,
  cutTokens: 1_000_000,
  minAnswerTokens: 16,
  maxAnswerTokens: 128,
  bursts: [],
  orders: null,
  deadlineMs: 30_000,
  graceMs: 3_000,
  retries: 2,
  maxInFlight: 4_000,
  nominal: { stepMs: 5, newTokenMs: 0.01, chunkTokens: 2_048 }
}
