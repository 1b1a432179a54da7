/** Enforces one organisation's limits at one node: this node's share of the fleet-wide bounds, divided by gossiped demand. */
import type { Millis, NodeId, OrganisationId, Tokens } from '../types.js'
import { shareOfConcurrency, shareOfRate } from './shares.js'
import type { ConcurrencyDemand } from './shares.js'
import { TokenBucket } from './TokenBucket.js'
import type { LimitDemand, LimitRefusal, OrganisationBounds } from './types.js'

/** The token bucket accumulates at most the inflow of this time. */
export const BURST_WINDOW: Millis = 1_000

/** Time constant of the exponential average of demand. */
const DEMAND_WINDOW: Millis = 5_000

/** Retry delay suggested when the limit of concurrent requests is reached. */
const CONCURRENCY_RETRY_AFTER: Millis = 500

/**
 * Delay before this node uses a larger share of concurrent requests; a smaller share applies immediately. It is longer than
 * gossip takes to reach every node.
 */
export const SHARE_GROWTH_DELAY: Millis = 2_000

/** A demand and the time at which this node published or received it. */
interface TimedDemand {
  readonly demand: LimitDemand
  readonly at: Millis
}

/**
 * Admits requests within this node's share of an organisation's bounds.
 *
 * Concurrent requests: the shares of all nodes that have the same view add up to the fleet-wide bound. A share grows only
 * after every other node has had time to learn by gossip that its own share has shrunk. A node knows its own demand before the
 * others do, so its share is computed from the least demand that it has published and the greatest that it has received in that time. During a network partition, each
 * group of nodes divides the whole bound, so g groups admit at most g times the bound, whatever their sizes.
 * Token rate: the rates of all nodes add up to the bound in the same way. The fleet can exceed it by one burst window and
 * by one request per node, because a request larger than the window's inflow is admitted on credit.
 */
export class OrganisationLimit {
  readonly organisation: OrganisationId
  readonly #node: NodeId
  #bounds: OrganisationBounds
  #nodes: readonly NodeId[]
  #peerDemands = new Map<NodeId, LimitDemand>()
  /** Demands of each node, this one included, that may still be the newest that some node knows. */
  readonly #recentDemands = new Map<NodeId, TimedDemand[]>()
  readonly #bucket: TokenBucket
  #inProgress = 0
  #share = 0
  /** Earlier shares, each of which caps the limit until the given time. */
  #recentShares: { readonly share: number, readonly until: Millis }[] = []
  #recentRefusals = 0
  #recentTokens = 0
  #decayedAt: Millis

  /**
   * @param organisation - name of the limited organisation, or of one of its templates
   * @param node - this node
   * @param bounds - the fleet-wide bounds
   * @param now - current time
   */
  constructor (organisation: OrganisationId, node: NodeId, bounds: OrganisationBounds, now: Millis) {
    this.organisation = organisation
    this.#node = node
    this.#bounds = bounds
    this.#nodes = [node]
    this.#decayedAt = now
    this.#bucket = new TokenBucket(0, BURST_WINDOW, now)
    this.#computeShares(now)
  }

  /** Number of requests in progress at this node. */
  get inProgress (): number {
    return this.#inProgress
  }

