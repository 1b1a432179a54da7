/** One node's share of a bound on concurrent requests, raised only to what the claims of all other nodes leave. */
import type { Millis, NodeId, OrganisationId } from '../types.js'
import { rendezvousOrder } from '../routing/rendezvous.js'
import { evenShare, shareOfConcurrency } from './shares.js'
import type { ConcurrencyDemand } from './shares.js'
import type { LimitDemand } from './types.js'

/** Longest time that gossip may take to reach every node without the bound being exceeded. */
export const MAX_GOSSIP_DELAY: Millis = 2_000

/**
 * Time without an update after which a node admits nothing more, and time for which the others still count the claim of a node
 * that is no longer live, so that it has stopped before its share is used elsewhere.
 */
export const CLAIM_LIFETIME: Millis = 3_000

/** A claim that counts until the given time. */
interface ExpiringClaim {
  readonly claim: number
  readonly until: Millis
}

/**
 * Computes how many concurrent requests one node may admit.
 *
 * Each node announces a claim: its share by demand, and at least its requests in progress. It admits no more than the least claim that
 * it has announced within `MAX_GOSSIP_DELAY`, and raises its limit only to what the newest claims of all other nodes leave of the bound.
 * Whenever a node raises its limit, every other node uses at most the claim that this node knows of it, so the limits add up to the
 * bound at most, however the demands change, as long as gossip is not later than that. The claim of a node that announces none is taken
 * for an even share; one that has more in progress and announces nothing is not accounted for.
 */
export class ConcurrencyShare {
  readonly #organisation: OrganisationId
  readonly #node: NodeId
  #bound: number | null
  #nodes: readonly NodeId[]
  /** Position of each live node, including this one, in rendezvous order. */
  #ranks: ReadonlyMap<NodeId, number>
  #peers: ReadonlyMap<NodeId, LimitDemand> = new Map()
  #announced: LimitDemand | null = null
  #claim: number
  /** Earlier claims of this node that some other node may still take for the newest one. */
  #earlierClaims: ExpiringClaim[]
  /** Claims of nodes that are no longer live. */
  readonly #departedClaims = new Map<NodeId, ExpiringClaim>()
  #limit = 0
  #updatedAt: Millis | null = null

  /**
   * @param organisation - name of the limited organisation
   * @param node - this node
   * @param bound - the fleet-wide bound; null means unlimited
   * @param now - current time
   */
  constructor (organisation: OrganisationId, node: NodeId, bound: number | null, now: Millis) {
    this.#organisation = organisation
    this.#node = node
    this.#bound = bound
    this.#nodes = [node]
    this.#ranks = new Map([[node, 0]])
    this.#claim = this.#evenShareOf(node)
    this.#earlierClaims = [{ claim: 0, until: now + MAX_GOSSIP_DELAY }]
  }

  /** Demand that this node announced last; undefined if it announced none. */
  get announced (): LimitDemand | undefined {
    return this.#announced ?? undefined
  }

