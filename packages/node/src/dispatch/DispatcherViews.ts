/** What this node knows of the dispatchers that it may ask. */
import type { DispatcherState, DispatchSummary, FailureDomain, Millis, NodeId } from '@bluebellhill/domain'

import { monotonicNow } from '../clock/monotonic.js'
import type { MembershipService, SummaryExchange } from '../membership/index.js'
import type { DispatcherHost } from './DispatcherHost.js'

const DOMAIN_PREFIX = 'domain:'
const DISPATCHER_TOPIC = 'd/'
const AGGREGATE_TOPIC = 'a/'

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
  readonly #receivedAt = new Map<string, Millis>()
  readonly #stopListening: () => void

  constructor (membership: MembershipService, exchange: SummaryExchange, own: DispatcherHost) {
    this.#membership = membership
    this.#exchange = exchange
    this.#own = own
    this.#stopListening = membership.onChange((change) => {
      if (change.type !== 'value_changed') return
      const { node, topic } = change.value
      if (topic.startsWith(DISPATCHER_TOPIC) || topic.startsWith(AGGREGATE_TOPIC)) this.#receivedAt.set(`${topic}|${node}`, monotonicNow())
    })
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
    const models = new Set(this.#membership.valuesUnder(DISPATCHER_TOPIC).map(({ topic }) => topic.slice(DISPATCHER_TOPIC.length)))
    const me = this.#membership.me().node
    return [...models].flatMap((model) => this.#exchange.dispatchers(model)
      .filter(({ dispatcher }) => dispatcher.node !== me)
      .map(({ summary }) => summary))
  }

  dispose (): void {
    this.#stopListening()
  }

  #ownState (model: string): DispatcherState[] {
    const me = this.#membership.me()
    const summaries = this.#own.summaries().filter((summary) => summary.model === model)
    if (summaries.length === 0) return []
    return [{ node: me.node, failureDomain: me.failureDomain, receivedAt: monotonicNow(), summaries }]
  }

  #near (model: string): DispatcherState[] {
    const me = this.#membership.me()
    return this.#exchange.dispatchers(model)
      .filter(({ dispatcher }) => dispatcher.node !== me.node)
      .map(({ dispatcher, summary }) => ({
        node: dispatcher.node,
        failureDomain: dispatcher.failureDomain,
        receivedAt: this.#receivedAt.get(`${DISPATCHER_TOPIC}${model}|${dispatcher.node}`) ?? 0,
        summaries: [summary]
      }))
  }

  #far (model: string): DispatcherState[] {
    return this.#exchange.failureDomains(model).map(({ failureDomain, summary }) => ({
      node: domainNode(failureDomain),
      failureDomain,
      receivedAt: this.#latest(`${AGGREGATE_TOPIC}${model}|`),
      summaries: [summary]
    }))
  }

  #latest (prefix: string): Millis {
    let latest = 0
    for (const [key, at] of this.#receivedAt) {
      if (key.startsWith(prefix)) latest = Math.max(latest, at)
    }
    return latest
  }
}
