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
   * Orders since a summary was made.
   *
   * @param node - the dispatcher
   * @param model - name of the model
   * @param receivedAt - when its summary arrived
   */
  since (node: NodeId, model: string, receivedAt: Millis): { readonly count: number, readonly promptTokens: Tokens } {
    const placed = this.#placed.get(node)
    if (placed === undefined) return { count: 0, promptTokens: 0 }
    const from = receivedAt - GOSSIP_LAG
    const recent = placed.filter((order) => order.at > from)
    if (recent.length === 0) this.#placed.delete(node)
    else this.#placed.set(node, recent)
    const matching = recent.filter((order) => order.model === model)
    return { count: matching.length, promptTokens: matching.reduce((sum, order) => sum + order.promptTokens, 0) }
  }
}
