/** The backend servers of the fleet, as the store lists them, with what was learnt since. */
import type { Millis, RunnerId } from '../types.js'
import { Readiness } from './types.js'
import type { BackendServer } from './types.js'

/** How long an entry that lapsed while the store was away may take to come back after the store's return. */
export const LAPSED_ENTRY_GRACE: Millis = 2_000

/** Shortest outage in which entries lapse. */
export const SHORTEST_LAPSING_OUTAGE: Millis = 1_000

/** Why a backend server gets no more work. */
export const Departure = {
  Draining: 'draining',
  Removed: 'removed',
  /** Its entry lapsed in an outage and did not come back. */
  Lapsed: 'lapsed',
  /** Its address answers for another one. */
  Replaced: 'replaced',
  /** It started again under its id. */
  Restarted: 'restarted'
} as const
export type Departure = typeof Departure[keyof typeof Departure]

/** A change in which backend servers can be used. */
export type BackendServerChange =
  | { readonly type: 'arrived', readonly server: BackendServer }
  | { readonly type: 'departed', readonly server: BackendServer, readonly cause: Departure }

interface Entry {
  server: BackendServer
  /** Store revision of its last change. */
  revision: number
  /** Whether it went when the store was away or had just returned, and may come back. */
  lapsed: boolean
}

/** One entry as the store holds it. */
export interface ListedServer {
  readonly server: BackendServer
  readonly revision: number
}

/** Knows which backend servers may get work. */
export class BackendServerTable {
  readonly #entries = new Map<RunnerId, Entry>()
  readonly #replaced = new Set<RunnerId>()
  /** Entries that go before this time may have lapsed with the store, not with their server. */
  #doubtfulUntil: Millis = -Infinity
  #storeLostAt: Millis | null = null

  /**
   * The store cannot be reached.
   *
   * @param since - from when on it may have been away
   */
  storeLost (since: Millis): void {
    this.#storeLostAt ??= since
    this.#doubtfulUntil = Infinity
  }

  /**
   * The store answers again.
   *
   * @param now - time
   */
  storeRegained (now: Millis): void {
    if (this.#storeLostAt === null) return
    const outage = now - this.#storeLostAt
    this.#storeLostAt = null
    this.#doubtfulUntil = outage < SHORTEST_LAPSING_OUTAGE ? now : now + LAPSED_ENTRY_GRACE
  }

  /**
   * Takes an entry in.
   *
   * @param listed - the entry
   * @returns what changed
   */
  put ({ server, revision }: ListedServer): BackendServerChange[] {
    const known = this.#entries.get(server.id)
    if (known !== undefined && known.revision > revision) return []
    this.#entries.set(server.id, { server, revision, lapsed: false })
    return this.#changes(known?.server ?? null, server)
  }

  /**
   * An entry has gone.
   *
   * @param id - the backend server
   * @param revision - store revision at which it went
   * @param now - time
   * @param certain - whether the entry cannot have lapsed while its server lives
   * @returns what changed
   */
  remove (id: RunnerId, revision: number, now: Millis, certain = false): BackendServerChange[] {
    const entry = this.#entries.get(id)
    if (entry === undefined || entry.revision > revision) return []
    if (certain || now >= this.#doubtfulUntil) return this.#depart(entry, Departure.Removed)
    entry.lapsed = true
    return []
  }

  /**
   * Takes the whole list in; entries that it lacks have gone.
   *
   * @param listed - all entries
   * @param revision - store revision of the list
   * @param now - time
   * @param certain - whether the list keeps entries that may have lapsed while their servers live
   * @returns what changed
   */
  replace (listed: readonly ListedServer[], revision: number, now: Millis, certain = false): BackendServerChange[] {
    const present = new Set(listed.map(({ server }) => server.id))
    const absent = [...this.#entries.keys()].filter((id) => !present.has(id))
    return [...listed.flatMap((item) => this.put(item)), ...absent.flatMap((id) => this.remove(id, revision, now, certain))]
  }

  /**
   * Gives up entries that lapsed in an outage and are still missing.
   *
   * @param now - time
   * @returns what changed
   */
  expire (now: Millis): BackendServerChange[] {
    if (now < this.#doubtfulUntil) return []
    const lapsed = [...this.#entries.values()].filter((entry) => entry.lapsed)
    return lapsed.flatMap((entry) => this.#depart(entry, Departure.Lapsed))
  }

  /**
   * Another server answers at the address of this one.
   *
   * @param id - the server that was expected
   * @returns what changed
   */
  foundReplaced (id: RunnerId): BackendServerChange[] {
    const entry = this.#entries.get(id)
    if (entry === undefined || this.#replaced.has(id)) return []
    this.#replaced.add(id)
    return [{ type: 'departed', server: entry.server, cause: Departure.Replaced }]
  }

  /**
   * @param id - a backend server
   * @returns its entry, or null
   */
  find (id: RunnerId): BackendServer | null {
    return this.#entries.get(id)?.server ?? null
  }

  /**
   * @param service - name of a service
   * @returns the servers that take new work
   */
  ready (service: string): BackendServer[] {
    return this.all().filter((server) => server.service === service && server.readiness === Readiness.Ready && !this.#replaced.has(server.id))
  }

  /** @returns every server with an entry */
  all (): BackendServer[] {
    return [...this.#entries.values()].map(({ server }) => server)
  }

  /** @returns every entry with its revision */
  listed (): ListedServer[] {
    return [...this.#entries.values()].map(({ server, revision }) => ({ server, revision }))
  }

  #changes (before: BackendServer | null, after: BackendServer): BackendServerChange[] {
    if (before === null) return [{ type: 'arrived', server: after }]
    const restarted = after.startedAt !== null && before.startedAt !== null && after.startedAt !== before.startedAt
    if (restarted || after.address !== before.address) {
      this.#replaced.delete(after.id)
      return [{ type: 'departed', server: before, cause: Departure.Restarted }, { type: 'arrived', server: after }]
    }
    if (before.readiness === after.readiness) return []
    return after.readiness === Readiness.Ready
      ? [{ type: 'arrived', server: after }]
      : [{ type: 'departed', server: after, cause: Departure.Draining }]
  }

  #depart (entry: Entry, cause: Departure): BackendServerChange[] {
    this.#entries.delete(entry.server.id)
    this.#replaced.delete(entry.server.id)
    return entry.server.readiness === Readiness.Draining && cause === Departure.Removed
      ? []
      : [{ type: 'departed', server: entry.server, cause }]
  }
}
