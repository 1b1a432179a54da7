/** One seeded soak: traffic, faults, recovery, checks. */
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

import type { BackendStandin } from '@bluebellhill/platform-standin'

import { drawAnswerFaults } from './answerFaults.js'
import { Caller } from './Callers.js'
import { violationsOf } from './checks.js'
import { CALLERS_PER_NODE, KEPT_KEY, RECOVERY_MS, REMOVED_KEY, REVOKE_MS, TRAFFIC_MS } from './constants.js'
import { drawEvacuation } from './evacuationFaults.js'
import { drawFaults } from './faults.js'
import { Fleet } from './Fleet.js'
import { drawFurtherFaults } from './furtherFaults.js'
import { Random } from './Random.js'
import { drawRequestFaults } from './requestFaults.js'
import { RequestKind } from './types.js'
import type { Exchange, FaultStep, Leaving, SoakReport, Violation } from './types.js'

const START_TIMEOUT_MS = 15_000
const PROBE_PERIOD_MS = 50

/** Requests in a row that a node has to answer to count as recovered. */
const PROBES = 10

/** Networks of the soaks that run at the same time. */
const NETWORKS = 200

export interface SoakOptions {
  readonly seed: number
  /** Gets settings and logs. */
  readonly directory: string
  /** File of the node under test. */
  readonly program: string
  /** File of an earlier build for every second node; null to run the program under test everywhere. */
  readonly earlierProgram?: string | null
  /** Tells soaks that run at the same time apart; from 0. */
  readonly slot: number
}

/**
 * Runs one soak.
 *
 * @param options - its seed and places
 * @returns what was seen
 */
export const runSoak = async ({ seed, directory, program, earlierProgram = null, slot }: SoakOptions): Promise<SoakReport> => {
  const network = `127.${50 + slot}.${process.pid % NETWORKS}`
  const fleet = new Fleet(network, join(directory, `seed-${seed}`), program, earlierProgram)
  const callers: Caller[] = []
  try {
    await fleet.start()
    await Promise.all(fleet.nodes.map(async ({ index, host }) => { await untilServing(new Caller(`start-${index}`, index, host, seed), timeout(fleet, START_TIMEOUT_MS)) }))
    const random = new Random(seed)
    callers.push(...fleet.nodes.flatMap(({ index, host }) => Array.from({ length: CALLERS_PER_NODE }, (_, caller) =>
      new Caller(`c${index}.${caller}`, index, host, random.between(1, 1_000_000), fleet.promptParts))))
    const steps = [...drawFaults(fleet, random), ...drawFurtherFaults(fleet, seed), ...drawAnswerFaults(fleet, seed), ...drawRequestFaults(fleet, seed), ...drawEvacuation(fleet, seed)]
    const leavings = watchLeavings(fleet)
    await Promise.all([...callers.map(async (caller) => { await caller.run() }), play(steps), stopLater(callers, Math.max(TRAFFIC_MS, ...steps.map(({ trafficUntil = 0 }) => trafficUntil)))])
    const violations = [...await recoveryOf(fleet, seed), ...await registrationOf(fleet), ...await revocationOf(fleet, seed)]
    const exchanges = [...callers.flatMap((caller) => caller.exchanges), ...fleet.deadlyRequests.exchanges]
    return reportOf(seed, exchanges, fleet, steps, [...violations, ...violationsOf(exchanges, fleet, leavings(), fleet.evacuations)])
  } finally {
    for (const caller of callers) caller.dispose()
    await fleet.dispose()
  }
}

const play = async (steps: readonly FaultStep[]): Promise<void> => {
  await Promise.all(steps.map(async ({ at, run }) => {
    await sleep(at)
    await run()
  }))
}

const stopLater = async (callers: readonly Caller[], trafficMs: number): Promise<void> => {
  await sleep(trafficMs)
  for (const caller of callers) caller.stop()
}

/** Starts a timeout in the running time of the soak. Returns a function that tells whether it has expired. */
const timeout = ({ delays }: Fleet, ms: number): () => boolean => {
  const from = performance.now()
  return () => delays.runningTime(from, performance.now()) >= ms
}

