/** Draws faults of single answers, from a generator of their own: parts of prompts that end engines, and unusual or endless answers. */
import { setTimeout as sleep } from 'node:timers/promises'

import { BackendFault } from '@bluebellhill/platform-standin'

import { CRASHING_PART_TRAFFIC_MS, FAULTS_FROM_MS, FAULTS_UNTIL_MS } from './constants.js'
import { applyServerFault } from './faults.js'
import type { Fleet } from './Fleet.js'
import { CRASHING_PLACES } from './PromptParts.js'
import { Random } from './Random.js'
import type { FaultStep } from './types.js'

/** Added to the seed of the first faults, whose series stays as it is. */
const SEED_OFFSET = 2_000_003

/** Maximum number of servers with unusual answers in one soak, and for how long. */
const MOST_ANSWER_FAULTS = 4
const SHORTEST_MS = 300
const LONGEST_MS = 2_500

/** One of so many requests has the crashing part. */
const FEWEST_SOUND = 4
const MOST_SOUND = 12

/** Latest start of the requests with a crashing part. */
const LATEST_CRASHING_MS = 2_500

/** Time after which an engine is back. */
const SHORTEST_DOWN_MS = 800
const LONGEST_DOWN_MS = 2_500

const ANSWER_FAULTS = [BackendFault.ClosedAnswers, BackendFault.ClosedAnswers, BackendFault.ClosedShort, BackendFault.EndlessHead, BackendFault.EndlessBody, BackendFault.Silence]

const answerFault = (fleet: Fleet, random: Random): FaultStep => {
  const lasts = random.between(SHORTEST_MS, LONGEST_MS)
  const at = random.between(FAULTS_FROM_MS, FAULTS_UNTIL_MS - lasts)
  return { at, ...applyServerFault(random.pick(ANSWER_FAULTS))(fleet, random, lasts) }
}

/** Some requests carry, until the end of the traffic, a part that ends engines. */
const crashingPart = ({ promptParts }: Fleet, random: Random, seed: number): FaultStep => {
  const at = random.between(FAULTS_FROM_MS, LATEST_CRASHING_MS)
  const crashing = {
    part: `dead${seed.toString(16)}`,
    oneIn: random.between(FEWEST_SOUND, MOST_SOUND),
    position: random.between(0, CRASHING_PLACES - 1),
    keepsId: random.between(0, 1) === 1,
    downMs: random.between(SHORTEST_DOWN_MS, LONGEST_DOWN_MS)
  }
  const { oneIn, position, keepsId, downMs } = crashing
  return {
    at,
    name: `one of ${oneIn} streams has a part at place ${position} that ends engines for ${downMs} ms, ${keepsId ? 'same id' : 'new id'}`,
    trafficUntil: CRASHING_PART_TRAFFIC_MS,
    run: async () => {
      promptParts.startCrashing(crashing)
      await sleep(CRASHING_PART_TRAFFIC_MS - at)
      promptParts.stopCrashing()
    }
  }
}

/**
 * @param fleet - the fleet in which the faults occur
 * @param seed - of the soak
 * @returns the steps by time
 */
export const drawAnswerFaults = (fleet: Fleet, seed: number): FaultStep[] => {
  const random = new Random(seed + SEED_OFFSET)
  const parts = Array.from({ length: random.between(0, 1) }, () => crashingPart(fleet, random, seed))
  const answers = Array.from({ length: random.between(0, MOST_ANSWER_FAULTS) }, () => answerFault(fleet, random))
  return [...parts, ...answers].sort((a, b) => a.at - b.at)
}
