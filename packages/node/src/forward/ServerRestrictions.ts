/** Keeps which backend servers no new request may reach: those of evacuated failure domains, and those outside of a request's regions. */
import { describeRevision, EvacuationNews, Evacuations } from '@bluebellhill/domain'
import type { BackendServer, EvacuationState, EvacuationWrite, FailureDomain, Millis, Region, StoreRevision } from '@bluebellhill/domain'

import type { Log } from '../log/index.js'

/** Region of each failure domain, from the settings. */
export type RegionMap = ReadonlyMap<FailureDomain, Region>

/** Interval at which outdated reports of other nodes are logged. */
const OUTDATED_LOG_PERIOD: Millis = 1_000

export interface ServerRestrictionsOptions {
  readonly log: Log
  readonly clock: () => Millis
  readonly regions: () => RegionMap
  /** Returns the backend servers, whose failure domains are known to exist. */
  readonly servers: () => readonly BackendServer[]
}

/** Evacuations and regions, as far as this node knows them. */
export class ServerRestrictions {
  readonly #options: ServerRestrictionsOptions
  readonly #evacuations = new Evacuations()
  readonly #listeners = new Set<() => void>()
  readonly #returnListeners = new Set<(failureDomains: readonly FailureDomain[]) => void>()
  /** What the last line of the log has told. */
  #logged: readonly FailureDomain[] = []
  #outdatedLoggedAt: Millis = -Infinity
  /** Evacuated failure domains that are not known to exist or not to exist yet. */
  #unchecked: readonly FailureDomain[] = []

  /** @param options - servers, regions and log */
  constructor (options: ServerRestrictionsOptions) {
    this.#options = options
  }

  /** Adds a listener that is called after each change of the evacuated failure domains. */
  onChange (listener: () => void): void {
    this.#listeners.add(listener)
  }

  /** Adds a listener for failure domains whose evacuation has ended. */
  onReturn (listener: (failureDomains: readonly FailureDomain[]) => void): void {
    this.#returnListeners.add(listener)
  }

  /** @returns the failure domains that are evacuated now */
  evacuated (): FailureDomain[] {
    return this.#evacuations.inForce(this.#options.clock())
  }

  /** @returns whether a failure domain is evacuated now */
  isEvacuated (failureDomain: FailureDomain): boolean {
    return this.#evacuations.isEvacuated(failureDomain, this.#options.clock())
  }

  /**
   * @param failureDomain - failure domain of a server or node
   * @param regions - the only regions that a request may reach; absent if it may reach all
   * @returns whether the failure domain is in one of them; one whose region is unknown is in none
   */
  isInRegions (failureDomain: FailureDomain, regions?: readonly Region[]): boolean {
    if (regions === undefined) return true
    const region = this.#options.regions().get(failureDomain)
    return region !== undefined && regions.includes(region)
  }

  /**
   * @param server - a backend server
   * @param regions - the only regions that a request may reach; absent if it may reach all
   * @returns whether a new request may reach the server
   */
  permits ({ failureDomain }: BackendServer, regions?: readonly Region[]): boolean {
    return !this.isEvacuated(failureDomain) && this.isInRegions(failureDomain, regions)
  }

  /**
   * @param servers - all servers that accept requests of a service
   * @param regions - the only regions that a request may reach; absent if it may reach all
   * @returns whether a request reaches none of them because all failure domains are evacuated that it may reach
   */
  evacuatesAll (servers: readonly BackendServer[], regions?: readonly Region[]): boolean {
    const inRegions = servers.filter(({ failureDomain }) => this.isInRegions(failureDomain, regions))
    return inRegions.length > 0 && inRegions.every(({ failureDomain }) => this.isEvacuated(failureDomain))
  }

  /** Takes a complete listing of the store. */
  listed (state: EvacuationState): void {
    this.#changed(this.#evacuations.listed(state, this.#options.clock()), 'store')
  }

  /** Takes all changes of one answer of the store, which go up to a revision. */
  written (writes: readonly EvacuationWrite[], revision: StoreRevision): void {
    this.#changed(this.#evacuations.written(writes, revision, this.#options.clock()), 'store')
  }

  /**
   * Takes the state that another node reports.
   *
   * @returns whether the other node should be told at once of a newer one
   */
  reported (state: EvacuationState): boolean {
    const news = this.#evacuations.reported(state, this.#options.clock())
    this.#changed(news === EvacuationNews.Changed, 'peer')
    if (news === EvacuationNews.Outdated) this.#logOutdated(state)
    return news === EvacuationNews.Outdated
  }

  /** @returns what reports to other nodes contain; null if they need not know of evacuations */
  shared (): EvacuationState | null {
    return this.#evacuations.shared(this.#options.clock())
  }

  /** Logs the end of evacuations that were kept over a restore of the store, and failure domains that turn out not to exist. */
  expire (): void {
    this.#logChange('store')
    this.#logUnknown()
  }

  /** After a change, the next reports of all nodes are outdated. */
  #logOutdated ({ failureDomains, revision }: EvacuationState): void {
    const { clock, log } = this.#options
    if (clock() - this.#outdatedLoggedAt < OUTDATED_LOG_PERIOD) return
    this.#outdatedLoggedAt = clock()
    log.info('evacuation.peer_outdated', { reported: listText(failureDomains), reported_revision: describeRevision(revision), ...this.#stateFields() })
  }

  #changed (hasChanged: boolean, origin: 'store' | 'peer'): void {
    if (!hasChanged) return
    this.#logChange(origin)
    for (const listener of this.#listeners) listener()
  }

  #logChange (origin: 'store' | 'peer'): void {
    const inForce = this.evacuated()
    const begun = inForce.filter((domain) => !this.#logged.includes(domain))
    const ended = this.#logged.filter((domain) => !inForce.includes(domain))
    this.#logged = inForce
    if (begun.length === 0 && ended.length === 0) return
    this.#options.log.warn('evacuation.changed', { begun: listText(begun), ended: listText(ended), origin, ...this.#stateFields() })
    this.#unchecked = [...this.#unchecked, ...begun]
    this.#logUnknown()
    if (ended.length > 0) for (const listener of this.#returnListeners) listener(ended)
  }

  #stateFields (): { readonly evacuated: string, readonly revision: string } {
    return { evacuated: listText(this.evacuated()), revision: describeRevision(this.#evacuations.state.revision) }
  }

  /** A node that has just started may hear of an evacuation before it has the list of servers. */
  #logUnknown (): void {
    const { regions, servers, log } = this.#options
    if (this.#unchecked.length === 0 || (regions().size === 0 && servers().length === 0)) return
    for (const domain of this.#unchecked) if (!this.#exists(domain)) log.warn('evacuation.unknown_domain', { evacuated_domain: domain })
    this.#unchecked = []
  }

  #exists (failureDomain: FailureDomain): boolean {
    return this.#options.regions().has(failureDomain) || this.#options.servers().some((server) => server.failureDomain === failureDomain)
  }
}

const listText = (failureDomains: readonly FailureDomain[]): string => failureDomains.length === 0 ? 'none' : failureDomains.join(',')
