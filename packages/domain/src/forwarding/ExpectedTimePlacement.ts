/** Placement policy of plain services whose servers are uneven: shortest expected time, and for cold servers a part of the requests. */
import type { Millis, NodeId, RunnerId } from '../types.js'
import { LeastOutstanding } from './LeastOutstanding.js'
import { PlacementPolicy } from './PlacementPolicy.js'
import type { Candidate, PlacementChoice, PlacementRequest } from './PlacementPolicy.js'
import { ServiceTimes } from './ServiceTimes.js'
import type { ServiceTime } from './ServiceTimes.js'
import type { BackendServer } from './types.js'

/** Requests that a cold server may have saved up, so that it gets no burst. */
const MAX_CREDIT = 1.5

/** Lower bound of the warmth by which a cold server is compared with others. */
const MIN_WARMTH = 0.01

export interface ExpectedTimePlacementOptions {
  readonly node: NodeId
  /** Returns how far a server has warmed up, from 0 to 1. */
  readonly warmthOf: (server: BackendServer, now: Millis) => number
}

/** Chooses the server with the shortest expected time; of servers that are equally fast, the one with the fewest requests. */
export class ExpectedTimePlacement extends PlacementPolicy {
  readonly times = new ServiceTimes()
  readonly #options: ExpectedTimePlacementOptions
  readonly #leastOutstanding: LeastOutstanding
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
   * @param answer - the answer
   * @param now - current time
   */
  observe (server: BackendServer, answer: ServiceTime, now: Millis): void {
    if (this.#options.warmthOf(server, now - answer.time) === 1) this.times.observe(server, answer, now)
  }

  /**
   * Discards what is known of a server that was removed or has restarted.
   *
   * @param id - the backend server
   */
  remove (id: RunnerId): void {
    this.times.remove(id)
    this.#credits.delete(id)
  }

  choose (request: PlacementRequest): PlacementChoice | null {
    const { candidates, loads, now } = request
    const hasFreeSlot = ({ server }: Candidate): boolean => loads.get(server.id).requests.length < server.slots
    const warm = candidates.filter(({ server }) => this.#options.warmthOf(server, now) === 1)
    // Without a free slot at a warm server, a cold one is faster.
    if (!warm.some(hasFreeSlot)) return this.#chooseFastest(request, candidates)
    const cold = candidates.filter((candidate) => !warm.includes(candidate))
    const due = this.#dueCold(cold, candidates.length, now).filter(hasFreeSlot)
    const choice = this.#chooseFastest(request, due.length > 0 ? due : warm)
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

  /** Of equal expected times, that of the faster server varies less with what comes after. */
  #chooseFastest (request: PlacementRequest, candidates: readonly Candidate[]): PlacementChoice | null {
    const { loads, now } = request
    const rated = candidates.map((candidate) => {
      const relative = this.times.relative(candidate.server, now) / Math.max(MIN_WARMTH, this.#options.warmthOf(candidate.server, now))
      const { requests } = loads.get(candidate.server.id)
      return { candidate, relative, expected: (requests.length + 1) * this.times.usualTime(candidate.server.service, requests.length) * relative }
    })
    rated.sort((a, b) => a.expected - b.expected || a.relative - b.relative)
    const [best] = rated
    const equal = rated.filter(({ expected, relative }) => expected === best?.expected && relative === best.relative)
    return this.#leastOutstanding.choose({ ...request, candidates: equal.map(({ candidate }) => candidate) })
  }
}
