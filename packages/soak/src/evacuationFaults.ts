/** Draws the evacuation of a failure domain, from a generator of its own, and checks that no request reaches the failure domain meanwhile. */
import { setTimeout as sleep } from 'node:timers/promises'

import type { Arrival } from '@bluebellhill/platform-standin'

import { EVACUATION_MS, FAULTS_FROM_MS, TRAFFIC_MS } from './constants.js'
import type { Fleet } from './Fleet.js'
import { Random } from './Random.js'
import type { Evacuation, Exchange, FaultStep, Violation } from './types.js'

/** Added to the seed of the first faults, whose series stays as it is. */
const SEED_OFFSET = 4_000_037

/** Share of the soaks in which a failure domain is evacuated: one in so many. */
const ONE_IN = 3

/** Time for which an evacuation lasts beyond the bound after which it must be in force. */
const SHORTEST_IN_FORCE_MS = 1_000
const LONGEST_IN_FORCE_MS = TRAFFIC_MS - FAULTS_FROM_MS - EVACUATION_MS

/**
 * @param fleet - the fleet in which the failure domain is evacuated
 * @param seed - of the soak
 * @returns the step, if the seed has one
 */
export const drawEvacuation = (fleet: Fleet, seed: number): FaultStep[] => {
  const random = new Random(seed + SEED_OFFSET)
  if (random.between(1, ONE_IN) > 1) return []
  const { failureDomain } = random.pick(fleet.servers)
  const lasts = EVACUATION_MS + random.between(SHORTEST_IN_FORCE_MS, LONGEST_IN_FORCE_MS)
  return [{
    at: random.between(0, FAULTS_FROM_MS),
    name: `failure domain ${failureDomain} is evacuated for ${lasts} ms`,
    run: async () => {
      fleet.evacuate(failureDomain)
      await sleep(lasts)
      fleet.endEvacuations()
    }
  }]
}

/**
 * @param exchanges - what callers saw, by the id of the request
 * @param fleet - what ran
 * @param evacuation - an evacuation of it
 * @returns every request that reached an evacuated failure domain; one that a server refused as meant for another does not count
 */
export const evacuationViolations = (exchanges: ReadonlyMap<string, Exchange>, fleet: Fleet, { failureDomain, from, until }: Evacuation): Violation[] => {
  const isInDomain = ({ server }: Arrival): boolean => fleet.serverDomains.get(server) === failureDomain
  const nodeOf = ({ request }: Arrival): Fleet['nodes'][number] | undefined => fleet.nodes[exchanges.get(request)?.node ?? -1]
  // Nodes of earlier builds do not know of evacuations. Time in which a node could not run is no delay of it.
  const isLate = (arrival: Arrival): boolean => {
    const node = nodeOf(arrival)
    return node?.isEarlierBuild !== true && fleet.delays.runningTime(from, arrival.at, node === undefined ? [] : [node.process.waits.record]) > EVACUATION_MS
  }
  return fleet.ledger.arrivals
    .filter((arrival) => arrival.isForOtherServer !== true && arrival.at <= until && isInDomain(arrival) && isLate(arrival))
    .map(({ request, server, at }) => ({ rule: 'evacuated failure domains get nothing', detail: `${request} reached ${server} in ${failureDomain} ${Math.round(at - from)} ms after its evacuation` }))
}
