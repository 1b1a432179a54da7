/** Keeps the list of backend servers from the store, and decides which missing entries are real removals. */
import type { Millis, RunnerId } from '../types.js'
import { eraOf } from './storeRevision.js'
import type { StoreRevision } from './storeRevision.js'
import { Readiness } from './types.js'
import type { BackendServer } from './types.js'

/** Time after the store's return within which an entry that expired during the outage may be registered again. */
export const EXPIRED_ENTRY_GRACE: Millis = 2_000

/** Time for which removed servers are remembered: a copy from which the store is restored may still contain them. */
const DEPARTURE_RETENTION: Millis = 60_000

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
  revision: StoreRevision
  /** Whether the store dropped it during or right after an outage, so that it may be registered again. */
  mayReturn: boolean
  /** Until when another node keeps it then; null if that is up to the grace period of this node. */
  keptUntil: Millis | null
}

/** Entry of a backend server in the store. */
export interface ServerEntry {
  readonly server: BackendServer
  readonly revision: StoreRevision
  /** Whether the store no longer has it, because of an outage, and its server may register again. */
  readonly isLapsed?: boolean
  /** Time for which it is still kept then; absent if that is not known. */
  readonly keptFor?: Millis
}

interface Departure {
  readonly service: string
  readonly startedAt: number | null
  /** Store revision of the entry that was removed. */
  readonly revision: StoreRevision
  readonly at: Millis
}

/** Tracks which backend servers may get new requests. */
export class BackendServerTable {
  readonly #entries = new Map<RunnerId, TableEntry>()
  readonly #replaced = new Set<RunnerId>()
  /**
   * Entries of a store that was restored from a copy and that contradict what was known before. They may be older: what is known
   * stays in force until they are written again, or until the grace period ends.
   */
  readonly #withheld = new Map<RunnerId, ServerEntry>()
  /** Servers that were removed lately. */
  readonly #departures = new Map<RunnerId, Departure>()
  /** Era of the store's last list; null before the first one. */
  #era: number | null = null
  #restoreGraceEndsAt: Millis = -Infinity
  /** An entry that disappears before this time may have expired because of a store outage while its server still runs. */
  #graceEndsAt: Millis = -Infinity
  #storeLostAt: Millis | null = null
  /** Revision of the first answer on the entries after the last outage: what was removed later was removed by a store that serves. */
  #returnRevision: StoreRevision = Infinity

  /**
   * Records that the store cannot be reached.
   *
   * @param since - earliest time at which it may have become unreachable
   */
  storeLost (since: Millis): void {
    this.#storeLostAt ??= since
    this.#returnRevision = Infinity
  }

