/** Polls the status and the cache events of one model engine. */
import type { AttemptId, CacheEvent, HeldAttempt, RunnerReport } from '@bluebellhill/domain'
import { describeFailure } from '@bluebellhill/services'
import type { EngineCacheEvents, EngineStatus, ModelEngine } from '@bluebellhill/services'
import { setTimeout as delay } from 'node:timers/promises'

import type { PlacedState } from '../placement/index.js'
import { Monitor } from './Monitor.js'
import type { MonitorListener } from './Monitor.js'

const STATUS_INTERVAL_MS = 200
const EVENTS_LONG_POLL_MS = 2_000
const EVENTS_RETRY_MS = 1_000
/** Number of consecutive failed status calls after which the engine counts as unreachable. */
const UNREACHABLE_AFTER_FAILURES = 3

/** Monitor of one engine: polls its status at an interval and its cache events by long polling. */
export class EngineMonitor extends Monitor {
  readonly #engine: ModelEngine
  readonly #listener: MonitorListener
  readonly #controller = new AbortController()
  #failures = 0

  constructor (engine: ModelEngine, listener: MonitorListener) {
    super()
    this.#engine = engine
    this.#listener = listener
  }

  start (): void {
    void this.#pollStatus()
    void this.#pollCacheEvents()
  }

  dispose (): void {
    this.#controller.abort()
  }

  get #isDisposed (): boolean {
    return this.#controller.signal.aborted
  }

  async #pollStatus (): Promise<void> {
    while (!this.#isDisposed) {
      const result = await this.#engine.status()
      if (this.#isDisposed) return
      if (result.ok) this.#reportStatus(result.value)
      else this.#recordFailure(describeFailure(result.failure))
      await this.#wait(STATUS_INTERVAL_MS)
    }
  }

  #reportStatus (status: EngineStatus): void {
    this.#failures = 0
    this.#listener.reported(reportOf(status, Date.now()))
    this.#listener.placementReported(placedStateOf(status))
  }

  #recordFailure (reason: string): void {
    this.#failures += 1
    if (this.#failures === UNREACHABLE_AFTER_FAILURES) this.#listener.unreachable(reason)
  }

  async #pollCacheEvents (): Promise<void> {
    let after = 0
    while (!this.#isDisposed) {
      const result = await this.#engine.cacheEvents(after, EVENTS_LONG_POLL_MS)
      if (this.#isDisposed) return
      if (result.ok) after = this.#reportCacheEvents(after, result.value)
      else await this.#wait(EVENTS_RETRY_MS)
    }
  }

  #reportCacheEvents (after: number, answer: EngineCacheEvents): number {
    const restarted = answer.next < after
    const gap = restarted || hasGap(after, answer)
    if (gap || answer.events.length > 0) this.#listener.cacheChanged(gap, answer.events.map(cacheEventOf))
    return answer.next
  }

  async #wait (ms: number): Promise<void> {
    await delay(ms, undefined, { signal: this.#controller.signal }).catch(() => {})
  }
}

const hasGap = (after: number, answer: EngineCacheEvents): boolean => {
  let previous = after
  for (const event of answer.events) {
    if (previous !== 0 && event.seq !== previous + 1) return true
    previous = event.seq
  }
  return false
}

const cacheEventOf = (event: EngineCacheEvents['events'][number]): CacheEvent =>
  event.kind === 'cleared' ? { kind: 'cleared' } : { kind: event.kind, blocks: event.blocks }

const reportOf = (status: EngineStatus, wallNow: number): RunnerReport => ({
  model: status.model,
  version: status.version,
  adapters: status.adapters,
  loading: status.loading !== null,
  totalTokens: status.capacity.tokens,
  slots: status.capacity.slots,
  blockTokens: status.capacity.blockTokens,
  chunkTokens: status.capacity.chunkTokens,
  loadAge: Math.max(0, wallNow - status.load.asOf),
  running: status.load.running,
  waiting: status.load.waiting,
  freeTokens: status.load.freeTokens,
  pendingPrefillTokens: status.load.pendingPrefillTokens,
  prefillRate: status.load.prefillTokensPerSecond,
  decodeRate: status.load.decodeTokensPerSecond,
  held: heldAttemptsOf(status)
})

const placedStateOf = ({ model, version, loading, adapters, role, streams, segments }: EngineStatus): PlacedState => ({
  loaded: model === null || version === null ? null : { model, version },
  loading: loading === null ? null : { model: loading.model, version: loading.version },
  adapters: [...adapters].sort(),
  role,
  // Placement only needs to know whether the engine is busy; the exact number would be gossiped again with each stream.
  streams: Math.min(1, streams.length + segments.length)
})

const heldAttemptsOf = (status: EngineStatus): HeldAttempt[] => [
  ...status.streams.map((stream) => ({ attempt: stream.requestId as AttemptId, heldTokens: stream.heldTokens, age: stream.age })),
  ...status.segments.map((segment) => ({ attempt: segment.requestId as AttemptId, heldTokens: segment.tokens, age: segment.age }))
]