/** @returns whether the node answered several requests in a row before the time was up */
const untilServing = async (caller: Caller, hasExpired: () => boolean): Promise<boolean> => {
  let inRow = 0
  while (inRow < PROBES && !hasExpired()) {
    const { status } = await caller.send(RequestKind.Safe)
    inRow = status === 200 ? inRow + 1 : 0
    if (inRow === 0) await sleep(PROBE_PERIOD_MS)
  }
  caller.dispose()
  return inRow === PROBES
}

const recoveryOf = async (fleet: Fleet, seed: number): Promise<Violation[]> => {
  const served = await Promise.all(fleet.nodes.map(async ({ index, host }) =>
    ({ index, serves: await untilServing(new Caller(`end-${index}`, index, host, seed), timeout(fleet, RECOVERY_MS)) })))
  return served.filter(({ serves }) => !serves).map(({ index }) => ({ rule: 'recovery', detail: `node ${index} does not serve ${RECOVERY_MS} ms after the faults` }))
}

/** Every node is listed in the store, also after the store has lost its entry. */
const registrationOf = async (fleet: Fleet): Promise<Violation[]> => {
  const hasExpired = timeout(fleet, RECOVERY_MS)
  while (fleet.unregisteredNodes().length > 0 && !hasExpired()) await sleep(PROBE_PERIOD_MS)
  return fleet.unregisteredNodes().map((name) => ({ rule: 'registered nodes', detail: `${name} has no entry ${RECOVERY_MS} ms after the faults` }))
}

/** A key that the operator removes is refused by every node, and the others are not. */
const revocationOf = async (fleet: Fleet, seed: number): Promise<Violation[]> => {
  fleet.configure([KEPT_KEY])
  const hasExpired = timeout(fleet, REVOKE_MS)
  const checked = await Promise.all(fleet.nodes.map(async ({ index, host }): Promise<Violation[]> => {
    const caller = new Caller(`revoked-${index}`, index, host, seed)
    let status: number | null = null
    while (status !== 401 && !hasExpired()) {
      await sleep(PROBE_PERIOD_MS)
      status = (await caller.send(RequestKind.Safe, REMOVED_KEY)).status
    }
    const kept = (await caller.send(RequestKind.Safe)).status
    caller.dispose()
    if (status !== 401) return [{ rule: 'removed keys', detail: `node ${index} answers ${status} after ${REVOKE_MS} ms` }]
    return kept === 200 ? [] : [{ rule: 'removed keys', detail: `node ${index} answers ${kept} to a key that stays` }]
  }))
  return checked.flat()
}

/** Notes which servers drain, or tell a node that they leave. Returns a function that stops and returns them. */
const watchLeavings = (fleet: Fleet): () => Leaving[] => {
  const leavings = new Map<BackendStandin, Leaving>()
  const timer = setInterval(() => {
    for (const { standin, drainingSince } of fleet.servers) {
      const from = drainingSince ?? standin?.toldLeavingAt ?? null
      if (standin !== null && from !== null) leavings.set(standin, { server: standin.id, from, isInStore: drainingSince !== null, until: Infinity })
    }
    for (const [process, leaving] of leavings) {
      if (!fleet.servers.some(({ standin }) => standin === process)) leaving.until = Math.min(leaving.until, performance.now())
    }
  }, PROBE_PERIOD_MS)
  return () => {
    clearInterval(timer)
    return [...leavings.values()]
  }
}

const reportOf = (seed: number, exchanges: readonly Exchange[], fleet: Fleet, steps: readonly FaultStep[], violations: readonly Violation[]): SoakReport => ({
  seed,
  requests: exchanges.length,
  answered: exchanges.filter(({ status, whole }) => whole && status !== null && status < 300).length,
  refused: exchanges.filter(({ status }) => status === 503).length,
  failed: exchanges.filter(({ status, left }) => !left && (status === null || (status >= 500 && status !== 503))).length,
  runs: fleet.ledger.runCount,
  crashes: fleet.ledger.crashes.length,
  faults: steps.map(({ at, name }) => `${at} ms ${name}`),
  violations
})
