/** Measures how long a large fleet takes to serve again after all of its nodes were lost, and what planned work costs it. */
import { readFileSync } from 'node:fs'
import { loadavg } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

import { Fleet } from './Fleet.js'
import { OpenLoad } from './OpenLoad.js'
import type { LoadedRequest } from './OpenLoad.js'
import { ProcessorShares } from './ProcessorShares.js'
import { largeFleet } from './profiles.js'
import { Readiness } from './Readiness.js'
import { loseAll, SCENARIOS } from './recoveryScenarios.js'
import type { Scenario, ScenarioName } from './recoveryScenarios.js'
import type { Exchange, Violation } from './types.js'

/** Time after the start of all nodes from which at least a quarter of the requests is served. */
export const RECOVERY_BOUND_MS = 15_000
const LEAST_SERVED_SHARE = 0.25

/** Traffic before the disturbance, and after the bound. */
const CALM_MS = 4_000
const TRAFFIC_AFTER_MS = 5_000

const START_TIMEOUT_MS = 60_000
const CHECK_PERIOD_MS = 50

/** Requests are counted over windows of this length by the time at which they were sent. */
const WINDOW_MS = 500

/** Shares of the requests of a window whose first times are reported. */
const SHARES = [0.25, 0.5, 0.9] as const

/** Time after which a request whose connection ended without an answer counts although it was not passed on. */
const CLOSE_SLACK_MS = 200

const CLOCK_TICK_MS = 10

export interface RecoveryOptions {
  readonly scenario: ScenarioName
  readonly nodes: number
  /** Part of a processor that each node gets; 1 to let it run freely. */
  readonly share: number
  /** Part of the usual rate of requests, which is 64 a second. */
  readonly rate: number
  readonly seed: number
  /** Gets settings and logs. */
  readonly directory: string
  /** File of the node under test. */
  readonly program: string
}

/** What was seen. Times are milliseconds since the start of the nodes, or of the planned work. */
export interface RecoveryReport {
  readonly options: RecoveryOptions
  /** Load average of the machine over a minute, at the start and at the end. */
  readonly load: readonly [number, number]
  /** Part of the time since the start in which the process of the rig could run; times are those of the rig if it is low. */
  readonly rigRan: number
  /** First windows in which these shares of the requests are served; null if there is none. */
  readonly servedFrom: ReadonlyArray<{ readonly share: number, readonly at: number | null }>
  /** When the first, the middle and the last node was ready; null for those that were not. */
  readonly ready: readonly [number | null, number | null, number | null]
  /** Processor time of a node until it was ready: the middle one and the highest. */
  readonly processorMs: readonly [number, number]
  /** Calls at the store a node, until the bound, and those refused of all nodes. */
  readonly storeCalls: { readonly reads: number, readonly writes: number, readonly refused: number }
  /** Requests since the start by result. */
  readonly results: Readonly<Record<string, number>>
  readonly servedShareAfterBound: number
  readonly violations: readonly Violation[]
}

/**
 * Runs one scenario.
 *
 * @param options - scenario and sizes
 * @returns what was seen
 */
export const runRecovery = async (options: RecoveryOptions): Promise<RecoveryReport> => {
  const { nodes, share, rate, seed, directory, program } = options
  const scenario: Scenario = SCENARIOS[options.scenario]
  const fleet = new Fleet(`127.49.${process.pid % NETWORKS}`, join(directory, `${options.scenario}-${nodes}-${share}`), program, null, largeFleet(nodes, scenario.isCold))
  const processorTimes: number[] = []
  const disposables: Array<{ dispose: () => void }> = [endWithNodes(fleet)]
  try {
    await fleet.start()
    if (share < 1) disposables.push(new ProcessorShares(fleet.nodes.map(({ process }) => process), share))
    const readiness = new Readiness(fleet.nodes.map(({ host }) => host), (index) => { processorTimes[index] = processorTimeOf(fleet.nodes[index]?.process.pid ?? null) })
    disposables.push(readiness)
    await untilAllReady(readiness, nodes)
    const load = new OpenLoad(fleet.nodes, () => readiness.ready, seed, rate)
    const traffic = load.run()
    await sleep(CALM_MS)
    const loadBefore = loadOfMinute()
    const callsBefore = { ...fleet.store.calls }
    const startedAt = await loseAll(fleet, scenario)
    if (scenario.isLoss) readiness.reset()
    processorTimes.length = 0
    await Promise.all([scenario.disturb?.(fleet), sleep(RECOVERY_BOUND_MS)])
    const boundAt = startedAt + RECOVERY_BOUND_MS
    const { reads, writes, refused } = fleet.store.calls
    await sleep(TRAFFIC_AFTER_MS)
    load.stop()
    await traffic
    const endedAt = performance.now()
    const requests = load.requests.filter(({ sentAt }) => sentAt >= startedAt)
    const servedShareAfterBound = servedShare(requests.filter(({ sentAt }) => sentAt >= boundAt))
    return {
      options,
      load: [loadBefore, loadOfMinute()],
      rigRan: fleet.delays.runningTime(startedAt, endedAt) / (endedAt - startedAt),
      servedFrom: SHARES.map((least) => ({ share: least, at: servedFrom(requests, startedAt, least) })),
      ready: readyRange(readiness.readyTimes, startedAt),
      processorMs: middleAndHighest(processorTimes.filter((time) => time !== undefined)),
      storeCalls: { reads: (reads - callsBefore.reads) / nodes, writes: (writes - callsBefore.writes) / nodes, refused: refused - callsBefore.refused },
      results: resultsOf(requests),
      servedShareAfterBound,
      violations: violationsOf(load.requests, fleet, scenario, servedShareAfterBound)
    }
  } finally {
    for (const disposable of disposables) disposable.dispose()
    await fleet.dispose()
  }
}

