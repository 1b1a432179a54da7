/** The limits of organisations and templates at this node, divided among the nodes by gossiped demand. */
import { OrganisationLimit, ValueScope } from '@bluebellhill/domain'
import type { LimitDemand, LimitRefusal, NodeId, OrganisationBounds, OrganisationId, Tokens } from '@bluebellhill/domain'
import type { Configuration } from '@bluebellhill/services'

import { monotonicNow } from '../clock/monotonic.js'
import type { MembershipService } from '../membership/index.js'
import { asGossiped, decodeDemand, encodeDemands } from './limitCodec.js'

const TOPIC = 'limits'
const EXCHANGE_INTERVAL_MS = 500
/** Limits that fit into one gossip value. */
const MAX_GOSSIPED = 60

/** A request that was admitted under its limits; released once. */
export interface LimitedRequest {
  /**
   * Ends the request.
   *
   * @param unused - tokens that were counted and not used
   */
  release (unused: Tokens): void
}

/** What a request counts against. */
export interface LimitSubject {
  readonly organisation: OrganisationId
  readonly template: string
  /** Prompt tokens and the most that the answer may take. */
  readonly tokens: Tokens
}

type Admitted = { readonly type: 'admitted', readonly request: LimitedRequest } | { readonly type: 'refused', readonly refusal: LimitRefusal }

/** Admits requests within the limits of the configuration in force. */
export class OrganisationLimits {
  readonly #node: NodeId
  readonly #membership: MembershipService
  readonly #current: () => Configuration | null
  readonly #limits = new Map<OrganisationId, OrganisationLimit>()
  readonly #timer: NodeJS.Timeout
  #configured: Configuration | null = null

  /**
   * @param node - this node
   * @param membership - carries the demands
   * @param current - gives the configuration in force
   */
  constructor (node: NodeId, membership: MembershipService, current: () => Configuration | null) {
    this.#node = node
    this.#membership = membership
    this.#current = current
    this.#timer = setInterval(() => this.#exchange(), EXCHANGE_INTERVAL_MS)
  }

  /**
   * Admits a request under the limit of its organisation and that of its template.
   *
   * @param subject - what the request counts against
   * @returns the admitted request, or why it is above a limit
   */
  admit (subject: LimitSubject): Admitted {
    this.#configure()
    const now = monotonicNow()
    const held: OrganisationLimit[] = []
    for (const limit of this.#limitsOf(subject)) {
      const refusal = limit.admit(subject.tokens, now)
      if (refusal !== null) {
        for (const taken of held) taken.release(subject.tokens, now)
        return { type: 'refused', refusal }
      }
      held.push(limit)
    }
    return { type: 'admitted', request: { release: (unused) => held.forEach((limit) => limit.release(unused, monotonicNow())) } }
  }

  dispose (): void {
    clearInterval(this.#timer)
  }

  #limitsOf ({ organisation, template }: LimitSubject): OrganisationLimit[] {
    return [organisation, templateLimit(organisation, template)].flatMap((name) => this.#limits.get(name) ?? [])
  }

  /** Takes changed bounds over; what is in progress keeps its place. */
  #configure (): void {
    const configuration = this.#current()
    if (configuration === null || configuration === this.#configured) return
    this.#configured = configuration
    const bounds = boundsOf(configuration)
    const now = monotonicNow()
    for (const name of this.#limits.keys()) if (!bounds.has(name)) this.#limits.delete(name)
    for (const [name, bound] of bounds) this.#configureOne(name, bound, now)
  }

  #configureOne (name: OrganisationId, bounds: OrganisationBounds, now: number): void {
    const known = this.#limits.get(name)
    if (known !== undefined) return known.configure(bounds, now)
    const limit = new OrganisationLimit(name, this.#node, bounds, now)
    limit.update(this.#nodes(), [], now)
    this.#limits.set(name, limit)
  }

  #exchange (): void {
    this.#configure()
    const now = monotonicNow()
    const demands = [...this.#limits.values()].map((limit) => asGossiped(limit.demand(now)))
    const busiest = demands.filter(isInUse).sort((left, right) => right.concurrent - left.concurrent).slice(0, MAX_GOSSIPED)
    this.#membership.publish(TOPIC, encodeDemands(busiest), { scope: ValueScope.Fleet })
    const told = new Map(busiest.map((demand) => [demand.organisation, demand]))
    for (const limit of this.#limits.values()) this.#update(limit, told.get(limit.organisation), now)
  }

  #update (limit: OrganisationLimit, told: LimitDemand | undefined, now: number): void {
    const { organisation } = limit
    limit.setPublishedDemand(told ?? { organisation, node: this.#node, held: 0, concurrent: 0, tokensPerSecond: 0 }, now)
    const demands = this.#membership.values(TOPIC)
      .filter(({ node }) => node !== this.#node)
      .flatMap(({ node, bytes }) => decodeDemand(organisation, node, bytes) ?? [])
    limit.update(this.#nodes(), demands, now)
  }

  #nodes (): NodeId[] {
    return this.#membership.workers().map((member) => member.node)
  }
}

const isInUse = ({ concurrent, tokensPerSecond }: LimitDemand): boolean => concurrent > 0 || tokensPerSecond > 0

const templateLimit = (organisation: OrganisationId, template: string): OrganisationId => `${organisation}/${template}` as OrganisationId

const boundsOf = (configuration: Configuration): Map<OrganisationId, OrganisationBounds> => {
  const bounds = new Map<OrganisationId, OrganisationBounds>()
  for (const organisation of configuration.organisations) {
    const id = organisation.name as OrganisationId
    addBounds(bounds, id, organisation.limits)
    for (const template of organisation.templates) addBounds(bounds, templateLimit(id, template.name), template.limits)
  }
  return bounds
}

const addBounds = (bounds: Map<OrganisationId, OrganisationBounds>, name: OrganisationId, limits: { requestsAtOnce?: number | undefined, tokensPerSecond?: number | undefined }): void => {
  const { requestsAtOnce, tokensPerSecond } = limits
  if (requestsAtOnce === undefined && tokensPerSecond === undefined) return
  bounds.set(name, { concurrent: requestsAtOnce ?? null, tokensPerSecond: tokensPerSecond ?? null })
}
