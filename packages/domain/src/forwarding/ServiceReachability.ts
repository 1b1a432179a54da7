/** Decides whether this node itself reaches no backend server of a service, which is another fault than servers that are down. */
import type { Millis } from '../types.js'

/** State of one service. */
interface ServiceState {
  isReachable: boolean
  /** Whether a check of its servers is under way. */
  isChecking: boolean
  /** Time of the last failed connection or check. */
  failedAt: Millis
}

/** Services whose servers cannot be connected to. One failed connection starts a check of further servers, and the check decides. */
export class ServiceReachability {
  readonly #services = new Map<string, ServiceState>()

  /**
   * Records that a connection to a server of a service was not established.
   *
   * @param service - name of the service
   * @param now - current time
   * @returns whether a check of its servers has to begin
   */
  connectionFailed (service: string, now: Millis): boolean {
    const state = this.#services.get(service) ?? { isReachable: true, isChecking: false, failedAt: now }
    this.#services.set(service, state)
    state.failedAt = now
    if (state.isChecking || !state.isReachable) return false
    state.isChecking = true
    return true
  }

  /**
   * Records data from a server of a service. Connections that are older than the last failure say nothing of new ones.
   *
   * @param service - name of the service
   * @param connectedAt - time at which the connection was begun
   * @returns whether the service was unreachable
   */
  dataReceived (service: string, connectedAt: Millis): boolean {
    const state = this.#services.get(service)
    if (state === undefined || connectedAt <= state.failedAt) return false
    this.#services.delete(service)
    return !state.isReachable
  }

  /**
   * Records the result of a check.
   *
   * @param service - name of the service
   * @param isReached - whether a connection to one of its servers was established
   * @param now - current time
   * @returns whether this changes if the service is reachable
   */
  checked (service: string, isReached: boolean, now: Millis): boolean {
    const wasReachable = this.#services.get(service)?.isReachable ?? true
    if (isReached) this.#services.delete(service)
    else this.#services.set(service, { isReachable: false, isChecking: false, failedAt: now })
    return wasReachable !== isReached
  }

  /**
   * @param service - name of the service
   * @returns whether this node reaches none of its servers
   */
  isUnreachable (service: string): boolean {
    return this.#services.get(service)?.isReachable === false
  }

  /**
   * @param service - name of the service
   * @returns whether it is unreachable, or a check of it is under way: failed connections say nothing of single servers then
   */
  isInDoubt (service: string): boolean {
    const state = this.#services.get(service)
    return state !== undefined && (!state.isReachable || state.isChecking)
  }
}
