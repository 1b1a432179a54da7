/** Lets requests of memory-bound services wait at the scheduler until an engine has the memory and a slot for them. */
import { isMemoryBound, RENEWAL_PERIOD } from '@bluebellhill/domain'
import type { AdmissionKey, Millis } from '@bluebellhill/domain'

import type { AdmissionControlOptions, Timer } from './admissionTypes.js'
import { ServiceAdmission } from './ServiceAdmission.js'
import { GROUP_CONTEXT, NO_TERMS } from './types.js'
import type { AssignmentOwner, PlacementResult, PlacementSpec, PlacementWaiter } from './types.js'

/**
 * Shortest time between two rounds in which waiting requests are placed. Engines free memory up to some hundred times a second; one
 * round serves all that became free meanwhile.
 */
const MIN_ROUND_INTERVAL: Millis = 10

/** Longest time between two rounds while requests wait, for memory that becomes free without a report. */
const MAX_ROUND_INTERVAL: Millis = 50

/** Waiting requests of all services. */
export class AdmissionControl {
  readonly #options: AdmissionControlOptions
  readonly #setTimer: Timer
  readonly #services = new Map<string, ServiceAdmission>()
  /** Whether memory or a slot may have become free since the last round. */
  #isRoomFreed = false
  #lastRoundAt: Millis = -Infinity
  #nextRoundAt: Millis = Infinity

  /** @param options - the scheduler that places the requests */
  constructor (options: AdmissionControlOptions) {
    this.#options = options
    this.#setTimer = options.setTimer ?? ((run, delay) => { setTimeout(run, delay).unref() })
  }

  /** Number of requests that wait. */
  get waitingCount (): number {
    return [...this.#services.values()].reduce((sum, { queue }) => sum + queue.length, 0)
  }

  /** Number of engines whose free memory is kept for waiting requests. */
  get heldCount (): number {
    return [...this.#services.values()].reduce((sum, { queue }) => sum + queue.heldCount, 0)
  }

  /**
   * Places an attempt for the nodes of the group, or lets it wait; or renews one that waits.
   *
   * @param spec - the attempt
   * @param owner - node that sends it, with the number of the assignment there
   * @param waiter - how the node gets a placement that is decided later
   * @returns the decision
   */
  place (spec: PlacementSpec, owner: AssignmentOwner, waiter: PlacementWaiter): PlacementResult {
    const { scheduler, clock, runningClock } = this.#options
    const key: AdmissionKey = { ...owner, startedAt: waiter.startedAt }
    if (this.#services.get(spec.service)?.queue.renew(key, clock(), runningClock()) === true) return { type: 'queued', renewAfter: RENEWAL_PERIOD }
    const isCounted = (spec.waited ?? 0) > 0
    const admission = this.#admissionOf(spec.service)
    if (admission === null) return scheduler.place(spec, owner, GROUP_CONTEXT, { ...NO_TERMS, isCounted })
    if (this.#isRoomFreed && clock() - this.#lastRoundAt >= MIN_ROUND_INTERVAL) this.#runRound()
    const result = admission.place({ spec, owner, key, isCounted, deliver: waiter.deliver })
    if (result.type === 'queued') this.#planRound(MAX_ROUND_INTERVAL)
    return result
  }

  /**
   * Removes a request whose node has given it up.
   *
   * @param key - the request
   */
  withdraw (key: AdmissionKey): void {
    for (const admission of this.#services.values()) if (admission.withdraw(key)) this.roomFreed()
  }

  /** Serves the waiting requests soon, because memory or a slot may have become free. */
  roomFreed (): void {
    if (this.waitingCount === 0) return
    this.#isRoomFreed = true
    this.#planRound(Math.max(0, this.#lastRoundAt + MIN_ROUND_INTERVAL - this.#options.clock()))
  }

  /** @returns null unless the service is memory-bound */
  #admissionOf (name: string): ServiceAdmission | null {
    const service = this.#options.fleetState.routeTable?.service(name) ?? null
    if (service?.engine == null || !isMemoryBound(service.engine)) return null
    const existing = this.#services.get(name)
    const admission = existing ?? new ServiceAdmission(service, this.#options)
    admission.service = service
    this.#services.set(name, admission)
    return admission
  }

  #planRound (delay: Millis): void {
    const at = this.#options.clock() + delay
    if (this.#nextRoundAt <= at) return
    this.#nextRoundAt = at
    this.#setTimer(() => {
      // A round that was planned for an earlier time has taken its place.
      if (this.#nextRoundAt === at) this.#runRound()
    }, delay)
  }

  #runRound (): void {
    this.#lastRoundAt = this.#options.clock()
    this.#nextRoundAt = Infinity
    this.#isRoomFreed = false
    const isUnfinished = [...this.#services.values()].map((admission) => admission.serve()).includes(true)
    if (this.waitingCount > 0) this.#planRound(isUnfinished ? MIN_ROUND_INTERVAL : MAX_ROUND_INTERVAL)
  }
}
