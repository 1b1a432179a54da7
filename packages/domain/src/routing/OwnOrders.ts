/** Orders that this entry node has placed and that gossiped summaries may not show yet. */
import type { Millis, NodeId, Tokens } from '../types.js'
import { GOSSIP_LAG } from './constants.js'

interface PlacedOrder {
  readonly model: string
  readonly promptTokens: Tokens
  readonly at: Millis
}

/** How fast a dispatcher works off what it is given. */
export interface DispatcherPace {
  /** When its summary arrived. */
  readonly receivedAt: Millis
  /** Prompt tokens a second of one of its runners; 0 while unknown. */
  readonly runnerRate: number
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
   * Prompt tokens of the orders since a summary was made, less what a runner each has computed meanwhile.
   *
   * @param node - the dispatcher
   * @param model - name of the model
   * @param pace - the dispatcher's summary and rate
   * @param now - time
   */
  pending (node: NodeId, model: string, { receivedAt, runnerRate }: DispatcherPace, now: Millis): Tokens {
    const recent = (this.#placed.get(node) ?? []).filter((order) => order.at > receivedAt - GOSSIP_LAG)
    if (recent.length === 0) this.#placed.delete(node)
    else this.#placed.set(node, recent)
    let pending = 0
    for (const order of recent) {
      if (order.model === model) pending += Math.max(0, order.promptTokens - (now - order.at) * runnerRate / 1_000)
    }
    return pending
  }
}
