/** Records until when each backend server counts as cold: from its entry, its start time, its answers, and the return of its failure domain. */
import type { FailureDomain, Millis, RunnerId } from '../types.js'
import type { ServerEntry } from './BackendServerTable.js'
import type { StoreRevision } from './storeRevision.js'
import type { BackendServer } from './types.js'

/** Assumed difference between the wall clocks of a node and of a backend server; servers count as cold for this much longer after their start. */
export const CLOCK_TOLERANCE: Millis = 1_000

/** Longest warm-up that a server can state. Longer statements are taken for faults, and would limit the server for good. */
export const MAX_WARM_UP: Millis = 60_000

/** Extension of a warm-up that is no news: each response states what is left anew. */
const MINOR_EXTENSION: Millis = 500

/** Share of the servers of a failure domain that have to be cold for the others to be limited too. */
const MOSTLY_COLD_SHARE = 0.5

/** Time for which the count of cold servers of a failure domain is used. */
const COUNT_RETENTION: Millis = 20

interface WarmUpRecord {
  /** Store revision of the entry that it is derived from. */
  revision: StoreRevision
  /** Wall-clock start time in that entry. */
  startedAt: number | null
  /** Time on this node's clock from which the service's warm-up period counts. */
  countsFrom: Millis
  /** End of the warm-up by the last entry that states one; null if none does. */
  statedUntil: Millis | null
  /** End of the warm-up by answers, and by the return of the failure domain; an entry that states a warm-up later takes its place. */
  extendedUntil: Millis
}

/** Servers of one service in one failure domain. */
interface ServerGroup {
  readonly records: Map<RunnerId, WarmUpRecord>
  countedAt: Millis
  isMostlyCold: boolean
}

/** Warm-ups of all known backend servers. */
export class WarmUps {
  readonly #periodOf: (service: string) => Millis | null
  readonly #groups = new Map<string, ServerGroup>()
  readonly #groupOfServer = new Map<RunnerId, ServerGroup>()

  /** @param periodOf - returns the time for which servers of a service are cold after their start; null if its configuration states none */
  constructor (periodOf: (service: string) => Millis | null) {
    this.#periodOf = periodOf
  }

  /**
   * Records the warm-up that follows from an entry. An entry that is known already has no effect: it arrives again with each list, and what it
   * states holds from its writing.
   *
   * @param entry - the entry
   * @param now - time of its arrival
   * @param wallNow - the same time on the wall clock, with which start times are compared
   * @returns whether it was not known
   */
  entryArrived ({ server, revision }: ServerEntry, now: Millis, wallNow: number): boolean {
    const existing = this.#recordOf(server)
    if (existing !== undefined && revision <= existing.revision) return false
    const statedUntil = isUsable(server.warmUpLeft) ? now + Math.min(server.warmUpLeft, MAX_WARM_UP) : null
    if (existing === undefined || existing.startedAt !== server.startedAt) {
      this.#set(server, { revision, startedAt: server.startedAt, countsFrom: startOnOwnClock(server.startedAt, now, wallNow), statedUntil, extendedUntil: -Infinity })
      return true
    }
    existing.revision = revision
    if (statedUntil === null) return true
    existing.statedUntil = statedUntil
    existing.extendedUntil = -Infinity
    return true
  }

  /**
   * Records what a server states in a response. It can only lengthen the warm-up: the response may have been sent before the server got cold again.
   *
   * @param server - the backend server
   * @param left - time for which it stays cold
   * @param now - time at which the response arrived
   * @returns whether it was not known to be cold, or not for nearly as long; false also if the time is not a usable number
   */
  stated (server: BackendServer, left: Millis, now: Millis): boolean {
    return isUsable(left) && this.#extend(server, now + Math.min(left, MAX_WARM_UP), now)
  }

