/** Orders that this entry node has placed and that gossiped summaries may not show yet. */
import type { Millis, NodeId, Tokens } from '../types.js'
import { GOSSIP_LAG } from './constants.js'

interface PlacedOrder {
  readonly model: string
  readonly promptTokens: Tokens
  readonly at: Millis
}

/** Sums recent orders by dispatcher and model. */
export class OwnOrders {
  readonly #placed = new Map<NodeId, PlacedOrder[]>()

  /** Notes an order placed at a dispatcher. */
  add (node: NodeId, model: string, promptTokens: Tokens, now: Millis): void {
    const placed = this.#placed.get(node) ?? []
    placed.push({ model, promptTokens, at: now })
    this.#placed.set(node, placed)
  }

  /**
   * Prompt tokens of the orders since a summary was made.
   *
   * They count in full until the next summary: an estimate that counted them down as they are worked off spread middle
   * prompts worse.
   *
   * @param node - the dispatcher
   * @param model - name of the model
   * @param receivedAt - when its summary arrived
   */
  pending (node: NodeId, model: string, receivedAt: Millis): Tokens {
    const recent = (this.#placed.get(node) ?? []).filter((order) => order.at > receivedAt - GOSSIP_LAG)
    if (recent.length === 0) this.#placed.delete(node)
    else this.#placed.set(node, recent)
    return recent.reduce((sum, order) => order.model === model ? sum + order.promptTokens : sum, 0)
  }
}
