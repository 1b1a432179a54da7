/** Interface of the monitors of backend servers and of their listeners. */
import type { CacheEvent, RunnerReport } from '@bluebellhill/domain'

import type { PlacedState } from '../placement/index.js'

/** Receives the observations of a monitor. */
export interface MonitorListener {
  reported (report: RunnerReport): void
  /** Reports cache events. `gap` is true if events were missed or the engine restarted. */
  cacheChanged (gap: boolean, events: readonly CacheEvent[]): void
  /** Reports the models, adapters and role of an engine; not called for plain services. */
  placementReported (state: PlacedState): void
  unreachable (reason: string): void
}

/** Observes one backend server that this node dispatches for, from `start` until `dispose`. */
export abstract class Monitor {
  abstract start (): void
  abstract dispose (): void
}
