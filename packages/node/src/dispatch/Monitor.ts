/** Watches one backend server that this node dispatches for. */
import type { CacheEvent, RunnerReport } from '@bluebellhill/domain'

import type { PlacedState } from '../placement/index.js'

/** Told what a monitor sees. */
export interface MonitorListener {
  reported (report: RunnerReport): void
  cacheChanged (gap: boolean, events: readonly CacheEvent[]): void
  /** Models, adapters and role, where the backend server is an engine. */
  placementReported (state: PlacedState): void
  unreachable (reason: string): void
}

/** Watches until it is disposed. */
export abstract class Monitor {
  abstract start (): void
  abstract dispose (): void
}
