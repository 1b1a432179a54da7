/** Draws what backend servers state about themselves in the course of a soak, beside the faults. */
import { setTimeout as sleep } from 'node:timers/promises'

import { FAULTS_FROM_MS, FAULTS_UNTIL_MS, LIMIT_WINDOW_MS } from './constants.js'
import type { Fleet } from './Fleet.js'
import { Random } from './Random.js'
import type { FaultStep } from './types.js'

/** Servers that name a limit in one soak. */
const MOST_LIMITS = 2

/** Limits that are drawn, in tenths of a request per second. */
const LOWEST_LIMIT = 3
const HIGHEST_LIMIT = 60
const TENTHS = 10

/** Added to the seed of the faults, whose series does not change with the statements. */
const STATEMENT_SEED = 1_000_003

const limitServer = (fleet: Fleet, random: Random): FaultStep => {
  const server = random.pick(fleet.servers)
  const perSecond = random.between(LOWEST_LIMIT, HIGHEST_LIMIT) / TENTHS
  const at = random.between(0, FAULTS_FROM_MS)
  const lasts = random.between(LIMIT_WINDOW_MS, FAULTS_UNTIL_MS)
  return {
    at,
    name: `limit of ${perSecond} a second at server ${server.index} for ${lasts} ms`,
    run: async () => {
      const span = fleet.limitServer(server, perSecond)
      const { standin } = server
      if (span === null || standin === null) return
      await sleep(lasts)
      standin.requestLimit = null
      span.until = performance.now()
    }
  }
}

/**
 * @param fleet - whose servers make statements
 * @param seed - of the soak
 * @returns the steps by time
 */
export const drawStatements = (fleet: Fleet, seed: number): FaultStep[] => {
  const random = new Random(seed + STATEMENT_SEED)
  const steps = Array.from({ length: random.between(0, MOST_LIMITS) }, () => limitServer(fleet, random))
  return steps.sort((a, b) => a.at - b.at)
}
