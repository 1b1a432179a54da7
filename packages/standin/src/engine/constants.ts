/** Defaults of the stand-in engine. */
import type { EngineOptions } from './types.js'

/** An engine of 400,000 tokens of memory that prefills about 80,000 tokens a second. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  name: 'engine',
  model: null,
  version: null,
  adapters: [],
  role: 'mixed',
  memoryTokens: 400_128,
  hostTokens: 2_000_000,
  slots: 64,
  blockTokens: 256,
  chunkTokens: 2_048,
  maxWaiting: 256,
  stepMs: 5,
  newTokenMs: 0.01,
  contextTokenMs: 0.000_005,
  resumeWindowMs: 5_000,
  loadLagMs: 250,
  eventLagMs: 250,
  eventDropRate: 0.02,
  seed: 1,
  checkFencing: true,
  loadMs: 1_500,
  weightStore: null,
  transferTokensPerSecond: 2_000_000,
  onDisconnect: 'finish'
}

/** Longest time in milliseconds that a late timer is made up for by steps run at once. */
export const CATCH_UP_MS = 50

/** Cache events kept for readers. */
export const EVENT_HISTORY = 20_000

/** Attempts kept in the ledger. */
export const LEDGER_ENTRIES = 200_000
