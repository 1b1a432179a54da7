/** What this node believes of the configuration and of the backend servers. */
import { BackendServerTable, DepartureCause, RouteTable } from '@bluebellhill/domain'
import type { BackendServerChange, Deployment, ServerEntry, Millis, RunnerId } from '@bluebellhill/domain'

import type { Log } from '../log/index.js'

/** Where a piece of knowledge came from. */
export type Origin = 'store' | 'peer' | 'answer'

/** Up to what a node knows the configuration and the backend servers. */
export interface KnowledgeVersion {
  readonly configuration: number
  /** Store revision. */
  readonly servers: number
}

/** What one node hands another; null where the other knows as much. */
export interface KnowledgeSnapshot {
  readonly deployment: Deployment | null
  readonly servers: ServersSnapshot | null
}

export interface ServersSnapshot {
  readonly listed: readonly ServerEntry[]
  /** Store revision that the list is of. */
  readonly revision: number
}

export type KnowledgeListener = () => void

/** Holds the newest configuration and the list of backend servers, and logs what changes them. */
export class Knowledge {
  readonly servers = new BackendServerTable()
  #table: RouteTable | null = null
  #installedAt: Millis = 0
  #serversRevision = 0
  readonly #listeners = new Set<KnowledgeListener>()
  readonly #departures = new Set<(id: RunnerId) => void>()

  /**
   * @param log - gets a line for each change of belief
   * @param clock - monotonic clock
   */
  constructor (private readonly log: Log, private readonly clock: () => Millis) {}

  /** Lookups in the configuration in force; null before the first. */
  get table (): RouteTable | null {
    return this.#table
  }

  /** Version in force; 0 before the first. */
  get version (): number {
    return this.#table?.deployment.version ?? 0
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
  onChange (listener: KnowledgeListener): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  /** Adds a listener for servers that have gone or started again. */
  onDeparture (listener: (id: RunnerId) => void): void {
    this.#departures.add(listener)
  }

  /** Installs a configuration unless a newer one is in force. */
  install (deployment: Deployment, origin: Origin): void {
    if (deployment.version <= this.version) return
    const before = this.version
    this.#table = new RouteTable(deployment)
    this.#installedAt = this.clock()
    this.log.info('configuration.installed', { version: deployment.version, before, origin, routes: deployment.routes.length, organisations: deployment.organisations.length })
    this.#notify()
  }

  putServer (listed: ServerEntry, origin: Origin): void {
    this.#sawRevision(listed.revision)
    this.#changed(this.servers.put(listed), origin)
  }

  removeServer (id: RunnerId, revision: number, origin: Origin): void {
    this.#sawRevision(revision)
    this.#changed(this.servers.remove(id, revision, this.clock()), origin)
  }

  replaceServers (listed: readonly ServerEntry[], revision: number, origin: Origin): void {
    if (revision < this.#serversRevision) return
    this.#sawRevision(revision)
    this.#changed(this.servers.replaceAll(listed, revision, this.clock(), origin === 'peer'), origin)
  }

  expireServers (): void {
    this.#changed(this.servers.expire(this.clock()), 'store')
  }

  /** Another server answered at the address of this one. */
  foundReplaced (id: RunnerId): void {
    this.#changed(this.servers.markReplaced(id), 'answer')
  }

  /**
   * @param known - what another node knows
   * @returns what this node knows better
   */
  newerThan (known: KnowledgeVersion): KnowledgeSnapshot {
    const deployment = this.#table?.deployment ?? null
    return {
      deployment: this.version > known.configuration ? deployment : null,
      servers: this.#serversRevision > known.servers ? { listed: this.servers.entries(), revision: this.#serversRevision } : null
    }
  }

  /** Takes in what a peer knows better. */
  merge ({ deployment, servers }: KnowledgeSnapshot): void {
    if (deployment !== null) this.install(deployment, 'peer')
    if (servers !== null && servers.revision > this.#serversRevision) this.replaceServers(servers.listed, servers.revision, 'peer')
  }

  #sawRevision (revision: number): void {
    this.#serversRevision = Math.max(this.#serversRevision, revision)
  }

  #changed (changes: readonly BackendServerChange[], origin: Origin): void {
    for (const change of changes) {
      const { id, service, address, failureDomain } = change.server
      const cause = change.type === 'departed' ? change.cause : undefined
      this.log.info(`server.${change.type}`, { server: id, service, address, server_domain: failureDomain, cause, origin, revision: this.#serversRevision })
      if (cause !== undefined && cause !== DepartureCause.Draining) for (const listener of this.#departures) listener(id)
    }
    if (changes.length > 0) this.#notify()
  }

  #notify (): void {
    for (const listener of this.#listeners) listener()
  }
}