  /** @returns how many concurrent requests this node may admit; `Infinity` if there is no bound */
  limit (now: Millis): number {
    if (this.#bound === null) return Infinity
    return this.#updatedAt !== null && now - this.#updatedAt > CLAIM_LIFETIME ? 0 : this.#limit
  }

  /**
   * The share by demand counts this node's announced demand, like those of the others: with its newest one, which the others do not know
   * yet, each node would claim too much.
   *
   * @param held - requests in progress
   * @returns the claim to announce; undefined if there is no bound
   */
  claimFor (held: number): number | undefined {
    if (this.#bound === null) return undefined
    if (this.#updatedAt === null) return 0
    const share = this.#shareByDemand(this.#node)
    return Math.max(held, Math.min(share, this.#claimableBesideOthers(share)))
  }

  /** @returns whether the other nodes assume this claim of this node if it announces none */
  isAssumed (claim: number | undefined): boolean {
    return claim === undefined || claim === this.#evenShareOf(this.#node)
  }

  /**
   * Records what this node has announced.
   *
   * @param announced - demand with the claim; null if none was announced
   * @param now - current time
   */
  announce (announced: LimitDemand | null, now: Millis): void {
    this.#announced = announced
    this.#setClaim(announced?.claim ?? this.#evenShareOf(this.#node), now)
  }

  /** Replaces the fleet-wide bound. */
  configure (bound: number | null, now: Millis): void {
    if (bound === this.#bound) return
    const wasUnlimited = this.#bound === null
    this.#bound = bound
    if (bound === null) return
    if (wasUnlimited) this.#restart(0, now)
    else this.#limit = Math.min(this.#limit, this.#shareByDemand(this.#node))
    if (this.#announced === null) this.#setClaim(this.#evenShareOf(this.#node), now)
  }

  /**
   * Applies what the other nodes announced.
   *
   * @param nodes - all live nodes, including this one
   * @param peers - newest demand of each other node that announced one, also of those that are stopping
   * @param now - current time
   */
  update (nodes: readonly NodeId[], peers: ReadonlyMap<NodeId, LimitDemand>, now: Millis): void {
    this.#resumeAfterPause(now)
    this.#updatedAt = now
    if (!isSameList(nodes, this.#nodes)) this.#replaceNodes(nodes, now)
    for (const [node, { until }] of this.#departedClaims) if (until <= now) this.#departedClaims.delete(node)
    this.#peers = peers
    if (this.#announced === null) this.#setClaim(this.#evenShareOf(this.#node), now)
    this.#raise(now)
  }

  /** After a pause, gossip may be unread, and after a long one other nodes may use the share of this one. */
  #resumeAfterPause (now: Millis): void {
    if (this.#updatedAt === null) return
    const pause = now - this.#updatedAt
    if (pause > MAX_GOSSIP_DELAY) this.#restart(pause > CLAIM_LIFETIME ? 0 : this.#limit, now)
  }

  #restart (limit: number, now: Millis): void {
    this.#limit = limit
    this.#earlierClaims.push({ claim: limit, until: now + MAX_GOSSIP_DELAY })
  }

  #setClaim (claim: number, now: Millis): void {
    if (claim > this.#claim) this.#earlierClaims.push({ claim: this.#claim, until: now + MAX_GOSSIP_DELAY })
    this.#claim = claim
    this.#limit = Math.min(this.#limit, claim)
  }

  #raise (now: Millis): void {
    if (this.#bound === null) return
    this.#earlierClaims = this.#earlierClaims.filter(({ until }) => until > now)
    const knownClaim = Math.min(this.#claim, ...this.#earlierClaims.map(({ claim }) => claim))
    this.#limit = Math.max(this.#limit, Math.min(knownClaim, this.#bound - this.#claimsOfOthers()))
  }

  /** If the claims add up to more than the bound, each is reduced in proportion, so that they do not block each other. */
  #claimableBesideOthers (share: number): number {
    const bound = this.#bound ?? 0
    if (share + this.#claimsOfOthers() <= bound) return share
    const claims = this.#nodes.map((node) => ({ node, demand: 0, held: node === this.#node ? share : this.#claimOf(node) }))
    return shareOfConcurrency(Math.max(0, bound - this.#claimsOfDeparted()), this.#node, claims, this.#organisation)
  }

  /** Even shares add up to the bound, so only the nodes that announced something have to be looked at. */
  #claimsOfOthers (): number {
    let claims = (this.#bound ?? 0) - this.#evenShareOf(this.#node) + this.#claimsOfDeparted()
    for (const node of this.#peers.keys()) if (this.#ranks.has(node)) claims += this.#claimOf(node) - this.#evenShareOf(node)
    return claims
  }

  /** Claims of nodes that were live until a short time ago, and requests in progress at nodes that are stopping. */
  #claimsOfDeparted (): number {
    let claims = 0
    for (const { claim } of this.#departedClaims.values()) claims += claim
    for (const { node, held } of this.#peers.values()) if (!this.#ranks.has(node) && !this.#departedClaims.has(node)) claims += held
    return claims
  }

  /** A demand without a claim is of an earlier build, which uses its share by demand. */
  #claimOf (node: NodeId): number {
    const peer = this.#peers.get(node)
    if (peer === undefined) return this.#evenShareOf(node)
    return peer.claim ?? Math.max(peer.held, this.#shareByDemand(node))
  }

  #replaceNodes (nodes: readonly NodeId[], now: Millis): void {
    const live = new Set(nodes)
    for (const node of this.#nodes) if (!live.has(node)) this.#departedClaims.set(node, { claim: this.#claimOf(node), until: now + CLAIM_LIFETIME })
    for (const node of nodes) this.#departedClaims.delete(node)
    this.#nodes = nodes
    this.#ranks = new Map(rendezvousOrder(this.#organisation, nodes).map((node, rank) => [node, rank]))
  }

  #evenShareOf (node: NodeId): number {
    return evenShare(this.#bound ?? 0, this.#ranks.get(node) ?? 0, this.#ranks.size)
  }

  #shareByDemand (node: NodeId): number {
    if (this.#announced === null && this.#peers.size === 0) return this.#evenShareOf(node)
    return shareOfConcurrency(this.#bound ?? 0, node, this.#nodes.map((each) => this.#demandOf(each)), this.#organisation)
  }

  #demandOf (node: NodeId): ConcurrencyDemand {
    const known = node === this.#node ? this.#announced : this.#peers.get(node)
    return { node, demand: known?.concurrent ?? 0, held: known?.held ?? 0 }
  }
}

const isSameList = (left: readonly NodeId[], right: readonly NodeId[]): boolean =>
  left.length === right.length && left.every((name, index) => name === right[index])