  /** @returns how many concurrent requests this node may admit; `Infinity` if there is no bound */
  concurrencyLimit (now: Millis): number {
    if (this.#bounds.concurrent === null) return Infinity
    const recentShares = this.#recentShares.filter(({ until }) => until > now).map(({ share }) => share)
    return Math.min(this.#share, ...recentShares)
  }

  /** Replaces the fleet-wide bounds. */
  configure (bounds: OrganisationBounds, now: Millis): void {
    this.#bounds = bounds
    this.#computeShares(now)
  }

  /**
   * Applies the demands that other nodes gossiped.
   *
   * @param nodes - all live nodes, including this one
   * @param demands - the last demand of each node; a missing one counts as zero
   * @param now - current time
   */
  update (nodes: readonly NodeId[], demands: readonly LimitDemand[], now: Millis): void {
    this.#nodes = nodes.includes(this.#node) ? nodes : [...nodes, this.#node]
    this.#peerDemands = new Map(demands.filter(({ node }) => node !== this.#node).map((demand) => [demand.node, demand]))
    for (const node of this.#nodes) if (node !== this.#node) this.#remember(node, this.#peerDemands.get(node), now)
    this.#forgetOldDemands(now)
    this.#computeShares(now)
  }

  /** @returns this node's current demand, for gossip */
  demand (now: Millis): LimitDemand {
    this.#decay(now)
    return {
      organisation: this.organisation,
      node: this.#node,
      held: this.#inProgress,
      concurrent: Math.ceil(this.#inProgress + this.#recentRefusals),
      tokensPerSecond: Math.round(this.#recentTokens * 1_000 / DEMAND_WINDOW)
    }
  }

  /**
   * Admits or refuses a request.
   *
   * @param tokens - prompt tokens plus the largest number of answer tokens
   * @param now - current time
   * @returns null if the request is admitted, and `release` must be called when it ends; otherwise the refusal
   */
  admit (tokens: Tokens, now: Millis): LimitRefusal | null {
    this.#decay(now)
    this.#recentTokens += tokens
    if (this.#inProgress >= this.concurrencyLimit(now)) {
      this.#recentRefusals += 1
      return { bound: 'concurrent', retryAfter: CONCURRENCY_RETRY_AFTER, reason: `${this.#inProgress} requests are in progress at this node` }
    }
    const wait = this.#bounds.tokensPerSecond === null ? 0 : this.#bucket.consume(tokens, now)
    if (wait > 0) return { bound: 'tokens_per_second', retryAfter: Math.ceil(Math.min(wait, 60_000)), reason: 'the token rate of this node is used up' }
    this.#inProgress += 1
    return null
  }

  /**
   * Ends an admitted request and refunds its unused tokens.
   *
   * @param unused - tokens that were admitted but not used
   * @param now - current time
   */
  release (unused: Tokens, now: Millis): void {
    this.#inProgress = Math.max(0, this.#inProgress - 1)
    this.#bucket.refund(unused, now)
  }

  #computeShares (now: Millis): void {
    const { concurrent, tokensPerSecond } = this.#bounds
    if (tokensPerSecond !== null) {
      this.#bucket.setRate(shareOfRate(tokensPerSecond, this.#node, this.#mapDemands((demand) => ({ demand: demand?.tokensPerSecond ?? 0 }))), now)
    }
    if (concurrent === null) return
    this.#recentShares = this.#recentShares.filter(({ until }) => until > now)
    this.#recentShares.push({ share: this.#share, until: now + SHARE_GROWTH_DELAY })
    this.#share = shareOfConcurrency(concurrent, this.#node, this.#nodes.map((node) => this.#cautiousDemand(node)), this.organisation)
  }

  #remember (node: NodeId, demand: LimitDemand | undefined, now: Millis): void {
    const recent = (this.#recentDemands.get(node) ?? []).filter(({ at }) => now - at < SHARE_GROWTH_DELAY)
    const known = demand ?? { organisation: this.organisation, node, held: 0, concurrent: 0, tokensPerSecond: 0 }
    this.#recentDemands.set(node, [...recent, { demand: known, at: now }])
  }

  /** Nodes are replaced all the time: without this, the demands of all that ever were would be kept. */
  #forgetOldDemands (now: Millis): void {
    for (const [node, recent] of this.#recentDemands) {
      if (recent.every(({ at }) => now - at >= SHARE_GROWTH_DELAY)) this.#recentDemands.delete(node)
    }
  }

  /** Returns the last requests in progress, with the least recent demand of this node and the greatest of another one. */
  #cautiousDemand (node: NodeId): ConcurrencyDemand {
    const recent = this.#recentDemands.get(node)?.map(({ demand }) => demand) ?? []
    if (recent.length === 0) return { node, demand: 0, held: 0 }
    const select = node === this.#node ? Math.min : Math.max
    return { node, demand: select(...recent.map(({ concurrent }) => concurrent)), held: recent.at(-1)?.held ?? 0 }
  }

  #mapDemands<Selected>(select: (demand: LimitDemand | undefined) => Selected): readonly (Selected & { readonly node: NodeId })[] {
    return this.#nodes.map((node) => ({ ...select(node === this.#node ? this.#publishedDemand : this.#peerDemands.get(node)), node }))
  }

  /** This node's demand as last gossiped. Using the gossiped value lets all nodes compute shares from the same numbers. */
  #publishedDemand: LimitDemand | undefined

  /**
   * Records the demand that was gossiped and recomputes the shares from it.
   *
   * @param demand - the demand as the other nodes receive it
   * @param now - current time
   */
  setPublishedDemand (demand: LimitDemand, now: Millis): void {
    this.#publishedDemand = demand
    this.#remember(this.#node, demand, now)
    this.#computeShares(now)
  }

  #decay (now: Millis): void {
    const factor = Math.exp(-Math.max(0, now - this.#decayedAt) / DEMAND_WINDOW)
    this.#recentTokens *= factor
    this.#recentRefusals *= factor
    this.#decayedAt = now
  }
}
