/** Which model, version and adapters an engine serves. */
import type { EngineOptions, Role } from './types.js'

/** What a request asks for; null leaves it open. */
export interface WantedModel {
  readonly model: string | null
  readonly version: string | null
  readonly adapter: string | null
}

/** A load in progress. */
export interface Loading {
  readonly model: string
  readonly version: string
  readonly startedAt: number
}

/** The served model; empty while another is loaded. */
export class ModelState {
  model: string | null
  version: string | null
  readonly adapters: Set<string>
  role: Role
  loading: Loading | null = null
  /** Highest fencing number of any order taken. */
  fencing = 0

  /**
   * @param options - what the engine serves at its start
   */
  constructor (options: EngineOptions) {
    this.model = options.model
    this.version = options.version
    this.adapters = new Set(options.adapters)
    this.role = options.role
  }

  /**
   * Compares with what a request names.
   *
   * @param wanted - model, version and adapter
   * @returns whether this engine serves it now
   */
  serves (wanted: WantedModel): boolean {
    if (this.loading || this.model === null) return false
    if (wanted.model !== null && wanted.model !== this.model) return false
    if (wanted.version !== null && wanted.version !== this.version) return false
    return wanted.adapter === null || this.adapters.has(wanted.adapter)
  }
}
