/** The objects that make up one stand-in engine. */
import type { CacheEventLog } from './CacheEventLog.js'
import type { Engine } from './Engine.js'
import type { EngineLedger } from './EngineLedger.js'
import type { EngineFaults } from './faults.js'
import type { ModelLoader } from './ModelLoader.js'
import type { ModelState } from './ModelState.js'
import type { SegmentStore } from './SegmentStore.js'
import type { StatusReporter } from './StatusReporter.js'
import type { EngineOptions } from './types.js'

export interface EngineParts {
  readonly options: EngineOptions
  readonly faults: EngineFaults
  readonly ledger: EngineLedger
  readonly engine: Engine
  readonly state: ModelState
  readonly loader: ModelLoader
  readonly segments: SegmentStore
  readonly events: CacheEventLog
  readonly status: StatusReporter
}
