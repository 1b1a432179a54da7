/** Chooses the nodes that requests are passed on to. */
import type { FailureDomain, KnownCandidate, Millis, NodeId, Region, SchedulerCandidate, SchedulerDirectory } from '@bluebellhill/domain'

import type { FleetState } from '../FleetState.js'

/** Time for which a node gets no requests of a service that it has refused, or none at all after a failed connection. */
const AVOIDANCE_TIME: Millis = 1_000

/** Nodes that may refuse requests of a service before it counts as down for all: each further one costs the request its time. */
const MAX_REFUSING_NODES = 6

/** Nodes of this node's failure domain that may refuse requests of a service before those of other domains are preferred: it may be cut as a whole. */
const MAX_REFUSING_NEIGHBOURS = 2

/** A node that is left out for a time. */
interface Avoidance {
  readonly until: Millis
  readonly failureDomain: FailureDomain
}

/** A node that reaches backend servers, as far as is known. */
export type RelayPeer = Pick<SchedulerCandidate, 'node' | 'address' | 'failureDomain'>

export interface RelayPeersOptions {
  readonly directory: SchedulerDirectory
  readonly fleetState: FleetState
  readonly failureDomain: FailureDomain
  readonly clock: () => Millis
  /** Clock on which the silence of other nodes is measured. */
  readonly runningClock: () => Millis
}

/** The other nodes, with what this one has passed on to them. */
export class RelayPeers {
  readonly #options: RelayPeersOptions
  readonly #requests = new Map<NodeId, number>()
  /** By service and node; all services where connections to the node fail. */
  readonly #avoided = new Map<string, Avoidance>()

  /** @param options - the other nodes */
  constructor (options: RelayPeersOptions) {
    this.#options = options
  }

  /**
   * Nodes that were heard lately go first, then those of the same failure domain unless several of them have refused, then those that got the fewest
   * requests. A node in a region that the request may not reach does not get it.
   *
   * @param service - name of the service
   * @param regions - the only regions that the request may reach; absent if it may reach all
   * @returns the node to pass a request on to; null if there is none
   */
  choose (service: string, regions?: readonly Region[]): RelayPeer | null {
    const { directory, runningClock, fleetState: { restrictions } } = this.#options
    this.#expire()
    const refusing = this.#refusing(service)
    if (refusing.length >= MAX_REFUSING_NODES) return null
    const live = directory.live(runningClock()).filter(isServing)
    const heard = new Set(live.map(({ node }) => node))
    const others = directory.others().filter(({ node }) => !heard.has(node))
    const usable = (peers: readonly SchedulerCandidate[]): SchedulerCandidate[] => peers.filter(({ node, failureDomain }) => !this.#isAvoided(node, service) && restrictions.isInRegions(failureDomain, regions))
    const candidates = this.#inOrder(usable(live), usable(others), refusing).find((peers) => peers.length > 0) ?? []
    return [...candidates].sort((a, b) => this.#requestsOf(a.node) - this.#requestsOf(b.node))[0] ?? null
  }

  /** While the own failure domain seems to be cut as a whole, or is evacuated, a node of another one is preferred even if it was not heard. */
  #inOrder (live: readonly SchedulerCandidate[], others: readonly SchedulerCandidate[], refusing: readonly Avoidance[]): ReadonlyArray<readonly SchedulerCandidate[]> {
    const { failureDomain, fleetState: { restrictions } } = this.#options
    const isNear = (peer: RelayPeer | Avoidance): boolean => peer.failureDomain === failureDomain
    const isFar = (peer: RelayPeer): boolean => !isNear(peer)
    const isDomainCut = refusing.filter(isNear).length >= MAX_REFUSING_NEIGHBOURS
    return isDomainCut || restrictions.isEvacuated(failureDomain)
      ? [live.filter(isFar), others.filter(isFar), live, others]
      : [live.filter(isNear), live, others.filter(isNear), others]
  }

  /** Records that a request is passed on to a node. */
  started ({ node }: RelayPeer): void {
    this.#requests.set(node, this.#requestsOf(node) + 1)
  }

  /** Records that a request which was passed on to a node has ended. */
  ended ({ node }: RelayPeer): void {
    const requests = this.#requestsOf(node) - 1
    if (requests > 0) this.#requests.set(node, requests)
    else this.#requests.delete(node)
  }

  /** Records that a node does not serve a service either. */
  refused (peer: RelayPeer, service: string): void {
    this.#avoid(peer, service)
  }

  /** Records that no connection to a node was established, or that one broke. */
  failed (peer: RelayPeer): void {
    this.#avoid(peer, ANY_SERVICE)
  }

  #avoid ({ node, failureDomain }: RelayPeer, service: string): void {
    this.#avoided.set(keyOf(node, service), { until: this.#options.clock() + AVOIDANCE_TIME, failureDomain })
  }

  #requestsOf (node: NodeId): number {
    return this.#requests.get(node) ?? 0
  }

  #isAvoided (node: NodeId, service: string): boolean {
    return this.#avoided.has(keyOf(node, service)) || this.#avoided.has(keyOf(node, ANY_SERVICE))
  }

  #refusing (service: string): Avoidance[] {
    return [...this.#avoided].filter(([key]) => key.startsWith(`${service}/`)).map(([, avoidance]) => avoidance)
  }

  #expire (): void {
    const now = this.#options.clock()
    for (const [key, { until }] of this.#avoided) if (until <= now) this.#avoided.delete(key)
  }
}

const ANY_SERVICE = ''

const keyOf = (node: NodeId, service: string): string => `${service}/${node}`

const isServing = ({ state }: KnownCandidate): boolean => state?.isStopping !== true
