/** Tracks the dispatch orders that this entry node has placed recently and that gossiped summaries may not include yet. */
import type { Millis, NodeId, Tokens } from '../types.js'
import { GOSSIP_LAG } from './constants.js'

interface PlacedOrder {
  readonly model: string
  readonly promptTokens: Tokens
  readonly placedAt: Millis
}

/** Sums the prompt tokens of recent dispatch orders by dispatcher and model. */
export class RecentOrders {
  readonly #ordersByDispatcher = new Map<NodeId, PlacedOrder[]>()

  /** Records an order placed with a dispatcher. */
  add (node: NodeId, model: string, promptTokens: Tokens, now: Millis): void {
    const orders = this.#ordersByDispatcher.get(node) ?? []
    orders.push({ model, promptTokens, placedAt: now })
    this.#ordersByDispatcher.set(node, orders)
  }

  /**
   * Sums the prompt tokens of orders that the dispatcher's last summary may not include, and discards older orders.
   *
   * Orders count in full until the next summary arrives. An estimate that reduced them as their prefill progressed
   * distributed prompts of medium length less evenly.
   *
   * @param node - the dispatcher
   * @param model - name of the model
   * @param receivedAt - time at which this node received the dispatcher's last summary
   */
  pendingTokens (node: NodeId, model: string, receivedAt: Millis): Tokens {
    const recent = (this.#ordersByDispatcher.get(node) ?? []).filter((order) => order.placedAt > receivedAt - GOSSIP_LAG)
    if (recent.length === 0) this.#ordersByDispatcher.delete(node)
    else this.#ordersByDispatcher.set(node, recent)
    return recent.reduce((sum, order) => order.model === model ? sum + order.promptTokens : sum, 0)
  }
}
