/** Notices failure domains that this node cannot reach, from the servers there that it could not connect to. */
import type { FailureDomain, Millis, RunnerId } from '../types.js'

/** Servers of one domain that must be unreachable, with none reached in between, before the domain is avoided. */
const UNREACHABLE_SERVER_THRESHOLD = 2

/** How long a domain is avoided before it is tried again. */
const AVOIDANCE_TIME: Millis = 1_000

interface DomainState {
  /** Servers that could not be reached since one was. */
  readonly unreachableServers: Set<RunnerId>
  avoidedUntil: Millis
}

/** Knows which failure domains are cut off from this node. */
export class DomainReachability {
  readonly #domains = new Map<FailureDomain, DomainState>()

  /**
   * A server answered.
   *
   * @param domain - its failure domain
   */
  recordSuccess (domain: FailureDomain): void {
    this.#domains.delete(domain)
  }

  /**
   * A server could not be reached.
   *
   * @param domain - its failure domain
   * @param server - the server
   * @param now - time
   * @returns whether the domain is avoided from now on and was not before
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
   * @param now - time
   * @returns whether its servers should get no work, and lend none to others
   */
  isAvoided (domain: FailureDomain, now: Millis): boolean {
    return (this.#domains.get(domain)?.avoidedUntil ?? -Infinity) > now
  }
}
