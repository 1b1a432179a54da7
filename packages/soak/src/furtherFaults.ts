/** Draws faults beside the first ones, from a generator of their own: what backend servers state about themselves, and returns of the store from a copy. */
import { setTimeout as sleep } from 'node:timers/promises'

import { DRAIN_MS, FAULTS_FROM_MS, FAULTS_UNTIL_MS, LIMIT_WINDOW_MS } from './constants.js'
import type { Fleet } from './Fleet.js'
import { Random } from './Random.js'
import type { FaultStep } from './types.js'

/** Maximum number of servers with a request limit in one soak. */
const MOST_LIMITS = 2

/** Maximum number of servers that leave without a change of their store entries in one soak. */
const MOST_LEAVINGS = 2

/** Range of the limits, in tenths of a request per second. */
const LOWEST_LIMIT = 3
const HIGHEST_LIMIT = 60
const TENTHS = 10

/** Added to the seed of the first faults, whose series stays as it is. */
const SEED_OFFSET = 1_000_003

/** Time from the statement of a server that it leaves to its end; it is longer than the time after which it gets nothing new. */
const SHORTEST_LEAVING_MS = DRAIN_MS + 1_000
const LONGEST_LEAVING_MS = DRAIN_MS + 3_000

const leaveServer = (fleet: Fleet, random: Random): FaultStep => {
  const server = random.pick(fleet.servers)
  const at = random.between(FAULTS_FROM_MS, FAULTS_UNTIL_MS - SHORTEST_LEAVING_MS)
  const lasts = random.between(SHORTEST_LEAVING_MS, LONGEST_LEAVING_MS)
  return {
    at,
    name: `server ${server.index} leaves in ${lasts} ms`,
    run: async () => {
      const { standin } = server
      if (standin === null || server.drainingSince !== null || standin.isLeaving) return
      fleet.leaveServer(server)
      await sleep(lasts)
      if (server.standin !== standin) return
      await fleet.crashServer(server, 0)
      await fleet.startServer(server)
    }
  }
}

/** Maximum number of servers that refuse all requests and ask for pauses in one soak. */
const MOST_PAUSES = 2

/** Time for which they refuse, and the pauses that they ask for, in tenths of a second. */
const SHORTEST_REFUSAL_MS = 500
const LONGEST_REFUSAL_MS = 3_000
const SHORTEST_PAUSE = 2
const LONGEST_PAUSE = 30

const pauseServer = (fleet: Fleet, random: Random): FaultStep => {
  const server = random.pick(fleet.servers)
  const lasts = random.between(SHORTEST_REFUSAL_MS, LONGEST_REFUSAL_MS)
  const at = random.between(FAULTS_FROM_MS, FAULTS_UNTIL_MS - lasts)
  const seconds = random.between(SHORTEST_PAUSE, LONGEST_PAUSE) / TENTHS
  return {
    at,
    name: `server ${server.index} refuses for ${lasts} ms and asks for pauses of ${seconds} s`,
    run: async () => {
      const { standin } = server
      if (standin === null) return
      standin.pauseSeconds = seconds
      await sleep(lasts)
      standin.pauseSeconds = null
    }
  }
}

/** Maximum number of restores of the store from a copy in one soak, and range of the age of the copy. */
const MOST_RETURNS = 2
const SHORTEST_LOSS_MS = 200
const LONGEST_LOSS_MS = 3_000

/** Time within which the operator and the servers write again what the copy lacks. */
const LONGEST_REWRITE_MS = 1_500

/** Time after which entries of servers that do not run are removed. */
const EXPIRY_MS = 1_000

const returnStore = (fleet: Fleet, random: Random): FaultStep => {
  const loses = random.between(SHORTEST_LOSS_MS, LONGEST_LOSS_MS)
  const rewrites = random.between(0, LONGEST_REWRITE_MS)
  const at = random.between(FAULTS_FROM_MS, FAULTS_UNTIL_MS - loses)
  return {
    at,
    name: `store returns from a copy ${loses} ms old, written again after ${rewrites} ms`,
    run: async () => {
      const copy = fleet.store.copy()
      await sleep(loses)
      fleet.store.restore(copy)
      await sleep(rewrites)
      fleet.writeAgain()
      await sleep(EXPIRY_MS)
      fleet.removeStaleEntries()
    }
  }
}

const limitServer = (fleet: Fleet, random: Random): FaultStep => {
  const server = random.pick(fleet.servers)
  const perSecond = random.between(LOWEST_LIMIT, HIGHEST_LIMIT) / TENTHS
  const at = random.between(0, FAULTS_FROM_MS)
  const lasts = random.between(LIMIT_WINDOW_MS, FAULTS_UNTIL_MS)
  return {
    at,
    name: `limit of ${perSecond} a second at server ${server.index} for ${lasts} ms`,
    run: async () => {
      const standin = fleet.limitServer(server, perSecond)
      if (standin === null) return
      await sleep(lasts)
      fleet.endLimit(standin)
    }
  }
}

/**
 * @param fleet - the fleet in which the faults occur
 * @param seed - of the soak
 * @returns the steps by time
 */
export const drawFurtherFaults = (fleet: Fleet, seed: number): FaultStep[] => {
  const random = new Random(seed + SEED_OFFSET)
  const limits = Array.from({ length: random.between(0, MOST_LIMITS) }, () => limitServer(fleet, random))
  const leavings = Array.from({ length: random.between(0, MOST_LEAVINGS) }, () => leaveServer(fleet, random))
  const pauses = Array.from({ length: random.between(0, MOST_PAUSES) }, () => pauseServer(fleet, random))
  const returns = Array.from({ length: random.between(0, MOST_RETURNS) }, () => returnStore(fleet, random))
  const steps = [...limits, ...leavings, ...pauses, ...returns]
  return steps.sort((a, b) => a.at - b.at)
}
