/** Checks the users' requirements against what callers and backend servers have recorded. */
import { answerBody, streamEvent, STREAM_EVENT_COUNT } from '@bluebellhill/platform-standin'
import type { Ledger, PauseRequest } from '@bluebellhill/platform-standin'

import { ABANDON_MS, ANSWER_SLACK_MS, DRAIN_MS, LIMIT_KNOWN_MS, LIMIT_RATIO, LIMIT_SLACK, LIMIT_WINDOW_MS, MEASURE_SLACK_MS, PAUSE_KNOWN_MS, PAUSE_SLACK, RETRY_RATIO, RETRY_SLACK } from './constants.js'
import { evacuationViolations } from './evacuationFaults.js'
import type { Fleet } from './Fleet.js'
import { partViolationsOf } from './partChecks.js'
import { RequestKind } from './types.js'
import type { Evacuation, Exchange, Leaving, LimitedSpan, Violation } from './types.js'

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

type Check = (exchange: Exchange, fleet: Fleet) => string | null

const streamOf = (id: string): string => Array.from({ length: STREAM_EVENT_COUNT }, (_, index) => streamEvent(id, index + 1)).join('')

const isSuccess = ({ status }: Exchange): boolean => status !== null && status < 300

const endOf = ({ endedAt }: Exchange): number => endedAt ?? performance.now()

const nodeWasSound = (exchange: Exchange, { nodes }: Fleet): boolean =>
  nodes[exchange.node]?.process.wasSound(exchange.sentAt, endOf(exchange)) ?? false

/** Time in which the soak and the node of a request could run. */
const runningTime = ({ delays, nodes }: Fleet, exchange: Exchange | undefined, from: number, until: number): number => {
  const node = nodes[exchange?.node ?? -1]
  return delays.runningTime(from, until, node === undefined ? [] : [node.process.waits.record])
}

/** An answer that looks whole is the backend server's own, from the first byte to the last. */
const wholeAnswers: Check = (exchange) => {
  if (!isSuccess(exchange) || !exchange.whole) return null
  const expected = exchange.kind === RequestKind.Stream ? streamOf(exchange.id) : answerBody(exchange.id)
  return exchange.body === expected ? null : `the answer has ${exchange.body.length} bytes in place of ${expected.length}: ${exchange.body.slice(0, 80)}`
}

/** The events that the caller received are the first ones of the stream, in order. */
const orderedEvents: Check = (exchange) => {
  if (exchange.kind !== RequestKind.Stream || !isSuccess(exchange)) return null
  return streamOf(exchange.id).startsWith(exchange.body) ? null : `events that do not follow each other: ${exchange.body.slice(-80)}`
}

const truthfulRefusals: Check = (exchange, { ledger }) => {
  if (exchange.status === null || !NOT_RUN_STATUSES.has(exchange.status)) return null
  const runs = ledger.runsOfRequest(exchange.id).length
  return runs === 0 ? null : `status ${exchange.status}, and it ran ${runs} times`
}

const unsafeOnce: Check = (exchange, { ledger }) => {
  if (exchange.kind !== RequestKind.Unsafe) return null
  const runs = ledger.runsOfRequest(exchange.id).length
  return runs <= 1 ? null : `it ran ${runs} times`
}

const answeredInTime: Check = (exchange, fleet) => {
  const took = runningTime(fleet, exchange, exchange.writtenAt ?? exchange.sentAt, endOf(exchange))
  if (exchange.left || took <= exchange.deadline + ANSWER_SLACK_MS || !nodeWasSound(exchange, fleet)) return null
  return `it took ${Math.round(took)} ms of ${exchange.deadline}`
}

/** A running node gives every request a final answer; the caller waits for it as long as 'answers in time' allows at least. */
const answered: Check = (exchange, fleet) => {
  if (exchange.gaveUp && answeredInTime(exchange, fleet) === null) return null
  if (exchange.left || exchange.status !== null || !nodeWasSound(exchange, fleet)) return null
  return `no answer: ${exchange.error}`
}

/** Work for a caller who has left is stopped. */
const abandonedWork: Check = (exchange, fleet) => {
  if (!exchange.left || !nodeWasSound(exchange, fleet)) return null
  const end = endOf(exchange)
  const late = fleet.ledger.runsOfRequest(exchange.id).find((run) => {
    const server = fleet.servers.find(({ standin }) => standin?.id === run.server)
    const wentOnFor = runningTime(fleet, exchange, end, run.endedAt ?? Infinity)
    return server !== undefined && server.proxy.isSoundSince(exchange.sentAt) && wentOnFor > ABANDON_MS + MEASURE_SLACK_MS
  })
  return late === undefined ? null : `${late.server} went on for it`
}

const CHECKS: Readonly<Record<string, Check>> = {
  'whole answers': wholeAnswers,
  'ordered events': orderedEvents,
  'truthful refusals': truthfulRefusals,
  'unsafe requests run once': unsafeOnce,
  'answers in time': answeredInTime,
  'every request is answered': answered,
  'abandoned work is stopped': abandonedWork
}

