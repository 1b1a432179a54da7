/** Notices failure domains that this node cannot reach, from the servers there that it could not connect to. */
import type { FailureDomain, Millis, RunnerId } from '../types.js'

/** Servers of one domain that must be unreachable, with none reached in between, before the domain is avoided. */
const UNREACHABLE_SERVERS = 2

/** How long a domain is avoided before it is tried again. */
const AVOIDANCE: Millis = 1_000

interface Reach {
  /** Servers that could not be reached since one was. */
  readonly failed: Set<RunnerId>
  avoidedUntil: Millis
}

/** Knows which failure domains are cut off from this node. */
export class DomainReach {
  readonly #domains = new Map<FailureDomain, Reach>()

  /**
   * A server answered.
   *
   * @param domain - its failure domain
   */
  reached (domain: FailureDomain): void {
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
  unreachable (domain: FailureDomain, server: RunnerId, now: Millis): boolean {
    const reach = this.#domains.get(domain) ?? { failed: new Set<RunnerId>(), avoidedUntil: -Infinity }
    this.#domains.set(domain, reach)
    reach.failed.add(server)
    if (reach.failed.size < UNREACHABLE_SERVERS) return false
    const isNew = reach.avoidedUntil <= now
    reach.avoidedUntil = now + AVOIDANCE
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
