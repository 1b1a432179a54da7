/** Enforces the limits of organisations and templates on this node; the nodes divide each limit by their gossiped demand. */
import { isReachable, OrganisationLimit, ValueScope } from '@bluebellhill/domain'
import type { GossipValue, LimitDemand, LimitRefusal, NodeId, OrganisationBounds, OrganisationId, Tokens } from '@bluebellhill/domain'
import type { Configuration } from '@bluebellhill/services'

import { monotonicNow } from '../clock/monotonic.js'
import type { MembershipService } from '../membership/index.js'
import { roundDemand, decodeDemand, encodeDemands } from './limitCodec.js'

const DEMANDS_TOPIC = 'limits'
const EXCHANGE_INTERVAL_MS = 500
/** Number of limits that fit into one gossip value. */
const MAX_GOSSIPED_LIMITS = 60

/** A request that was admitted under its limits; `release` must be called once. */
export interface LimitedRequest {
  /**
   * Records the end of the request.
   *
   * @param unused - tokens that were counted at admission but not used
   */
  release (unused: Tokens): void
}

/** The limits against which a request is counted, and its size. */
export interface LimitSubject {
  readonly organisation: OrganisationId
  readonly template: string
  /** Prompt tokens plus the maximum answer tokens. */
  readonly tokens: Tokens
}

type AdmissionResult = { readonly type: 'admitted', readonly request: LimitedRequest } | { readonly type: 'refused', readonly refusal: LimitRefusal }

/** Admits requests within the limits of the configuration in force. */
export class OrganisationLimits {
  readonly #node: NodeId
  readonly #membership: MembershipService
  readonly #currentConfiguration: () => Configuration | null
  readonly #limits = new Map<OrganisationId, OrganisationLimit>()
  readonly #timer: NodeJS.Timeout
  #appliedConfiguration: Configuration | null = null

  /**
   * @param node - this node
   * @param membership - exchanges the demands of the nodes
   * @param currentConfiguration - returns the configuration in force
   */
  constructor (node: NodeId, membership: MembershipService, currentConfiguration: () => Configuration | null) {
    this.#node = node
    this.#membership = membership
    this.#currentConfiguration = currentConfiguration
    this.#timer = setInterval(() => this.#exchangeDemands(), EXCHANGE_INTERVAL_MS)
  }

  /**
   * Admits a request under the limit of its organisation and that of its template.
   *
   * @param subject - limits and size of the request
   * @returns the admitted request, or the limit that it would exceed
   */
  admit (subject: LimitSubject): AdmissionResult {
    this.#applyConfiguration()
    const now = monotonicNow()
    const admittedLimits: OrganisationLimit[] = []
    for (const limit of this.#limitsFor(subject)) {
      const refusal = limit.admit(subject.tokens, now)
      if (refusal !== null) {
        for (const admittedLimit of admittedLimits) admittedLimit.release(subject.tokens, now)
        return { type: 'refused', refusal }
      }
      admittedLimits.push(limit)
    }
    return { type: 'admitted', request: { release: (unused) => admittedLimits.forEach((limit) => limit.release(unused, monotonicNow())) } }
  }

  dispose (): void {
    clearInterval(this.#timer)
  }

  #limitsFor ({ organisation, template }: LimitSubject): OrganisationLimit[] {
    return [organisation, templateLimitName(organisation, template)].flatMap((name) => this.#limits.get(name) ?? [])
  }

  /** Applies changed bounds; requests in progress remain counted. */
  #applyConfiguration (): void {
    const configuration = this.#currentConfiguration()
    if (configuration === null || configuration === this.#appliedConfiguration) return
    this.#appliedConfiguration = configuration
    const bounds = boundsOf(configuration)
    const now = monotonicNow()
    for (const name of this.#limits.keys()) if (!bounds.has(name)) this.#limits.delete(name)
    for (const [name, bound] of bounds) this.#configureLimit(name, bound, now)
  }

  #configureLimit (name: OrganisationId, bounds: OrganisationBounds, now: number): void {
    const existing = this.#limits.get(name)
    if (existing !== undefined) return existing.configure(bounds, now)
    const limit = new OrganisationLimit(name, this.#node, bounds, now)
    limit.update(this.#nodes(), [], now)
    this.#limits.set(name, limit)
  }

  #exchangeDemands (): void {
    this.#applyConfiguration()
    const now = monotonicNow()
    const demands = [...this.#limits.values()].flatMap((limit) => demandToGossip(limit, now) ?? [])
    const busiest = demands.sort((left, right) => right.concurrent - left.concurrent).slice(0, MAX_GOSSIPED_LIMITS)
    this.#membership.publish(DEMANDS_TOPIC, encodeDemands(busiest), { scope: ValueScope.Fleet })
    const publishedDemands = new Map(busiest.map((demand) => [demand.organisation, demand]))
    const nodes = this.#nodes()
    const peerValues = this.#peerValues()
    for (const limit of this.#limits.values()) {
      limit.setPublishedDemand(publishedDemands.get(limit.organisation) ?? null, now)
      limit.update(nodes, peerValues.flatMap(({ node, bytes }) => decodeDemand(limit.organisation, node, bytes) ?? []), now)
    }
  }

  /** Values of other nodes that can be reached; those that are stopping still have requests in progress. */
  #peerValues (): GossipValue[] {
    const reachable = new Set(this.#membership.members().filter(isReachable).map(({ node }) => node))
    return this.#membership.values(DEMANDS_TOPIC).filter(({ node }) => node !== this.#node && reachable.has(node))
  }

  #nodes (): NodeId[] {
    return this.#membership.membersAcceptingWork().map((member) => member.node)
  }
}

/** Returns null if the other nodes assume the demand of this node without it. */
const demandToGossip = (limit: OrganisationLimit, now: number): LimitDemand | null => {
  const demand = roundDemand(limit.demand(now))
  return limit.isIdle(demand) ? null : demand
}

const templateLimitName = (organisation: OrganisationId, template: string): OrganisationId => `${organisation}/${template}` as OrganisationId

const boundsOf = (configuration: Configuration): Map<OrganisationId, OrganisationBounds> => {
  const bounds = new Map<OrganisationId, OrganisationBounds>()
  for (const organisation of configuration.organisations) {
    const id = organisation.name as OrganisationId
    addBounds(bounds, id, organisation.limits)
    for (const template of organisation.templates) addBounds(bounds, templateLimitName(id, template.name), template.limits)
  }
  return bounds
}

const addBounds = (bounds: Map<OrganisationId, OrganisationBounds>, name: OrganisationId, limits: { requestsAtOnce?: number | undefined, tokensPerSecond?: number | undefined }): void => {
  const { requestsAtOnce, tokensPerSecond } = limits
  if (requestsAtOnce === undefined && tokensPerSecond === undefined) return
  bounds.set(name, { concurrent: requestsAtOnce ?? null, tokensPerSecond: tokensPerSecond ?? null })
}
