/** Watches one backend server that this node dispatches for. */
import type { CacheEvent, RunnerReport } from '@bluebellhill/domain'

/** Told what a monitor sees. */
export interface MonitorListener {
  reported (report: RunnerReport): void
  cacheChanged (gap: boolean, events: readonly CacheEvent[]): void
  unreachable (reason: string): void
}

/** Watches until it is disposed. */
export abstract class Monitor {
  abstract start (): void
  abstract dispose (): void
}
