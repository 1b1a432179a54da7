/** Keeps this node's view of the configuration and of the backend servers, merged from the store, peers and answers. */
import { BackendServerTable, DepartureCause, describeRevision, eraOf, RouteTable } from '@bluebellhill/domain'
import type { BackendServerChange, Deployment, ServerEntry, Millis, RunnerId, StoreRevision } from '@bluebellhill/domain'

import type { Log } from '../log/index.js'
import { ServerRestrictions } from './ServerRestrictions.js'
import type { RegionMap } from './ServerRestrictions.js'

/** Source of a change of the fleet state. */
export type FleetStateOrigin = 'store' | 'peer' | 'answer'

/** Versions up to which a node has the configuration and the list of backend servers. */
export interface FleetStateVersion {
  readonly configuration: number
  /** Store revision of the list of backend servers. */
  readonly servers: StoreRevision
}

/** Versions that a node announces; a configuration of 0 may also mean that it has none. */
export interface AnnouncedVersion {
  readonly configurationVersion: number
  /** Store revision of the list of backend servers; 0 until the store was read. */
  readonly serversRevision: StoreRevision
}

/** Version of a node without a configuration; those of the operator count from 0. */
const NO_CONFIGURATION = -1

/** State that one node sends to another; a field is null if the other node has the same or a newer version. */
export interface FleetStateSnapshot {
  readonly deployment: Deployment | null
  readonly servers: ServersSnapshot | null
}

export interface ServersSnapshot {
  readonly listed: readonly ServerEntry[]
  /** Ids of the entries that the other node has already; absent if all entries are listed. */
  readonly unchanged?: readonly RunnerId[]
  /** Store revision of the list. */
  readonly revision: StoreRevision
}

export type FleetStateListener = () => void

/** Keeps the newest configuration and the list of backend servers, and logs each change of them. */
export class FleetState {
  readonly servers = new BackendServerTable()
  /** Evacuated failure domains, and the regions of all. */
  readonly restrictions: ServerRestrictions
  #routeTable: RouteTable | null = null
  #installedAt: Millis = 0
  #serversRevision: StoreRevision = 0
  readonly #listeners = new Set<FleetStateListener>()
  readonly #departureListeners = new Set<(id: RunnerId) => void>()
  readonly #entryListeners = new Set<(entry: ServerEntry) => void>()
  readonly #restoreListeners = new Set<() => void>()

