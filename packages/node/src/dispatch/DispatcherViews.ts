/** Lists the states of the dispatchers that this node can send orders to, as input of the router. */
import type { DispatcherState, DispatchSummary, FailureDomain, NodeId } from '@bluebellhill/domain'

import { monotonicNow } from '../clock/monotonic.js'
import type { MembershipService, SummaryExchange } from '../membership/index.js'
import type { DispatcherHost } from './DispatcherHost.js'

const DOMAIN_PREFIX = 'domain:'

/**
 * Builds the node id that stands for a whole failure domain in the router's choice. Only the summary of another
 * failure domain is gossiped, not the states of its dispatchers.
 *
 * @param failureDomain - the other failure domain
 */
export const nodeIdOfFailureDomain = (failureDomain: FailureDomain): NodeId => `${DOMAIN_PREFIX}${failureDomain}` as NodeId

/**
 * Extracts the failure domain from the node id that the router chose.
 *
 * @param node - the node id that the router chose
 * @returns the failure domain, or null if the id names a single node
 */
export const failureDomainOf = (node: NodeId): FailureDomain | null =>
  node.startsWith(DOMAIN_PREFIX) ? node.slice(DOMAIN_PREFIX.length) as FailureDomain : null

/** Combines the gossiped summaries of other dispatchers with those of this node's own dispatcher. */
export class DispatcherViews {
  readonly #membership: MembershipService
  readonly #exchange: SummaryExchange
  readonly #ownDispatcher: DispatcherHost

  constructor (membership: MembershipService, exchange: SummaryExchange, ownDispatcher: DispatcherHost) {
    this.#membership = membership
    this.#exchange = exchange
    this.#ownDispatcher = ownDispatcher
  }

  /**
   * Lists the states of the dispatchers that serve a model: one entry for each dispatcher of this failure domain and one
   * entry for each other failure domain.
   *
   * @param model - the requested model
   */
  states (model: string): DispatcherState[] {
    return [...this.#ownState(model), ...this.#statesInOwnDomain(model), ...this.#statesOfOtherDomains(model)]
  }

  /** Summaries of the other dispatchers in this failure domain, for all models. */
  peerSummaries (): DispatchSummary[] {
    const me = this.#membership.me().node
    return this.#exchange.modelNames().flatMap((model) => this.#exchange.dispatcherSummaries(model)
      .filter(({ dispatcher }) => dispatcher.node !== me)
      .map(({ dispatcher, summary }) => ({ ...summary, node: dispatcher.node })))
  }

  #ownState (model: string): DispatcherState[] {
    const me = this.#membership.me()
    const summaries = this.#ownDispatcher.summaries().filter((summary) => summary.model === model)
    if (summaries.length === 0) return []
    return [{ node: me.node, failureDomain: me.failureDomain, receivedAt: monotonicNow(), summaries }]
  }

  #statesInOwnDomain (model: string): DispatcherState[] {
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

  #statesOfOtherDomains (model: string): DispatcherState[] {
    return this.#exchange.domainSummaries(model).map(({ failureDomain, summary, receivedAt }) => ({
      node: nodeIdOfFailureDomain(failureDomain),
      failureDomain,
      receivedAt,
      summaries: [summary]
    }))
  }
}
