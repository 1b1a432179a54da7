/** Baseline placement policy, also used for plain services: least outstanding requests. */
import type { NodeId, RunnerId } from '../types.js'
import { tieBreakRank } from './contention.js'
import { PlacementPolicy } from './PlacementPolicy.js'
import type { PlacementChoice, PlacementRequest } from './PlacementPolicy.js'

/** Servers whose last choice is remembered. */
const MAX_REMEMBERED_SERVERS = 1_000

/** Chooses the backend server with the fewest requests, regardless of their length; servers with equally many take turns. */
export class LeastOutstanding extends PlacementPolicy {
  readonly #node: NodeId
  /** Number of the last choice of each server; the oldest choice comes first. */
  readonly #lastChoices = new Map<RunnerId, number>()
  #choiceCount = 0

  /** @param node - this node */
  constructor (node: NodeId) {
    super()
    this.#node = node
  }

  choose ({ candidates, loads: serverLoads, timing, size }: PlacementRequest): PlacementChoice | null {
    const loads = candidates.map(({ server }) => ({ server, requests: serverLoads.get(server.id).requests.length }))
    loads.sort((a, b) => a.requests - b.requests || this.#lastChoice(a.server.id) - this.#lastChoice(b.server.id) || tieBreakRank(this.#node, a.server.id) - tieBreakRank(this.#node, b.server.id))
    const [best] = loads
    if (best === undefined) return null
    this.#rememberChoice(best.server.id)
    return { server: best.server, helpers: [], holders: [], timeToFirstEvent: timing.prefillTime(size.prompt), isDeferred: false }
  }

  #lastChoice (server: RunnerId): number {
    return this.#lastChoices.get(server) ?? 0
  }

  #rememberChoice (server: RunnerId): void {
    this.#choiceCount += 1
    this.#lastChoices.delete(server)
    this.#lastChoices.set(server, this.#choiceCount)
    if (this.#lastChoices.size <= MAX_REMEMBERED_SERVERS) return
    const [oldest] = this.#lastChoices.keys()
    if (oldest !== undefined) this.#lastChoices.delete(oldest)
  }
}