  /**
   * @param log - receives a line for each change
   * @param clock - monotonic clock
   * @param regions - returns the region of each failure domain
   */
  constructor (private readonly log: Log, private readonly clock: () => Millis, regions: () => RegionMap = () => new Map()) {
    this.restrictions = new ServerRestrictions({ log, clock, regions, servers: () => this.servers.all() })
    this.restrictions.onChange(() => this.#notifyListeners())
  }

  /** Lookup table of the configuration in force; null until the first configuration is installed. */
  get routeTable (): RouteTable | null {
    return this.#routeTable
  }

  /** Version of the configuration in force; 0 until the first configuration is installed. */
  get configurationVersion (): number {
    return this.#routeTable?.deployment.version ?? 0
  }

  /** Versions by which other nodes tell what this node lacks. */
  get knownVersion (): FleetStateVersion {
    return { configuration: this.#routeTable?.deployment.version ?? NO_CONFIGURATION, servers: this.#serversRevision }
  }

  /**
   * Until the first configuration is installed this node is behind any node that has read the store: the first version may be 0.
   *
   * @param other - versions that another node announces
   * @returns whether the other node has a state that this one lacks
   */
  isBehind ({ configurationVersion, serversRevision }: AnnouncedVersion): boolean {
    const lacksFirst = this.#routeTable === null && serversRevision > 0
    return lacksFirst || configurationVersion > this.configurationVersion || serversRevision > this.#serversRevision
  }

  /** Store revision up to which the list of backend servers is current. */
  get serversRevision (): StoreRevision {
    return this.#serversRevision
  }

  /** Time since the configuration in force was installed. */
  get configurationAge (): Millis {
    return this.clock() - this.#installedAt
  }

  /** Adds a listener that is called after each change. Returns a function that removes it. */
  onChange (listener: FleetStateListener): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  /** Adds a listener for servers that were removed, expired, were replaced or restarted; draining servers are not reported. */
  onDeparture (listener: (id: RunnerId) => void): void {
    this.#departureListeners.add(listener)
  }

  /** Adds a listener for each entry of a backend server that arrives and is in force, also if it was known; it is called after departures because of it. */
  onEntry (listener: (entry: ServerEntry) => void): void {
    this.#entryListeners.add(listener)
  }

  /** Adds a listener that is called when the store has been restored from a copy, which lacks its last changes. */
  onStoreRestored (listener: () => void): void {
    this.#restoreListeners.add(listener)
  }

  /** Installs a configuration unless the same or a newer version is in force. */
  install (deployment: Deployment, origin: FleetStateOrigin): void {
    if (this.#routeTable !== null && deployment.version <= this.configurationVersion) return
    const before = this.configurationVersion
    this.#routeTable = new RouteTable(deployment)
    this.#installedAt = this.clock()
    this.log.info('configuration.installed', { version: deployment.version, before, origin, routes: deployment.routes.length, organisations: deployment.organisations?.length ?? 'none' })
    this.#notifyListeners()
  }

  putServer (listed: ServerEntry, origin: FleetStateOrigin): void {
    this.#advanceServersRevision(listed.revision)
    this.#applyServerChanges(this.servers.put(listed), origin, [listed])
  }

  removeServer (id: RunnerId, revision: StoreRevision, origin: FleetStateOrigin): void {
    this.#advanceServersRevision(revision)
    const now = this.clock()
    this.#applyServerChanges(this.servers.remove(id, revision, now, this.servers.isRemovedWhileServing(revision, now)), origin)
  }

  replaceServers (listed: readonly ServerEntry[], revision: StoreRevision, origin: FleetStateOrigin, unchanged: readonly RunnerId[] = []): void {
    if (revision < this.#serversRevision) return
    const before = this.#serversRevision
    this.#advanceServersRevision(revision)
    this.#applyServerChanges(this.servers.replaceAll(listed, revision, this.clock(), origin === 'peer', unchanged), origin, listed)
    if (before > 0 && eraOf(revision) > eraOf(before)) this.#logRestore(before, origin)
  }

  expireServers (): void {
    this.#applyServerChanges(this.servers.expire(this.clock()), 'store')
    this.restrictions.expire()
  }

  /** Records that another server answered at the address of this one. */
  markServerReplaced (id: RunnerId): void {
    this.#applyServerChanges(this.servers.markReplaced(id), 'answer')
  }

  /**
   * @param version - versions that another node has
   * @returns the parts of this node's state that are newer
   */
  newerThan (version: FleetStateVersion): FleetStateSnapshot {
    const deployment = this.#routeTable?.deployment ?? null
    return {
      deployment: this.configurationVersion > version.configuration ? deployment : null,
      servers: this.#serversRevision > version.servers ? { listed: this.servers.entries(this.clock()), revision: this.#serversRevision } : null
    }
  }

  /**
   * @param version - versions that another node has
   * @returns the parts of this node's state that are newer, without the entries of backend servers that the other node has
   */
  changesSince (version: FleetStateVersion): FleetStateSnapshot {
    const { deployment, servers } = this.newerThan(version)
    if (servers === null) return { deployment, servers }
    const isKnown = ({ revision, isLapsed }: ServerEntry): boolean => revision <= version.servers && isLapsed !== true
    const listed = servers.listed.filter((entry) => !isKnown(entry))
    return { deployment, servers: { listed, unchanged: servers.listed.filter(isKnown).map(({ server }) => server.id), revision: servers.revision } }
  }

  /** Applies the parts of a peer's snapshot that are newer than this node's state. */
  merge ({ deployment, servers }: FleetStateSnapshot): void {
    if (deployment !== null) this.install(deployment, 'peer')
    if (servers !== null && servers.revision > this.#serversRevision) this.replaceServers(servers.listed, servers.revision, 'peer', servers.unchanged)
  }

  #logRestore (before: StoreRevision, origin: FleetStateOrigin): void {
    const kept = this.servers.keptOverRestore().join(',')
    this.log.warn('servers.restored', { before: describeRevision(before), revision: describeRevision(this.#serversRevision), origin, kept: kept === '' ? undefined : kept })
  }

  #advanceServersRevision (revision: StoreRevision): void {
    const before = this.#serversRevision
    this.#serversRevision = Math.max(before, revision)
    if (before > 0 && eraOf(this.#serversRevision) > eraOf(before)) for (const listener of this.#restoreListeners) listener()
  }

  #applyServerChanges (changes: readonly BackendServerChange[], origin: FleetStateOrigin, entries: readonly ServerEntry[] = []): void {
    for (const change of changes) {
      const { id, service, address, failureDomain } = change.server
      const cause = change.type === 'departed' ? change.cause : undefined
      this.log.info(`server.${change.type}`, { server: id, service, address, server_domain: failureDomain, cause, origin, revision: describeRevision(this.#serversRevision) })
      if (cause !== undefined && cause !== DepartureCause.Draining) for (const listener of this.#departureListeners) listener(id)
    }
    for (const entry of entries.filter(({ server }) => this.servers.find(server.id) === server)) for (const listener of this.#entryListeners) listener(entry)
    if (changes.length > 0) this.#notifyListeners()
  }

  #notifyListeners (): void {
    for (const listener of this.#listeners) listener()
  }
}
