/** Chooses the nodes that requests are passed on to. */
import type { FailureDomain, KnownCandidate, Millis, NodeId, SchedulerCandidate, SchedulerDirectory } from '@bluebellhill/domain'

/** Time for which a node gets no requests of a service that it has refused, or none at all after a failed connection. */
const AVOIDANCE_TIME: Millis = 1_000

/** Nodes that may refuse requests of a service before it counts as down for all: each further one costs the request its time. */
const MAX_REFUSING_NODES = 6

/** A node that reaches backend servers, as far as is known. */
export type RelayPeer = Pick<SchedulerCandidate, 'node' | 'address' | 'failureDomain'>

export interface RelayPeersOptions {
  readonly directory: SchedulerDirectory
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
  readonly #avoidedUntil = new Map<string, Millis>()

  /** @param options - the other nodes */
  constructor (options: RelayPeersOptions) {
    this.#options = options
  }

  /**
   * Nodes that were heard lately go first, then those of the same failure domain, then those that got the fewest requests.
   *
   * @param service - name of the service
   * @returns the node to pass a request on to; null if there is none
   */
  choose (service: string): RelayPeer | null {
    const { directory, failureDomain, runningClock } = this.#options
    this.#expire()
    if (this.#countRefusing(service) >= MAX_REFUSING_NODES) return null
    const live = directory.live(runningClock()).filter(isServing)
    const heard = new Set(live.map(({ node }) => node))
    const others = directory.others().filter(({ node }) => !heard.has(node))
    const usable = [live, others].map((peers) => peers.filter(({ node }) => !this.#isAvoided(node, service))).find((peers) => peers.length > 0) ?? []
    const sameDomain = usable.filter((peer) => peer.failureDomain === failureDomain)
    const preferred = sameDomain.length > 0 ? sameDomain : usable
    return [...preferred].sort((a, b) => this.#requestsOf(a.node) - this.#requestsOf(b.node))[0] ?? null
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
  refused ({ node }: RelayPeer, service: string): void {
    this.#avoidedUntil.set(keyOf(node, service), this.#options.clock() + AVOIDANCE_TIME)
  }

  /** Records that no connection to a node was established, or that one broke. */
  failed ({ node }: RelayPeer): void {
    this.#avoidedUntil.set(keyOf(node, ANY_SERVICE), this.#options.clock() + AVOIDANCE_TIME)
  }

  #requestsOf (node: NodeId): number {
    return this.#requests.get(node) ?? 0
  }

  #isAvoided (node: NodeId, service: string): boolean {
    return this.#avoidedUntil.has(keyOf(node, service)) || this.#avoidedUntil.has(keyOf(node, ANY_SERVICE))
  }

  #countRefusing (service: string): number {
    return [...this.#avoidedUntil.keys()].filter((key) => key.startsWith(`${service}/`)).length
  }

  #expire (): void {
    const now = this.#options.clock()
    for (const [key, until] of this.#avoidedUntil) if (until <= now) this.#avoidedUntil.delete(key)
  }
}

const ANY_SERVICE = ''

const keyOf = (node: NodeId, service: string): string => `${service}/${node}`

const isServing = ({ state }: KnownCandidate): boolean => state?.isStopping !== true
