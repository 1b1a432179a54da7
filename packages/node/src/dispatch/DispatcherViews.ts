/** What this node knows of the dispatchers that it may ask. */
import type { DispatcherState, DispatchSummary, FailureDomain, NodeId } from '@bluebellhill/domain'

import { monotonicNow } from '../clock/monotonic.js'
import type { MembershipService, SummaryExchange } from '../membership/index.js'
import type { DispatcherHost } from './DispatcherHost.js'

const DOMAIN_PREFIX = 'domain:'

/**
 * Names a whole failure domain in a router's choice, where only its sum is known.
 *
 * @param failureDomain - the other failure domain
 */
export const domainNode = (failureDomain: FailureDomain): NodeId => `${DOMAIN_PREFIX}${failureDomain}` as NodeId

/**
 * Reads the failure domain out of a router's choice.
 *
 * @param node - what the router chose
 * @returns the failure domain, or null where a single node was chosen
 */
export const failureDomainOf = (node: NodeId): FailureDomain | null =>
  node.startsWith(DOMAIN_PREFIX) ? node.slice(DOMAIN_PREFIX.length) as FailureDomain : null

/** Joins the gossiped summaries with this node's own. */
export class DispatcherViews {
  readonly #membership: MembershipService
  readonly #exchange: SummaryExchange
  readonly #own: DispatcherHost

  constructor (membership: MembershipService, exchange: SummaryExchange, own: DispatcherHost) {
    this.#membership = membership
    this.#exchange = exchange
    this.#own = own
  }

  /**
   * Lists the dispatchers that serve a model, each single one of the own failure domain and one entry for each other.
   *
   * @param model - the model asked for
   */
  states (model: string): DispatcherState[] {
    return [...this.#ownState(model), ...this.#near(model), ...this.#far(model)]
  }

  /** Summaries of the other dispatchers in the own failure domain, for all models. */
  peers (): DispatchSummary[] {
    const me = this.#membership.me().node
    return this.#exchange.modelNames().flatMap((model) => this.#exchange.dispatcherSummaries(model)
      .filter(({ dispatcher }) => dispatcher.node !== me)
      .map(({ dispatcher, summary }) => ({ ...summary, node: dispatcher.node })))
  }

  #ownState (model: string): DispatcherState[] {
    const me = this.#membership.me()
    const summaries = this.#own.summaries().filter((summary) => summary.model === model)
    if (summaries.length === 0) return []
    return [{ node: me.node, failureDomain: me.failureDomain, receivedAt: monotonicNow(), summaries }]
  }

  #near (model: string): DispatcherState[] {
    const me = this.#membership.me()
    return this.#exchange.dispatcherSummaries(model)
      .filter(({ dispatcher }) => dispatcher.node !== me.node)
      .map(({ dispatcher, summary, receivedAt }) => ({
        node: dispatcher.node,
        failureDomain: dispatcher.failureDomain,
        receivedAt,
        summaries: [summary]
      }))
  }

  #far (model: string): DispatcherState[] {
    return this.#exchange.domainSummaries(model).map(({ failureDomain, summary, receivedAt }) => ({
      node: domainNode(failureDomain),
      failureDomain,
      receivedAt,
      summaries: [summary]
    }))
  }
}
