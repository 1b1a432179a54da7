/** Interface of the policies that choose the backend server for a request and the helpers that prefill segments of its prompt. */
import type { Millis, Tokens } from '../types.js'
import type { EngineTimingModel } from './EngineTimingModel.js'
import type { ServerLoads } from './FleetAssignments.js'
import type { BackendServer, PromptSize } from './types.js'

/** A backend server that may be chosen. */
export interface Candidate {
  readonly server: BackendServer
  /** Observed duration over published duration; 1 for an engine at its published speed. */
  readonly slowdown: number
}

/** The request to be placed, with the candidates and their load. */
export interface PlacementRequest {
  readonly size: PromptSize
  /** Time within which the first event is due, from the arrival of the request. */
  readonly objective: Millis
  /** Time left until the first event is due; negative once it is late. */
  readonly timeLeft: Millis
  readonly pauseObjective: Millis | null
  readonly candidates: readonly Candidate[]
  readonly timing: EngineTimingModel
  readonly loads: ServerLoads
  /** Requests per second that all nodes send, over all services. */
  readonly arrivalsPerSecond: number
  readonly now: Millis
}

/** KV cache memory to be reserved on an engine that keeps part of another engine's prompt. */
export interface HolderReservation {
  readonly server: BackendServer
  readonly tokens: Tokens
}

/** The backend server that is chosen for a request, with its helpers and holders. */
export interface PlacementChoice {
  readonly server: BackendServer
  /** Engines that prefill segments of the prompt; holders come first. */
  readonly helpers: readonly BackendServer[]
  /** KV cache memory that must be reserved before the request is sent. */
  readonly holders: readonly HolderReservation[]
  /** Predicted time until the first event. */
  readonly timeToFirstEvent: Millis
  /** Whether the engine should admit it only after all requests that can still be on time, because it will be late for want of a slot. */
  readonly isDeferred: boolean
}

export abstract class PlacementPolicy {
  /**
   * @param request - the request to be placed, with the candidates and their load
   * @returns the choice; null if no candidate can accept the request now
   */
  abstract choose (request: PlacementRequest): PlacementChoice | null
}