  /**
   * Ends a loss of the store. After one that is long enough for entries to expire, missing entries are kept for a grace period.
   *
   * @param now - current time
   */
  storeRegained (now: Millis): void {
    if (this.#storeLostAt === null) return
    const outage = now - this.#storeLostAt
    this.#storeLostAt = null
    // A short loss may follow the return from a long one.
    if (outage >= MIN_EXPIRY_OUTAGE) this.#graceEndsAt = now + EXPIRED_ENTRY_GRACE
  }

  /**
   * Records that the store has answered a call on the entries, after its changes were applied.
   *
   * @param revision - store revision up to which the entries are known; the first after an outage contains all that expired in it
   */
  storeAnswered (revision: StoreRevision): void {
    if (this.#storeLostAt === null) this.#returnRevision = Math.min(this.#returnRevision, revision)
  }

  /**
   * Adds or updates an entry; an entry older than the stored one is ignored, and one that another node keeps over an outage if this
   * node knows that it was removed.
   *
   * @param entry - the entry
   * @param keptUntil - until when another node keeps an entry that the store no longer has
   * @returns the resulting changes
   */
  put ({ server, revision, isLapsed = false }: ServerEntry, keptUntil: Millis | null = null): BackendServerChange[] {
    const existing = this.#entries.get(server.id)
    if (existing !== undefined && existing.revision > revision) return []
    if (existing === undefined && isLapsed && revision <= (this.#departures.get(server.id)?.revision ?? -Infinity)) return []
    this.#withheld.delete(server.id)
    // Several nodes may keep it; the one that has seen the store return first knows best until when.
    const isKeptAlready = existing?.mayReturn === true && keptUntil !== null
    this.#entries.set(server.id, { server, revision, mayReturn: isLapsed, keptUntil: isKeptAlready ? Math.min(this.#keptUntil(existing), keptUntil) : keptUntil })
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
  remove (id: RunnerId, revision: StoreRevision, now: Millis, isConfirmed = false): BackendServerChange[] {
    this.#withheld.delete(id)
    const entry = this.#entries.get(id)
    if (entry === undefined || entry.revision > revision) return []
    const isKept = this.#isInGrace(now) || (entry.mayReturn && now < this.#keptUntil(entry))
    if (isConfirmed || !isKept) return this.#removeEntry(entry, DepartureCause.Removed, now)
    entry.mayReturn = true
    return []
  }

  /**
   * @param revision - store revision at which an entry was removed
   * @param now - current time
   * @returns whether a store that was serving again has removed it, so that it has not expired in an outage
   */
  isRemovedWhileServing (revision: StoreRevision, now: Millis): boolean {
    return this.#storeLostAt === null && revision > this.#returnRevision && now >= this.#restoreGraceEndsAt
  }

  /**
   * Replaces the whole list; entries that are missing from it are removed. If the store has been restored from a copy since the last
   * list, what was known before stays in force for a grace period, in which the servers write their entries again.
   *
   * @param entries - all entries
   * @param revision - store revision of the list
   * @param now - current time
   * @param isConfirmed - whether the list still contains entries that may have expired while their servers run
   * @param unchanged - ids of entries that the list contains without their contents
   * @returns the resulting changes
   */
  replaceAll (entries: readonly ServerEntry[], revision: StoreRevision, now: Millis, isConfirmed = false, unchanged: readonly RunnerId[] = []): BackendServerChange[] {
    const present = new Set([...unchanged, ...entries.map(({ server }) => server.id)])
    const isRestored = this.#era !== null && eraOf(revision) > this.#era
    this.#era = Math.max(this.#era ?? 0, eraOf(revision))
    if (isRestored) return this.#mergeRestored(entries, present, now)
    const absent = [...this.#entries.keys()].filter((id) => !present.has(id))
    return [...entries.flatMap((entry) => this.put(entry, keptUntil(entry, now))), ...absent.flatMap((id) => this.remove(id, revision, now, isConfirmed))]
  }

  /**
   * Removes entries that expired in a store outage and were not registered again within the grace period.
   *
   * @param now - current time
   * @returns the resulting changes
   */
  expire (now: Millis): BackendServerChange[] {
    const withheld = this.#isInGrace(now) ? [] : [...this.#withheld.values()]
    const missing = [...this.#entries.values()].filter((entry) => entry.mayReturn && !this.#withheld.has(entry.server.id) && now >= this.#keptUntil(entry))
    return [...withheld.flatMap((entry) => this.put(entry)), ...missing.flatMap((entry) => this.#removeEntry(entry, DepartureCause.Expired, now))]
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

  /**
   * @param service - name of a service
   * @returns its backend servers that accept no new requests: draining or replaced ones, then those that were removed lately, the last one first
   */
  leaving (service: string): RunnerId[] {
    const listed = this.all().filter((server) => server.service === service && this.hasLeft(server.id)).map(({ id }) => id)
    const removed = [...this.#departures].filter(([id, departure]) => departure.service === service && !this.#entries.has(id)).map(([id]) => id)
    return [...listed, ...removed.reverse()]
  }

  /**
   * Another node may still choose a server that this one knows to be draining, removed or replaced.
   *
   * @param id - a backend server that another node has chosen
   * @returns whether it must not get new requests; false if this node has not heard of it yet
   */
  hasLeft (id: RunnerId): boolean {
    const server = this.find(id)
    if (server === null) return this.#departures.has(id)
    return server.readiness !== Readiness.Ready || this.#replaced.has(id)
  }

  /** @returns all backend servers that have an entry */
  all (): BackendServer[] {
    return [...this.#entries.values()].map(({ server }) => server)
  }

  /** @returns the servers whose entries are kept as they were before the store was restored: they are missing from it, or differ there */
  keptOverRestore (): RunnerId[] {
    const missing = [...this.#entries.values()].filter(({ mayReturn }) => mayReturn).map(({ server }) => server.id)
    return [...new Set([...this.#withheld.keys(), ...missing])]
  }

  /**
   * @param now - current time
   * @returns all entries with their revisions
   */
  entries (now: Millis): ServerEntry[] {
    return [...this.#entries.values()].map((entry) => ({ server: entry.server, revision: entry.revision, ...this.#lapse(entry, now) }))
  }

  /** @returns whether some entries are kept that the store no longer has */
  keepsLapsed (): boolean {
    return [...this.#entries.values()].some(({ mayReturn }) => mayReturn)
  }

  #lapse (entry: TableEntry, now: Millis): Pick<ServerEntry, 'isLapsed' | 'keptFor'> {
    if (!entry.mayReturn) return {}
    const keptFor = Math.max(0, this.#keptUntil(entry) - now)
    return { isLapsed: true, ...(Number.isFinite(keptFor) ? { keptFor } : {}) }
  }

  #keptUntil ({ keptUntil }: TableEntry): Millis {
    return Math.max(this.#restoreGraceEndsAt, keptUntil ?? this.#ownGraceEnd)
  }

  get #ownGraceEnd (): Millis {
    return this.#storeLostAt === null ? this.#graceEndsAt : Infinity
  }

  #isInGrace (now: Millis): boolean {
    return now < this.#ownGraceEnd || now < this.#restoreGraceEndsAt
  }

  /** Applies the list of a restored store as far as it agrees with what is known, or is new; nothing departs because of it. */
  #mergeRestored (entries: readonly ServerEntry[], present: ReadonlySet<RunnerId>, now: Millis): BackendServerChange[] {
    this.#restoreGraceEndsAt = now + EXPIRED_ENTRY_GRACE
    this.#withheld.clear()
    for (const [id, entry] of this.#entries) if (!present.has(id)) entry.mayReturn = true
    return entries.flatMap((entry) => {
      if (!this.#contradicts(entry, now)) return this.put(entry)
      this.#withheld.set(entry.server.id, entry)
      return []
    })
  }

  #contradicts ({ server }: ServerEntry, now: Millis): boolean {
    const known = this.#entries.get(server.id)?.server
    if (known !== undefined) return known.readiness !== server.readiness || known.address !== server.address || known.startedAt !== server.startedAt
    const departure = this.#departures.get(server.id)
    return departure !== undefined && now - departure.at <= DEPARTURE_RETENTION && departure.startedAt === server.startedAt
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

  #removeEntry (entry: TableEntry, cause: DepartureCause, now: Millis): BackendServerChange[] {
    this.#entries.delete(entry.server.id)
    this.#rememberDeparture(entry, now)
    this.#replaced.delete(entry.server.id)
    return entry.server.readiness === Readiness.Draining && cause === DepartureCause.Removed
      ? []
      : [{ type: 'departed', server: entry.server, cause }]
  }

  #rememberDeparture ({ server: { id, service, startedAt }, revision }: TableEntry, now: Millis): void {
    for (const [departed, { at }] of this.#departures) if (now - at > DEPARTURE_RETENTION) this.#departures.delete(departed)
    this.#departures.delete(id)
    this.#departures.set(id, { service, startedAt, revision, at: now })
  }
}

/** @returns until when an entry of another node's list is kept; null if the store has it */
const keptUntil = ({ isLapsed = false, keptFor = EXPIRED_ENTRY_GRACE }: ServerEntry, now: Millis): Millis | null => isLapsed ? now + keptFor : null
