/** One organisation's limits at one node: its part of the fleet's bounds, divided by gossiped demand. */
import type { Millis, NodeId, OrganisationId, Tokens } from '../types.js'
import { shareOfPlaces, shareOfRate } from './shares.js'
import { TokenBucket } from './TokenBucket.js'
import type { LimitDemand, LimitRefusal, OrganisationBounds } from './types.js'

/** Time whose inflow of tokens can be saved up. */
export const BURST_WINDOW: Millis = 1_000

/** Time over which demand is averaged. */
const DEMAND_WINDOW: Millis = 5_000

/** Retry time for a request that finds all places taken. */
const PLACE_RETRY_AFTER: Millis = 500

/** Time after which a larger part of the places is used; a smaller one is at once. Longer than gossip takes. */
export const GROWTH_DELAY: Millis = 2_000

/**
 * Admits requests within this node's part.
 *
 * Bound of requests at once: the parts of all nodes with one view add up to the fleet's bound, and a part grows only
 * after every other node has had the time to hear that its own has shrunk. While nodes cannot hear each other, each
 * group of them divides the whole bound: with g groups at most g times the bound is admitted, whatever their sizes.
 * Bound of tokens: the rates add up in the same way; on top of them come one burst window and, for each node, one
 * request, since a request larger than the window's inflow is admitted on credit.
 */
export class OrganisationLimit {
  readonly organisation: OrganisationId
  readonly #node: NodeId
  #bounds: OrganisationBounds
  #nodes: readonly NodeId[]
  #peers = new Map<NodeId, LimitDemand>()
  readonly #bucket: TokenBucket
  #inProgress = 0
  #part = 0
  /** Smaller parts of the last moments, which still hold. */
  #parts: { readonly places: number, readonly until: Millis }[] = []
  #refused = 0
  #asked = 0
  #decayedAt: Millis

  /**
   * @param organisation - whose limits
   * @param node - this node
   * @param bounds - the fleet's bounds
   * @param now - time
   */
  constructor (organisation: OrganisationId, node: NodeId, bounds: OrganisationBounds, now: Millis) {
    this.organisation = organisation
    this.#node = node
    this.#bounds = bounds
    this.#nodes = [node]
    this.#decayedAt = now
    this.#bucket = new TokenBucket(0, BURST_WINDOW, now)
    this.#apply(now)
  }

  /** Requests in progress at this node. */
  get inProgress (): number {
    return this.#inProgress
  }

  /** @returns places that this node may fill; infinite where there is no bound */
  places (now: Millis): number {
    if (this.#bounds.concurrent === null) return Infinity
    const growing = this.#parts.filter(({ until }) => until > now).map(({ places }) => places)
    return Math.min(this.#part, ...growing)
  }

  /** Installs changed bounds. */
  configure (bounds: OrganisationBounds, now: Millis): void {
    this.#bounds = bounds
    this.#apply(now)
  }

  /**
   * Takes in what the other nodes gossiped.
   *
   * @param nodes - all live nodes, this one included
   * @param demands - the last demand of each; one that is missing counts as none
   * @param now - time
   */
  update (nodes: readonly NodeId[], demands: readonly LimitDemand[], now: Millis): void {
    this.#nodes = nodes.includes(this.#node) ? nodes : [...nodes, this.#node]
    this.#peers = new Map(demands.filter(({ node }) => node !== this.#node).map((demand) => [demand.node, demand]))
    this.#apply(now)
  }

  /** @returns this node's demand, to be gossiped */
  demand (now: Millis): LimitDemand {
    this.#decay(now)
    return {
      organisation: this.organisation,
      node: this.#node,
      held: this.#inProgress,
      concurrent: Math.ceil(this.#inProgress + this.#refused),
      tokensPerSecond: Math.round(this.#asked * 1_000 / DEMAND_WINDOW)
    }
  }

  /**
   * Admits a request, or says why not.
   *
   * @param tokens - prompt tokens and the most that the answer may take
   * @param now - time
   * @returns null when admitted; `release` has to follow then
   */
  admit (tokens: Tokens, now: Millis): LimitRefusal | null {
    this.#decay(now)
    this.#asked += tokens
    if (this.#inProgress >= this.places(now)) {
      this.#refused += 1
      return { bound: 'concurrent', retryAfter: PLACE_RETRY_AFTER, reason: `${this.#inProgress} requests are in progress here` }
    }
    const wait = this.#bounds.tokensPerSecond === null ? 0 : this.#bucket.take(tokens, now)
    if (wait > 0) return { bound: 'tokens_per_second', retryAfter: Math.ceil(Math.min(wait, 60_000)), reason: 'the tokens of this time are used up' }
    this.#inProgress += 1
    return null
  }

  /**
   * Ends an admitted request.
   *
   * @param unused - tokens that were admitted and not used
   * @param now - time
   */
  release (unused: Tokens, now: Millis): void {
    this.#inProgress = Math.max(0, this.#inProgress - 1)
    this.#bucket.giveBack(unused, now)
  }

  #apply (now: Millis): void {
    const { concurrent, tokensPerSecond } = this.#bounds
    if (tokensPerSecond !== null) {
      this.#bucket.setRate(shareOfRate(tokensPerSecond, this.#node, this.#demands((demand) => ({ demand: demand?.tokensPerSecond ?? 0 }))), now)
    }
    if (concurrent === null) return
    this.#parts = this.#parts.filter(({ until }) => until > now)
    this.#parts.push({ places: this.#part, until: now + GROWTH_DELAY })
    const demands = this.#demands((demand) => ({ demand: demand?.concurrent ?? 0, held: demand?.held ?? 0 }))
    this.#part = shareOfPlaces(concurrent, this.#node, demands, this.organisation)
  }

  #demands<Read>(read: (demand: LimitDemand | undefined) => Read): readonly (Read & { readonly node: NodeId })[] {
    return this.#nodes.map((node) => ({ ...read(node === this.#node ? this.#gossiped : this.#peers.get(node)), node }))
  }

  /** This node's demand as the others have it, so that all divide by the same numbers. */
  #gossiped: LimitDemand | undefined

  /**
   * Fixes the demand that was sent out.
   *
   * @param demand - what `demand` returned and the others will receive
   */
  published (demand: LimitDemand, now: Millis): void {
    this.#gossiped = demand
    this.#apply(now)
  }

  #decay (now: Millis): void {
    const kept = Math.exp(-Math.max(0, now - this.#decayedAt) / DEMAND_WINDOW)
    this.#asked *= kept
    this.#refused *= kept
    this.#decayedAt = now
  }
}