const retryBudget = (exchanges: readonly Exchange[], ledger: Ledger): Violation[] => {
  const repeated = exchanges.reduce((sum, { id }) => sum + Math.max(0, ledger.runsOfRequest(id).length - 1), 0)
  const allowed = RETRY_RATIO * exchanges.length + RETRY_SLACK
  return repeated <= allowed ? [] : [{ rule: 'retry budget', detail: `${repeated} runs were repeated, ${allowed} may be` }]
}

const MS_PER_SECOND = 1_000

/** Whether the checks of server statements apply to the node of a request: it ran without interruption, and is not of an earlier build. */
const isCheckedForStatements = ({ nodes }: Fleet, exchange: Exchange | undefined, from: number, until: number): boolean => {
  const node = nodes[exchange?.node ?? -1]
  return node !== undefined && !node.isEarlierBuild && node.process.wasSound(from, until)
}

/** A server with a request limit receives no more requests than that from nodes to which the checks apply. */
const serverLimit = (exchanges: ReadonlyMap<string, Exchange>, fleet: Fleet, { server, perSecond, from, until }: LimitedSpan): Violation[] => {
  const allowed = LIMIT_RATIO * perSecond * LIMIT_WINDOW_MS / MS_PER_SECOND + LIMIT_SLACK
  const isSound = (request: string): boolean => isCheckedForStatements(fleet, exchanges.get(request), from, until)
  const arrivals = fleet.ledger.arrivalsAt(server).filter(({ request, at }) => runningTime(fleet, exchanges.get(request), from, at) >= LIMIT_KNOWN_MS && at <= until && isSound(request))
  const most = Math.max(0, ...arrivals.map((first) => arrivals.filter(({ at }) => at >= first.at && at < first.at + LIMIT_WINDOW_MS).length))
  return most <= allowed ? [] : [{ rule: 'limits of servers', detail: `${server} names ${perSecond} a second and got ${most} in ${LIMIT_WINDOW_MS} ms, ${allowed} may come` }]
}

/** A leaving server receives no new requests after the drain time. If only its answers say that it leaves, a node that was paused may not have received one. */
const leavingServer = (exchanges: ReadonlyMap<string, Exchange>, fleet: Fleet, { server, from, isInStore, until }: Leaving): Violation[] =>
  fleet.ledger.runsOnServer(server)
    .filter(({ startedAt }) => startedAt <= until)
    .filter(({ request, startedAt }) => runningTime(fleet, exchanges.get(request), from, startedAt) > DRAIN_MS + MEASURE_SLACK_MS)
    .filter(({ request, startedAt }) => isInStore || isCheckedForStatements(fleet, exchanges.get(request), from, startedAt))
    .map(({ request, startedAt }) => ({ rule: 'leaving servers get nothing', detail: `${request} began at ${server} ${Math.round(startedAt - from)} ms after it began to leave` }))

/** A server that has asked a node for a pause receives no requests of that node until the end of the pause. A refusal that did not arrive asks for none. */
const serverPause = (exchanges: ReadonlyMap<string, Exchange>, fleet: Fleet, { request, server, at, pauseMs, port }: PauseRequest): Violation[] => {
  const node = exchanges.get(request)?.node
  const askedAt = fleet.serverProxies.get(server)?.deliveredAfter(port, at) ?? null
  if (askedAt === null) return []
  const until = at + pauseMs
  if (!isCheckedForStatements(fleet, exchanges.get(request), at, until)) return []
  const arrivals = fleet.ledger.arrivalsAt(server).filter((arrival) => runningTime(fleet, exchanges.get(arrival.request), askedAt, arrival.at) > PAUSE_KNOWN_MS && arrival.at < until && exchanges.get(arrival.request)?.node === node)
  return arrivals.length <= PAUSE_SLACK ? [] : [{ rule: 'pauses of servers', detail: `${server} asked node ${node} for ${pauseMs} ms and got ${arrivals.length} requests of it` }]
}

/**
 * @param exchanges - what callers saw
 * @param fleet - what ran
 * @param leavings - servers that left in the course of it
 * @param evacuations - failure domains that were evacuated in the course of it
 * @returns every promise that was not kept
 */
export const violationsOf = (exchanges: readonly Exchange[], fleet: Fleet, leavings: readonly Leaving[] = [], evacuations: readonly Evacuation[] = []): Violation[] => {
  const single = exchanges.flatMap((exchange) => Object.entries(CHECKS).flatMap(([rule, check]) => {
    const problem = check(exchange, fleet)
    return problem === null ? [] : [{ rule, detail: `${exchange.kind} ${exchange.id} at node ${exchange.node}: ${problem}` }]
  }))
  const ends = fleet.nodes.flatMap(({ process }) => process.unexpectedEnds.map((detail) => ({ rule: 'processes end only when asked to', detail })))
  const byId = new Map(exchanges.map((exchange) => [exchange.id, exchange]))
  const limits = fleet.limitedSpans.flatMap((span) => serverLimit(byId, fleet, span))
  const left = leavings.flatMap((leaving) => leavingServer(byId, fleet, leaving))
  const evacuated = evacuations.flatMap((evacuation) => evacuationViolations(byId, fleet, evacuation))
  const pauses = fleet.ledger.pauseRequests.flatMap((request) => serverPause(byId, fleet, request))
  return [...single, ...retryBudget(exchanges, fleet.ledger), ...limits, ...left, ...pauses, ...evacuated, ...partViolationsOf(exchanges, fleet), ...ends]
}
