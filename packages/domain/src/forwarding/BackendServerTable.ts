/** The backend servers of the fleet, as the store lists them, with what was learnt since. */
import type { Millis, RunnerId } from '../types.js'
import { Readiness } from './types.js'
import type { BackendServer } from './types.js'

/** How long an entry that lapsed while the store was away may take to come back after the store's return. */
export const EXPIRED_ENTRY_GRACE: Millis = 2_000

/** Shortest outage in which entries lapse. */
export const MIN_EXPIRY_OUTAGE: Millis = 1_000

/** Why a backend server gets no more work. */
export const DepartureCause = {
  Draining: 'draining',
  Removed: 'removed',
  /** Its entry lapsed in an outage and did not come back. */
  Expired: 'lapsed',
  /** Its address answers for another one. */
  Replaced: 'replaced',
  /** It started again under its id. */
  Restarted: 'restarted'
} as const
export type DepartureCause = typeof DepartureCause[keyof typeof DepartureCause]

/** A change in which backend servers can be used. */
export type BackendServerChange =
  | { readonly type: 'arrived', readonly server: BackendServer }
  | { readonly type: 'departed', readonly server: BackendServer, readonly cause: DepartureCause }

interface TableEntry {
  server: BackendServer
  /** Store revision of its last change. */
  revision: number
  /** Whether it went when the store was away or had just returned, and may come back. */
  mayReturn: boolean
}

/** One entry as the store holds it. */
export interface ServerEntry {
  readonly server: BackendServer
  readonly revision: number
}

/** Knows which backend servers may get work. */
export class BackendServerTable {
  readonly #entries = new Map<RunnerId, TableEntry>()
  readonly #replaced = new Set<RunnerId>()
  /** Entries that go before this time may have lapsed with the store, not with their server. */
  #graceEndsAt: Millis = -Infinity
  #storeLostAt: Millis | null = null

  /**
   * The store cannot be reached.
   *
   * @param since - from when on it may have been away
   */
  storeLost (since: Millis): void {
    this.#storeLostAt ??= since
    this.#graceEndsAt = Infinity
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
    this.#graceEndsAt = outage < MIN_EXPIRY_OUTAGE ? now : now + EXPIRED_ENTRY_GRACE
  }

  /**
   * Takes an entry in.
   *
   * @param listed - the entry
   * @returns what changed
   */
  put ({ server, revision }: ServerEntry): BackendServerChange[] {
    const existing = this.#entries.get(server.id)
    if (existing !== undefined && existing.revision > revision) return []
    this.#entries.set(server.id, { server, revision, mayReturn: false })
    return this.#changes(existing?.server ?? null, server)
  }

  /**
   * An entry has gone.
   *
   * @param id - the backend server
   * @param revision - store revision at which it went
   * @param now - time
   * @param isConfirmed - whether the entry cannot have lapsed while its server lives
   * @returns what changed
   */
  remove (id: RunnerId, revision: number, now: Millis, isConfirmed = false): BackendServerChange[] {
    const entry = this.#entries.get(id)
    if (entry === undefined || entry.revision > revision) return []
    if (isConfirmed || now >= this.#graceEndsAt) return this.#removeEntry(entry, DepartureCause.Removed)
    entry.mayReturn = true
    return []
  }

  /**
   * Takes the whole list in; entries that it lacks have gone.
   *
   * @param entries - all entries
   * @param revision - store revision of the list
   * @param now - time
   * @param isConfirmed - whether the list keeps entries that may have lapsed while their servers live
   * @returns what changed
   */
  replaceAll (entries: readonly ServerEntry[], revision: number, now: Millis, isConfirmed = false): BackendServerChange[] {
    const present = new Set(entries.map(({ server }) => server.id))
    const absent = [...this.#entries.keys()].filter((id) => !present.has(id))
    return [...entries.flatMap((entry) => this.put(entry)), ...absent.flatMap((id) => this.remove(id, revision, now, isConfirmed))]
  }

  /**
   * Gives up entries that lapsed in an outage and are still missing.
   *
   * @param now - time
   * @returns what changed
   */
  expire (now: Millis): BackendServerChange[] {
    if (now < this.#graceEndsAt) return []
    const missing = [...this.#entries.values()].filter((entry) => entry.mayReturn)
    return missing.flatMap((entry) => this.#removeEntry(entry, DepartureCause.Expired))
  }

  /**
   * Another server answers at the address of this one.
   *
   * @param id - the server that was expected
   * @returns what changed
   */
  markReplaced (id: RunnerId): BackendServerChange[] {
    const entry = this.#entries.get(id)
    if (entry === undefined || this.#replaced.has(id)) return []
    this.#replaced.add(id)
    return [{ type: 'departed', server: entry.server, cause: DepartureCause.Replaced }]
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
  entries (): ServerEntry[] {
    return [...this.#entries.values()].map(({ server, revision }) => ({ server, revision }))
  }

  #changes (before: BackendServer | null, after: BackendServer): BackendServerChange[] {
    if (before === null) return [{ type: 'arrived', server: after }]
    const restarted = after.startedAt !== null && before.startedAt !== null && after.startedAt !== before.startedAt
    if (restarted || after.address !== before.address) {
      this.#replaced.delete(after.id)
      return [{ type: 'departed', server: before, cause: DepartureCause.Restarted }, { type: 'arrived', server: after }]
    }
    if (before.readiness === after.readiness) return []
    return after.readiness === Readiness.Ready
      ? [{ type: 'arrived', server: after }]
      : [{ type: 'departed', server: after, cause: DepartureCause.Draining }]
  }

  #removeEntry (entry: TableEntry, cause: DepartureCause): BackendServerChange[] {
    this.#entries.delete(entry.server.id)
    this.#replaced.delete(entry.server.id)
    return entry.server.readiness === Readiness.Draining && cause === DepartureCause.Removed
      ? []
      : [{ type: 'departed', server: entry.server, cause }]
  }
}
