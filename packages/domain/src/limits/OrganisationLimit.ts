/** Enforces one organisation's limits at one node: this node's share of the fleet-wide bounds, divided by gossiped demand. */
import type { Millis, NodeId, OrganisationId, Tokens } from '../types.js'
import { ConcurrencyShare } from './ConcurrencyShare.js'
import { shareOfRate } from './shares.js'
import { TokenBucket } from './TokenBucket.js'
import type { LimitDemand, LimitRefusal, OrganisationBounds } from './types.js'

/** The token bucket accumulates at most the inflow of this time. */
export const BURST_WINDOW: Millis = 1_000

/** Time constant of the exponential average of demand. */
const DEMAND_WINDOW: Millis = 5_000

/** Retry delay suggested when the limit of concurrent requests is reached. */
const CONCURRENCY_RETRY_AFTER: Millis = 500

/**
 * Admits requests within this node's share of an organisation's bounds.
 *
 * Concurrent requests: the limits of all nodes add up to the fleet-wide bound at most, as `ConcurrencyShare` describes. During a network
 * partition, each group of nodes divides the whole bound, so g groups admit at most g times the bound, whatever their sizes.
 * Token rate: the rates of all nodes add up to the bound in the same way. The fleet can exceed it by one burst window and
 * by one request per node, because a request larger than the window's inflow is admitted on credit.
 */
export class OrganisationLimit {
  readonly organisation: OrganisationId
  readonly #node: NodeId
  #bounds: OrganisationBounds
  #nodes: readonly NodeId[]
  #peerDemands = new Map<NodeId, LimitDemand>()
  readonly #share: ConcurrencyShare
  readonly #bucket: TokenBucket
  #inProgress = 0
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
    this.#share = new ConcurrencyShare(organisation, node, bounds.concurrent, now)
    this.#bucket = new TokenBucket(0, BURST_WINDOW, now)
    this.#setTokenRate(now)
  }

  /** Number of requests in progress at this node. */
  get inProgress (): number {
    return this.#inProgress
  }

  /** @returns how many concurrent requests this node may admit; `Infinity` if there is no bound */
  concurrencyLimit (now: Millis): number {
    return this.#share.limit(now)
  }

  /** Replaces the fleet-wide bounds. */
  configure (bounds: OrganisationBounds, now: Millis): void {
    this.#bounds = bounds
    this.#share.configure(bounds.concurrent, now)
    this.#setTokenRate(now)
  }

  /**
   * Applies the demands that other nodes gossiped.
   *
   * @param nodes - all live nodes, including this one
   * @param demands - the last demand of each node that announced one, also of nodes that are stopping; a missing one counts as zero, with
   *   the claim of an idle node
   * @param now - current time
   */
  update (nodes: readonly NodeId[], demands: readonly LimitDemand[], now: Millis): void {
    this.#nodes = nodes.includes(this.#node) ? nodes : [...nodes, this.#node]
    this.#peerDemands = new Map(demands.filter(({ node }) => node !== this.#node).map((demand) => [demand.node, demand]))
    this.#share.update(this.#nodes, this.#peerDemands, now)
    this.#setTokenRate(now)
  }

  /** @returns this node's current demand, for gossip */
  demand (now: Millis): LimitDemand {
    this.#decay(now)
    const held = this.#inProgress
    const concurrent = Math.ceil(held + this.#recentRefusals)
    const claim = this.#share.claimFor(held)
    return {
      organisation: this.organisation,
      node: this.#node,
      held,
      concurrent,
      tokensPerSecond: Math.round(this.#recentTokens * 1_000 / DEMAND_WINDOW),
      ...(claim === undefined ? {} : { claim })
    }
  }

  /** @returns whether this demand of this node says no more than what the other nodes assume without it */
  isIdle ({ concurrent, tokensPerSecond, claim }: LimitDemand): boolean {
    return concurrent === 0 && tokensPerSecond === 0 && this.#share.isAssumed(claim)
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

  #setTokenRate (now: Millis): void {
    const { tokensPerSecond } = this.#bounds
    if (tokensPerSecond === null) return
    this.#bucket.setRate(shareOfRate(tokensPerSecond, this.#node, this.#mapDemands((demand) => ({ demand: demand?.tokensPerSecond ?? 0 }))), now)
  }

  #mapDemands<Selected>(select: (demand: LimitDemand | undefined) => Selected): readonly (Selected & { readonly node: NodeId })[] {
    return this.#nodes.map((node) => ({ ...select(node === this.#node ? this.#share.announced : this.#peerDemands.get(node)), node }))
  }

  /**
   * Records the demand that was gossiped and recomputes the shares from it.
   *
   * @param demand - the demand as the other nodes receive it; null if none was gossiped
   * @param now - current time
   */
  setPublishedDemand (demand: LimitDemand | null, now: Millis): void {
    this.#share.announce(demand, now)
    this.#setTokenRate(now)
  }

  #decay (now: Millis): void {
    const factor = Math.exp(-Math.max(0, now - this.#decayedAt) / DEMAND_WINDOW)
    this.#recentTokens *= factor
    this.#recentRefusals *= factor
    this.#decayedAt = now
  }
}
