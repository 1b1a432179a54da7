/** Baseline placement policy, also used for plain services: least outstanding requests. */
import type { NodeId } from '../types.js'
import { tieBreakRank } from './contention.js'
import { PlacementPolicy } from './PlacementPolicy.js'
import type { PlacementChoice, PlacementRequest } from './PlacementPolicy.js'

/** Chooses the backend server with the fewest requests, regardless of their length. */
export class LeastOutstanding extends PlacementPolicy {
  readonly #node: NodeId

  /** @param node - this node */
  constructor (node: NodeId) {
    super()
    this.#node = node
  }

  choose ({ candidates, loads: serverLoads, timing, size }: PlacementRequest): PlacementChoice | null {
    const loads = candidates.map(({ server }) => ({ server, requests: serverLoads.get(server.id).requests.length }))
    loads.sort((a, b) => a.requests - b.requests || tieBreakRank(this.#node, a.server.id) - tieBreakRank(this.#node, b.server.id))
    const [best] = loads
    if (best === undefined) return null
    return { server: best.server, helpers: [], holders: [], timeToFirstEvent: timing.prefillTime(size.prompt), isDeferred: false }
  }
}
