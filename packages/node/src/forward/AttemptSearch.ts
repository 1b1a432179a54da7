/** Looks for a backend server for the next attempt of one request. */
import { isMemoryBound } from '@bluebellhill/domain'
import type { AttemptHistory } from '@bluebellhill/domain'

import type { AdmittedCall } from './AdmittedCall.js'
import type { RequestGuard } from './quarantine/RequestGuard.js'
import type { RequestLog } from './RequestLog.js'
import type { PlacementClient, WaitTerms } from './scheduling/PlacementClient.js'
import { PlacementRefusal } from './scheduling/types.js'
import type { AttemptPlacement, PlacementSpec, RefusedPlacement } from './scheduling/types.js'
import type { StartLimit } from './stop/StartLimit.js'

/** Result of a search for a request that must not be sent. */
const QUARANTINED: RefusedPlacement = { type: 'refused', reason: PlacementRefusal.Quarantined, retryAfter: null }

/** Result of a search for a request that this node, which is stopping, could not answer in time. */
export const NODE_STOPPING: RefusedPlacement = { type: 'refused', reason: PlacementRefusal.NodeStopping, retryAfter: null }

export interface AttemptSearchOptions {
  readonly placement: PlacementClient
  readonly call: AdmittedCall
  /** Earlier attempts of the request. */
  readonly history: AttemptHistory
  readonly guard: RequestGuard
  readonly requestLog: RequestLog
  /** Time until which an attempt may begin. */
  readonly startLimit: StartLimit
  /** Ends the wait for a placement, because the request is over. */
  readonly signal: AbortSignal
}

/** Has attempts placed by the scheduler. */
export class AttemptSearch {
  readonly #options: AttemptSearchOptions

  /** @param options - the request, and its earlier attempts */
  constructor (options: AttemptSearchOptions) {
    this.#options = options
  }

  /**
   * Places the next attempt. An error fails this request only, and not the process with all others.
   *
   * @param chargesRetry - whether the attempt takes from the retry budget
   * @param terms - whether it may wait for memory or a slot of a backend server, and whether it is a second attempt beside one in progress
   * @returns the placed attempt, or why there is none
   */
  async find (chargesRetry: boolean, terms: Omit<WaitTerms, 'signal'> = { mayWait: true }): Promise<AttemptPlacement> {
    const { placement, call, history, guard, requestLog, startLimit, signal } = this.#options
    const caution = guard.caution()
    if (caution === null) return QUARANTINED
    if (startLimit.isOver()) return NODE_STOPPING
    try {
      return this.#unlessTooLate(await placement.place(call, history, chargesRetry, { ...caution, ...this.#identity() }, { ...terms, signal }))
    } catch (error) {
      requestLog.placementFailed(error)
      return { type: 'refused', reason: 'choosing a backend server failed', retryAfter: null }
    }
  }

  #unlessTooLate (found: AttemptPlacement): AttemptPlacement {
    if (found.type === 'refused' || !this.#options.startLimit.isOver(found.attempt.choice.timeToFirstEvent)) return found
    this.discard(found)
    return NODE_STOPPING
  }

  /** Large bodies take long to digest, so that only requests to which memory may be promised have an identity. */
  #identity (): Pick<PlacementSpec, 'identity'> {
    const { call: { service: { engine } }, guard } = this.#options
    return engine !== null && isMemoryBound(engine) ? { identity: guard.identity() } : {}
  }

  /** Frees the place that a search has found, if no attempt will be made there. */
  discard (found: AttemptPlacement): void {
    if (found.type === 'placed') this.#options.placement.removeAssignment(found.attempt, null)
  }
}