/** Ends the nodes with this process: they would go on, or stay paused. Returns what makes signals end this process alone again. */
const endWithNodes = (fleet: Fleet): { dispose: () => void } => {
  const end = (): void => { void fleet.dispose().then(() => process.exit(1)) }
  for (const signal of ENDING_SIGNALS) process.once(signal, end)
  return { dispose: () => { for (const signal of ENDING_SIGNALS) process.off(signal, end) } }
}

const ENDING_SIGNALS = ['SIGINT', 'SIGTERM'] as const

/** Networks of the processes that run at the same time. */
const NETWORKS = 200

const loadOfMinute = (): number => loadavg()[0] ?? 0

const untilAllReady = async (readiness: Readiness, nodes: number): Promise<void> => {
  const until = performance.now() + START_TIMEOUT_MS
  while (readiness.ready.length < nodes && performance.now() < until) await sleep(CHECK_PERIOD_MS)
}

/** @returns processor time of a process so far, in milliseconds; 0 if it is not known */
const processorTimeOf = (pid: number | null): number => {
  try {
    const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
    const [user, system] = fields.slice(11, 13)
    return (Number(user) + Number(system)) * CLOCK_TICK_MS
  } catch {
    return 0
  }
}

const isServed = ({ exchange }: LoadedRequest): boolean => exchange?.status === 200 && exchange.whole

const servedShare = (requests: readonly LoadedRequest[]): number => requests.length === 0 ? 0 : requests.filter(isServed).length / requests.length

const servedFrom = (requests: readonly LoadedRequest[], startedAt: number, least: number): number | null => {
  const until = Math.max(startedAt, ...requests.map(({ sentAt }) => sentAt))
  for (let from = startedAt; from < until; from += WINDOW_MS / 2) {
    const sent = requests.filter(({ sentAt }) => sentAt >= from && sentAt < from + WINDOW_MS)
    if (sent.length > 0 && servedShare(sent) >= least) return Math.round(from - startedAt)
  }
  return null
}

const readyRange = (times: ReadonlyArray<number | null>, startedAt: number): [number | null, number | null, number | null] => {
  const sorted = times.map((time) => time === null ? Infinity : Math.round(time - startedAt)).sort((a, b) => a - b)
  const [first = Infinity, middle = Infinity, last = Infinity] = [sorted[0], sorted[Math.floor(sorted.length / 2)], sorted.at(-1)]
  return [finiteOrNull(first), finiteOrNull(middle), finiteOrNull(last)]
}

const finiteOrNull = (value: number): number | null => Number.isFinite(value) ? value : null

const middleAndHighest = (values: readonly number[]): [number, number] => {
  const sorted = [...values].sort((a, b) => a - b)
  return [sorted[Math.floor(sorted.length / 2)] ?? 0, sorted.at(-1) ?? 0]
}

/** Result of a request: served, refused with a status and cause, or without an answer. */
const resultOf = ({ hadNode, exchange }: LoadedRequest): string => {
  if (!hadNode) return 'no node ready'
  if (exchange === null) return 'open'
  if (exchange.status === null) return `no answer: ${exchange.error}`
  if (exchange.status === 200) return exchange.whole ? 'served' : 'broken off'
  return `${exchange.status} ${/"(?:cause|code|error)":\s*"([^"]+)"/.exec(exchange.body)?.[1] ?? exchange.body.slice(0, 40)}`
}

const resultsOf = (requests: readonly LoadedRequest[]): Record<string, number> => {
  const counts: Record<string, number> = {}
  for (const request of requests) counts[resultOf(request)] = (counts[resultOf(request)] ?? 0) + 1
  return counts
}

const violationsOf = (requests: readonly LoadedRequest[], fleet: Fleet, { isLoss }: Scenario, servedAfterBound: number): Violation[] => {
  const recovery = servedAfterBound >= LEAST_SERVED_SHARE ? [] : [{ rule: 'recovery', detail: `${servedAfterBound.toFixed(2)} of the requests are served ${RECOVERY_BOUND_MS} ms after the start` }]
  const ends = fleet.nodes.flatMap(({ process }) => process.unexpectedEnds.map((detail) => ({ rule: 'processes end only when asked to', detail })))
  // While all nodes are killed, requests are lost with them.
  const lost = isLoss ? [] : requests.flatMap(({ exchange }) => exchange === null ? [] : lostRequest(exchange, fleet))
  return [...recovery, ...ends, ...lost]
}

/** Start of the error of a request that found no connection: no node has read it. */
const NOT_CONNECTED = 'connect '

/** A request that a node has read whole, and whose connection it closed without a complete answer. */
const lostRequest = ({ id, kind, node, sentAt, endedAt, status, whole, error }: Exchange, { ledger }: Fleet): Violation[] => {
  if (status !== null && whole) return []
  if (error.startsWith(NOT_CONNECTED)) return []
  const runs = ledger.runsOfRequest(id).length
  const after = Math.round((endedAt ?? performance.now()) - sentAt)
  if (runs === 0 && after <= CLOSE_SLACK_MS) return []
  return [{ rule: 'answers around planned work', detail: `${kind} ${id} at node ${node}: ${error} after ${after} ms, it ran ${runs} times` }]
}
