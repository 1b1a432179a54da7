/** Ways to choose the engine that serves a request, and those that help it to read the prompt. */
import type { Millis, Tokens } from '../types.js'
import type { EngineTimingModel } from './EngineTimingModel.js'
import type { ServerLoads } from './FleetAssignments.js'
import type { BackendServer, PromptSize } from './types.js'

/** An engine that may be chosen. */
export interface Candidate {
  readonly server: BackendServer
  /** How much slower it is than published; 1 for a sound one. */
  readonly slowdown: number
}

/** What has to be placed. */
export interface PlacementRequest {
  readonly size: PromptSize
  /** Time within which the first event is due, from the arrival of the request. */
  readonly objective: Millis
  /** Time left of it; negative once the first event is late. */
  readonly timeLeft: Millis
  readonly pauseObjective: Millis | null
  readonly candidates: readonly Candidate[]
  readonly timing: EngineTimingModel
  readonly loads: ServerLoads
  /** Requests for engines of this kind that all nodes send in a second. */
  readonly arrivalsPerSecond: number
  readonly now: Millis
}

/** Memory of an engine that holds a part of another engine's prompt. */
export interface HolderReservation {
  readonly server: BackendServer
  readonly tokens: Tokens
}

/** Where a request goes. */
export interface PlacementChoice {
  readonly server: BackendServer
  /** Engines that read parts of the prompt, those that hold parts of it first. */
  readonly helpers: readonly BackendServer[]
  /** Memory that has to be reserved before the request is sent. */
  readonly holders: readonly HolderReservation[]
  /** Expected time until the first event. */
  readonly timeToFirstEvent: Millis
}

export abstract class PlacementPolicy {
  /**
   * @param request - what has to be placed, and what is known of the engines
   * @returns where it goes; null where no engine can take it now
   */
  abstract choose (request: PlacementRequest): PlacementChoice | null
}