  /**
   * Records that servers may be cold, since their failure domain got no requests for some time.
   *
   * @param servers - the servers of the failure domain, which may get requests again
   * @param now - current time
   * @returns the servers that were not known to be cold, or not for nearly as long
   */
  domainReturned (servers: readonly BackendServer[], now: Millis): BackendServer[] {
    return servers.filter((server) => this.#extend(server, now + (this.#periodOf(server.service) ?? 0), now))
  }

  /**
   * @param server - a backend server
   * @param now - current time
   * @returns time for which it stays cold; 0 if it is warm, or if its service states no warm-up
   */
  left (server: BackendServer, now: Millis): Millis {
    return Math.max(0, this.#coldUntil(server) - now)
  }

  /**
   * A server that has warmed up keeps the limit of a cold one while most servers of its failure domain are cold, for one more period at most:
   * if a whole failure domain returns, the first warm server would get the load of all others.
   *
   * @param server - a backend server
   * @param now - current time
   * @returns time for which it gets requests as a cold one at the most; 0 if it is not limited
   */
  limitedFor (server: BackendServer, now: Millis): Millis {
    const coldUntil = this.#coldUntil(server)
    if (now < coldUntil) return coldUntil - now
    const period = this.#periodOf(server.service) ?? 0
    return now < coldUntil + period && this.#isMostlyCold(server, period, now) ? coldUntil + period - now : 0
  }

  /**
   * @param now - current time
   * @param services - the services that state a warm-up
   * @returns the number of their cold servers
   */
  count (now: Millis, services: readonly string[]): number {
    return services.reduce((sum, service) => {
      const period = this.#periodOf(service) ?? 0
      const groups = [...this.#groups].filter(([key]) => key.startsWith(`${service}\u0000`))
      return sum + groups.reduce((cold, [, { records }]) => cold + coldCount(records, period, now), 0)
    }, 0)
  }

  /**
   * Discards what is known of a server that was removed or has restarted.
   *
   * @param id - the backend server
   */
  remove (id: RunnerId): void {
    this.#groupOfServer.get(id)?.records.delete(id)
    this.#groupOfServer.delete(id)
  }

  #recordOf ({ id }: BackendServer): WarmUpRecord | undefined {
    return this.#groupOfServer.get(id)?.records.get(id)
  }

  #coldUntil (server: BackendServer): Millis {
    const record = this.#recordOf(server)
    const period = this.#periodOf(server.service)
    return record === undefined || period === null ? -Infinity : coldUntil(record, period)
  }

  #extend (server: BackendServer, until: Millis, now: Millis): boolean {
    const before = this.#coldUntil(server)
    if (until <= Math.max(now, before) || this.#periodOf(server.service) === null) return false
    const record = this.#recordOf(server)
    if (record === undefined) this.#set(server, { revision: -Infinity, startedAt: server.startedAt, countsFrom: -Infinity, statedUntil: null, extendedUntil: until })
    else record.extendedUntil = until
    return until - before > MINOR_EXTENSION || before <= now
  }

  #set (server: BackendServer, record: WarmUpRecord): void {
    this.remove(server.id)
    const group = this.#groupFor(server.service, server.failureDomain)
    group.records.set(server.id, record)
    this.#groupOfServer.set(server.id, group)
  }

  #groupFor (service: string, domain: FailureDomain): ServerGroup {
    const key = `${service}\u0000${domain}`
    const existing = this.#groups.get(key)
    if (existing !== undefined) return existing
    const group: ServerGroup = { records: new Map(), countedAt: -Infinity, isMostlyCold: false }
    this.#groups.set(key, group)
    return group
  }

  #isMostlyCold ({ id }: BackendServer, period: Millis, now: Millis): boolean {
    const group = this.#groupOfServer.get(id)
    if (group === undefined) return false
    if (now - group.countedAt >= COUNT_RETENTION) {
      group.countedAt = now
      group.isMostlyCold = coldCount(group.records, period, now) > MOSTLY_COLD_SHARE * group.records.size
    }
    return group.isMostlyCold
  }
}

const isUsable = (left: Millis | undefined): left is Millis => left !== undefined && Number.isFinite(left) && left >= 0

/** A server without a start time counts from the arrival of its first entry. A start time in the future shows that the wall clocks differ. */
const startOnOwnClock = (startedAt: number | null, now: Millis, wallNow: number): Millis =>
  startedAt === null ? now : Math.min(now, now - (wallNow - startedAt) + CLOCK_TOLERANCE)

const coldUntil = ({ countsFrom, statedUntil, extendedUntil }: WarmUpRecord, period: Millis): Millis =>
  Math.max(extendedUntil, statedUntil ?? countsFrom + period)

const coldCount = (records: ReadonlyMap<RunnerId, WarmUpRecord>, period: Millis, now: Millis): number =>
  [...records.values()].filter((record) => coldUntil(record, period) > now).length
