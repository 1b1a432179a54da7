/** Draws requests that end servers and come again, from a generator of their own. */
import { CRASHING_PART_TRAFFIC_MS, FAULTS_FROM_MS } from './constants.js'
import type { Fleet } from './Fleet.js'
import { Random } from './Random.js'
import { RequestKind } from './types.js'
import type { FaultStep } from './types.js'

/** Added to the seed of the first faults, whose series stays as it is. */
const SEED_OFFSET = 3_000_003

/** Maximum number of such requests in one soak. */
const MOST_REQUESTS = 2

/** Latest first arrival. */
const LATEST_START_MS = 2_500

/** Time between two arrivals. */
const SHORTEST_GAP_MS = 100
const LONGEST_GAP_MS = 600

/** Time after which a server is back. */
const SHORTEST_DOWN_MS = 800
const LONGEST_DOWN_MS = 2_500

const KINDS = [RequestKind.Safe, RequestKind.Unsafe, RequestKind.Stream]

const deadlyRequest = (fleet: Fleet, random: Random, name: string): FaultStep => {
  const at = random.between(FAULTS_FROM_MS, LATEST_START_MS)
  const repetition = {
    kind: random.pick(KINDS),
    name,
    gapMs: random.between(SHORTEST_GAP_MS, LONGEST_GAP_MS),
    keepsId: random.between(0, 1) === 1,
    downMs: random.between(SHORTEST_DOWN_MS, LONGEST_DOWN_MS)
  }
  const { kind, gapMs, downMs } = repetition
  return {
    at,
    name: `a ${kind} request that ends servers for ${downMs} ms comes every ${gapMs} ms`,
    trafficUntil: CRASHING_PART_TRAFFIC_MS,
    run: async () => { await fleet.deadlyRequests.repeat(repetition, fleet.nodes, performance.now() + CRASHING_PART_TRAFFIC_MS - at) }
  }
}

/**
 * @param fleet - the fleet in which the faults occur
 * @param seed - of the soak
 * @returns the steps by time
 */
export const drawRequestFaults = (fleet: Fleet, seed: number): FaultStep[] => {
  const random = new Random(seed + SEED_OFFSET)
  return Array.from({ length: random.between(0, MOST_REQUESTS) }, (_, index) => deadlyRequest(fleet, random, `deadly-${seed}-${index}`)).sort((a, b) => a.at - b.at)
}
