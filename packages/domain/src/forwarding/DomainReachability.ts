/** Detects failure domains that this node cannot reach, from failed connections to backend servers there. */
import type { FailureDomain, Millis, RunnerId } from '../types.js'

/** Number of backend servers of one domain that must be unreachable, with none reached in between, before the domain is avoided. */
const UNREACHABLE_SERVER_THRESHOLD = 2

/** Time for which a domain is avoided before it is tried again. */
const AVOIDANCE_TIME: Millis = 1_000

interface DomainState {
  /** Backend servers that could not be reached since the last successful connection to the domain. */
  readonly unreachableServers: Set<RunnerId>
  avoidedUntil: Millis
}

/** Tracks which failure domains this node can connect to. */
export class DomainReachability {
  readonly #domains = new Map<FailureDomain, DomainState>()

  /**
   * Records that a backend server answered.
   *
   * @param domain - its failure domain
   */
  recordSuccess (domain: FailureDomain): void {
    this.#domains.delete(domain)
  }

  /**
   * Records that a backend server could not be reached.
   *
   * @param domain - its failure domain
   * @param server - the backend server
   * @param now - current time
   * @returns whether this failure starts a period in which the domain is avoided
   */
  recordFailure (domain: FailureDomain, server: RunnerId, now: Millis): boolean {
    const state = this.#domains.get(domain) ?? { unreachableServers: new Set<RunnerId>(), avoidedUntil: -Infinity }
    this.#domains.set(domain, state)
    state.unreachableServers.add(server)
    if (state.unreachableServers.size < UNREACHABLE_SERVER_THRESHOLD) return false
    const isNew = state.avoidedUntil <= now
    state.avoidedUntil = now + AVOIDANCE_TIME
    return isNew
  }

  /**
   * @param domain - a failure domain
   * @param now - current time
   * @returns whether its backend servers should be excluded from placement, also as helpers
   */
  isAvoided (domain: FailureDomain, now: Millis): boolean {
    return (this.#domains.get(domain)?.avoidedUntil ?? -Infinity) > now
  }
}
