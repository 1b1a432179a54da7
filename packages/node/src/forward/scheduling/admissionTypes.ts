/** What the admission of waiting requests asks of the scheduler that it belongs to. */
import type { EngineTimingModel, Millis, PlacementRequest, Service } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { FleetState } from '../FleetState.js'
import type { PromisedRoom } from './PromisedRoom.js'
import type { AssignmentOwner, FinalPlacement, PlacementContext, PlacementSpec, PlacementTerms } from './types.js'

/** Runs an action after a delay. */
export type Timer = (run: () => void, delay: Millis) => void

/** Places attempts, and describes them to the forecast of free memory. */
export interface AttemptPlacer {
  readonly promisedRoom: PromisedRoom
  place (spec: PlacementSpec, owner: AssignmentOwner, context: PlacementContext, terms: PlacementTerms): FinalPlacement
  /** @returns whether the retry budget allows the attempt, which is then counted */
  count (spec: PlacementSpec): boolean
  /** @returns the attempt as the forecast sees it; null if its service is not known */
  placementRequest (spec: PlacementSpec): PlacementRequest | null
  modelOf (service: Service): EngineTimingModel
}

export interface AdmissionControlOptions {
  readonly scheduler: AttemptPlacer
  readonly fleetState: FleetState
  readonly log: Log
  readonly clock: () => Millis
  /** Clock on which the silence of other nodes is measured. */
  readonly runningClock: () => Millis
  /** Timers of the process if absent. */
  readonly setTimer?: Timer
}
