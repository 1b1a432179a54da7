/** Placement policy of plain services whose servers are uneven: shortest expected time, and for cold servers a part of the requests. */
import type { Millis, NodeId, RunnerId } from '../types.js'
import { LeastOutstanding } from './LeastOutstanding.js'
import { PlacementPolicy } from './PlacementPolicy.js'
import type { Candidate, PlacementChoice, PlacementRequest } from './PlacementPolicy.js'
import { ServiceTimes } from './ServiceTimes.js'
import type { BackendServer } from './types.js'

/** Servers whose expected time is at most this much longer than the shortest count as equal: observed times of equal servers differ by chance. */
const EQUAL_TIME_FACTOR = 1.25

/** Requests that a cold server may have saved up, so that it gets no burst. */
const MAX_CREDIT = 1.5

export interface ExpectedTimePlacementOptions {
  readonly node: NodeId
  /** Returns how far a server has warmed up, from 0 to 1. */
  readonly warmthOf: (server: BackendServer, now: Millis) => number
}

/** Chooses the server with the fewest requests among those with the shortest expected time. */
export class ExpectedTimePlacement extends PlacementPolicy {
  readonly #options: ExpectedTimePlacementOptions
  readonly #leastOutstanding: LeastOutstanding
  readonly #times = new ServiceTimes()
  /** Part of a request that each cold server may still get; a whole one makes it a candidate. */
  readonly #credits = new Map<RunnerId, number>()

  /** @param options - this node, and the warm-up of the servers */
  constructor (options: ExpectedTimePlacementOptions) {
    super()
    this.#options = options
    this.#leastOutstanding = new LeastOutstanding(options.node)
  }

  /**
   * Records a complete answer. What a cold server takes says nothing of it once it is warm.
   *
   * @param server - the backend server
   * @param inProgress - number of its requests when the answer was complete, this one included
   * @param time - time from the sending of the request to the end of the answer
   * @param now - current time
   */
  observe (server: BackendServer, inProgress: number, time: Millis, now: Millis): void {
    if (this.#options.warmthOf(server, now - time) === 1) this.#times.observe(server, inProgress, time, now)
  }

  /**
   * Discards what is known of a server that was removed or has restarted.
   *
   * @param id - the backend server
   */
  remove (id: RunnerId): void {
    this.#times.remove(id)
    this.#credits.delete(id)
  }

  choose (request: PlacementRequest): PlacementChoice | null {
    const { candidates, loads, now } = request
    const hasFreeSlot = ({ server }: Candidate): boolean => loads.get(server.id).requests.length < server.slots
    const warm = candidates.filter(({ server }) => this.#options.warmthOf(server, now) === 1)
    const cold = candidates.filter((candidate) => !warm.includes(candidate))
    const fastest = this.#fastest(warm, request)
    // Without a free slot at a warm server, a cold one is faster.
    if (!fastest.some(hasFreeSlot)) return this.#leastOutstanding.choose({ ...request, candidates: warm.some(hasFreeSlot) ? warm : candidates })
    const due = this.#dueCold(cold, fastest.length + cold.length, now).filter(hasFreeSlot)
    const choice = this.#leastOutstanding.choose({ ...request, candidates: due.length > 0 ? due : fastest })
    if (choice !== null && due.length > 0) this.#credits.set(choice.server.id, (this.#credits.get(choice.server.id) ?? 0) - 1)
    return choice
  }

  /** Each cold server earns its even share of a request, in proportion to how far it is warm. */
  #dueCold (cold: readonly Candidate[], count: number, now: Millis): Candidate[] {
    return cold.filter(({ server }) => {
      const credit = Math.min(MAX_CREDIT, (this.#credits.get(server.id) ?? 0) + this.#options.warmthOf(server, now) / count)
      this.#credits.set(server.id, credit)
      return credit >= 1
    })
  }

  #fastest (candidates: readonly Candidate[], { loads, now }: PlacementRequest): Candidate[] {
    const times = this.#times.expected(candidates.map(({ server }) => ({ server, inProgress: loads.get(server.id).requests.length })), now)
    const limit = EQUAL_TIME_FACTOR * Math.min(...times)
    return candidates.filter((_, index) => (times[index] ?? Infinity) <= limit)
  }
}
