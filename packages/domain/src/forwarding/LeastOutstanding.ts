/** Baseline: the engine with the fewest requests. */
import { PlacementPolicy } from './PlacementPolicy.js'
import type { Choice, PlacementRequest } from './PlacementPolicy.js'

/** Chooses the engine with the fewest requests, whatever their length. */
export class LeastOutstanding extends PlacementPolicy {
  choose ({ candidates, works, model, size }: PlacementRequest): Choice | null {
    const loads = candidates.map(({ server }) => ({ server, requests: works.of(server.id).requests.length }))
    loads.sort((a, b) => a.requests - b.requests)
    const [best] = loads
    if (best === undefined) return null
    return { server: best.server, helpers: [], holders: [], firstEvent: model.reading(size.prompt) }
  }
}
