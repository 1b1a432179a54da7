/** Keeps the list of backend servers from the store, and decides which missing entries are real removals. */
import type { Millis, RunnerId } from '../types.js'
import { Readiness } from './types.js'
import type { BackendServer } from './types.js'

/** Time after the store's return within which an entry that expired during the outage may be registered again. */
export const EXPIRED_ENTRY_GRACE: Millis = 2_000

/** Shortest store outage in which entries can expire. */
export const MIN_EXPIRY_OUTAGE: Millis = 1_000

/** Reason why a backend server gets no more requests. */
export const DepartureCause = {
  Draining: 'draining',
  Removed: 'removed',
  /** Its entry expired during a store outage and was not registered again. */
  Expired: 'lapsed',
  /** Another backend server answers at its address. */
  Replaced: 'replaced',
  /** It restarted under the same id, or its address changed. */
  Restarted: 'restarted'
} as const
export type DepartureCause = typeof DepartureCause[keyof typeof DepartureCause]

/** A change to the set of backend servers that can be used. */
export type BackendServerChange =
  | { readonly type: 'arrived', readonly server: BackendServer }
  | { readonly type: 'departed', readonly server: BackendServer, readonly cause: DepartureCause }

interface TableEntry {
  server: BackendServer
  /** Store revision of its last change. */
  revision: number
  /** Whether the store dropped it during or right after an outage, so that it may be registered again. */
  mayReturn: boolean
}

/** Entry of a backend server in the store. */
export interface ServerEntry {
  readonly server: BackendServer
  readonly revision: number
  /** Whether the store no longer has it, because of an outage, and its server may register again. */
  readonly isLapsed?: boolean
}

/** Tracks which backend servers may get new requests. */
export class BackendServerTable {
  readonly #entries = new Map<RunnerId, TableEntry>()
  readonly #replaced = new Set<RunnerId>()
  /** An entry that disappears before this time may have expired because of a store outage while its server still runs. */
  #graceEndsAt: Millis = -Infinity
  #storeLostAt: Millis | null = null

  /**
   * Records that the store cannot be reached.
   *
   * @param since - earliest time at which it may have become unreachable
   */
  storeLost (since: Millis): void {
    this.#storeLostAt ??= since
    this.#graceEndsAt = Infinity
  }

  /**
   * Records that the store answers again.
   *
   * @param now - current time
   */
  storeRegained (now: Millis): void {
    if (this.#storeLostAt === null) return
    const outage = now - this.#storeLostAt
    this.#storeLostAt = null
    this.#graceEndsAt = outage < MIN_EXPIRY_OUTAGE ? now : now + EXPIRED_ENTRY_GRACE
  }

  /**
   * Adds or updates an entry; an entry older than the stored one is ignored.
   *
   * @param entry - the entry
   * @returns the resulting changes
   */
  put ({ server, revision, isLapsed = false }: ServerEntry): BackendServerChange[] {
    const existing = this.#entries.get(server.id)
    if (existing !== undefined && existing.revision > revision) return []
    this.#entries.set(server.id, { server, revision, mayReturn: isLapsed })
    return this.#changes(existing?.server ?? null, server)
  }

  /**
   * Removes an entry that the store no longer has. During an outage and its grace period an unconfirmed removal is only marked.
   *
   * @param id - the backend server
   * @param revision - store revision of the removal
   * @param now - current time
   * @param isConfirmed - whether the entry cannot merely have expired while its server runs
   * @returns the resulting changes
   */
  remove (id: RunnerId, revision: number, now: Millis, isConfirmed = false): BackendServerChange[] {
    const entry = this.#entries.get(id)
    if (entry === undefined || entry.revision > revision) return []
    if (isConfirmed || now >= this.#graceEndsAt) return this.#removeEntry(entry, DepartureCause.Removed)
    entry.mayReturn = true
    return []
  }

  /**
   * Replaces the whole list; entries that are missing from it are removed.
   *
   * @param entries - all entries
   * @param revision - store revision of the list
   * @param now - current time
   * @param isConfirmed - whether the list still contains entries that may have expired while their servers run
   * @param unchanged - ids of entries that the list contains without their contents
   * @returns the resulting changes
   */
  replaceAll (entries: readonly ServerEntry[], revision: number, now: Millis, isConfirmed = false, unchanged: readonly RunnerId[] = []): BackendServerChange[] {
    const present = new Set([...unchanged, ...entries.map(({ server }) => server.id)])
    if (entries.some(({ isLapsed }) => isLapsed)) this.#graceEndsAt = Math.max(this.#graceEndsAt, now + EXPIRED_ENTRY_GRACE)
    const absent = [...this.#entries.keys()].filter((id) => !present.has(id))
    return [...entries.flatMap((entry) => this.put(entry)), ...absent.flatMap((id) => this.remove(id, revision, now, isConfirmed))]
  }

  /**
   * Removes entries that expired in a store outage and were not registered again within the grace period.
   *
   * @param now - current time
   * @returns the resulting changes
   */
  expire (now: Millis): BackendServerChange[] {
    if (now < this.#graceEndsAt) return []
    const missing = [...this.#entries.values()].filter((entry) => entry.mayReturn)
    return missing.flatMap((entry) => this.#removeEntry(entry, DepartureCause.Expired))
  }

  /**
   * Excludes a backend server from new requests because another one answers at its address.
   *
   * @param id - the backend server that was expected there
   * @returns the resulting changes
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
   * @returns its backend servers that accept new requests
   */
  ready (service: string): BackendServer[] {
    return this.all().filter((server) => server.service === service && server.readiness === Readiness.Ready && !this.#replaced.has(server.id))
  }

  /** @returns all backend servers that have an entry */
  all (): BackendServer[] {
    return [...this.#entries.values()].map(({ server }) => server)
  }

  /** @returns all entries with their revisions */
  entries (): ServerEntry[] {
    return [...this.#entries.values()].map(({ server, revision, mayReturn }) => ({ server, revision, ...(mayReturn ? { isLapsed: true } : {}) }))
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
