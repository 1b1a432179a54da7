/** What this node believes of the configuration and of the backend servers. */
import { BackendServerTable, Departure, RouteTable } from '@bluebellhill/domain'
import type { BackendServerChange, Deployment, ListedServer, Millis, RunnerId } from '@bluebellhill/domain'

import type { Log } from '../log/index.js'

/** Where a piece of knowledge came from. */
export type FleetStateOrigin = 'store' | 'peer' | 'answer'

/** Up to what a node knows the configuration and the backend servers. */
export interface FleetStateVersion {
  readonly configuration: number
  /** Store revision. */
  readonly servers: number
}

/** What one node hands another; null where the other knows as much. */
export interface FleetStateSnapshot {
  readonly deployment: Deployment | null
  readonly servers: ServersSnapshot | null
}

export interface ServersSnapshot {
  readonly listed: readonly ListedServer[]
  /** Store revision that the list is of. */
  readonly revision: number
}

export type FleetStateListener = () => void

/** Holds the newest configuration and the list of backend servers, and logs what changes them. */
export class FleetState {
  readonly servers = new BackendServerTable()
  #routeTable: RouteTable | null = null
  #installedAt: Millis = 0
  #serversRevision = 0
  readonly #listeners = new Set<FleetStateListener>()
  readonly #departureListeners = new Set<(id: RunnerId) => void>()

  /**
   * @param log - gets a line for each change of belief
   * @param clock - monotonic clock
   */
  constructor (private readonly log: Log, private readonly clock: () => Millis) {}

  /** Lookups in the configuration in force; null before the first. */
  get routeTable (): RouteTable | null {
    return this.#routeTable
  }

  /** Version in force; 0 before the first. */
  get configurationVersion (): number {
    return this.#routeTable?.deployment.version ?? 0
  }

  /** Store revision up to which the list of backend servers is known. */
  get serversRevision (): number {
    return this.#serversRevision
  }

  /** Time since the configuration in force was installed. */
  get configurationAge (): Millis {
    return this.clock() - this.#installedAt
  }

  /** Adds a listener that is called after each change; the result removes it. */
  onChange (listener: FleetStateListener): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  /** Adds a listener for servers that have gone or started again. */
  onDeparture (listener: (id: RunnerId) => void): void {
    this.#departureListeners.add(listener)
  }

  /** Installs a configuration unless a newer one is in force. */
  install (deployment: Deployment, origin: FleetStateOrigin): void {
    if (deployment.version <= this.configurationVersion) return
    const before = this.configurationVersion
    this.#routeTable = new RouteTable(deployment)
    this.#installedAt = this.clock()
    this.log.info('configuration.installed', { version: deployment.version, before, origin, routes: deployment.routes.length, organisations: deployment.organisations.length })
    this.#notifyListeners()
  }

  putServer (listed: ListedServer, origin: FleetStateOrigin): void {
    this.#advanceServersRevision(listed.revision)
    this.#applyServerChanges(this.servers.put(listed), origin)
  }

  removeServer (id: RunnerId, revision: number, origin: FleetStateOrigin): void {
    this.#advanceServersRevision(revision)
    this.#applyServerChanges(this.servers.remove(id, revision, this.clock()), origin)
  }

  replaceServers (listed: readonly ListedServer[], revision: number, origin: FleetStateOrigin): void {
    if (revision < this.#serversRevision) return
    this.#advanceServersRevision(revision)
    this.#applyServerChanges(this.servers.replace(listed, revision, this.clock(), origin === 'peer'), origin)
  }

  expireServers (): void {
    this.#applyServerChanges(this.servers.expire(this.clock()), 'store')
  }

  /** Another server answered at the address of this one. */
  markServerReplaced (id: RunnerId): void {
    this.#applyServerChanges(this.servers.foundReplaced(id), 'answer')
  }

  /**
   * @param version - what another node knows
   * @returns what this node knows better
   */
  newerThan (version: FleetStateVersion): FleetStateSnapshot {
    const deployment = this.#routeTable?.deployment ?? null
    return {
      deployment: this.configurationVersion > version.configuration ? deployment : null,
      servers: this.#serversRevision > version.servers ? { listed: this.servers.listed(), revision: this.#serversRevision } : null
    }
  }

  /** Takes in what a peer knows better. */
  merge ({ deployment, servers }: FleetStateSnapshot): void {
    if (deployment !== null) this.install(deployment, 'peer')
    if (servers !== null && servers.revision > this.#serversRevision) this.replaceServers(servers.listed, servers.revision, 'peer')
  }

  #advanceServersRevision (revision: number): void {
    this.#serversRevision = Math.max(this.#serversRevision, revision)
  }

  #applyServerChanges (changes: readonly BackendServerChange[], origin: FleetStateOrigin): void {
    for (const change of changes) {
      const { id, service, address, failureDomain } = change.server
      const cause = change.type === 'departed' ? change.cause : undefined
      this.log.info(`server.${change.type}`, { server: id, service, address, server_domain: failureDomain, cause, origin, revision: this.#serversRevision })
      if (cause !== undefined && cause !== Departure.Draining) for (const listener of this.#departureListeners) listener(id)
    }
    if (changes.length > 0) this.#notifyListeners()
  }

  #notifyListeners (): void {
    for (const listener of this.#listeners) listener()
  }
}
