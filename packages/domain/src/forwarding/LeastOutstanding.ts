/** Baseline: the engine with the fewest requests. */
import type { NodeId } from '../types.js'
import { preferenceOf } from './contention.js'
import { PlacementPolicy } from './PlacementPolicy.js'
import type { Choice, PlacementRequest } from './PlacementPolicy.js'

/** Chooses the engine with the fewest requests, whatever their length. */
export class LeastOutstanding extends PlacementPolicy {
  readonly #node: NodeId

  /** @param node - this node */
  constructor (node: NodeId) {
    super()
    this.#node = node
  }

  choose ({ candidates, works, model, size }: PlacementRequest): Choice | null {
    const loads = candidates.map(({ server }) => ({ server, requests: works.of(server.id).requests.length }))
    loads.sort((a, b) => a.requests - b.requests || preferenceOf(this.#node, a.server.id) - preferenceOf(this.#node, b.server.id))
    const [best] = loads
    if (best === undefined) return null
    return { server: best.server, helpers: [], holders: [], firstEvent: model.reading(size.prompt) }
  }
}
