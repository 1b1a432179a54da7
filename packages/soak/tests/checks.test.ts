/** Each check of the soak fails on a record that breaks its promise. */
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { answerBody, streamEvent, Ledger, STREAM_EVENT_COUNT } from '@bluebellhill/platform-standin'

import { violationsOf } from '../src/checks.js'
import { CONTACT_MS, CRASHES_UNTIL_KNOWN, EVACUATION_MS, FEWEST_SAMPLES, LIMIT_KNOWN_MS, MOST_AFTER_KNOWN, PAUSE_KNOWN_MS, PAUSE_SLACK } from '../src/constants.js'
import type { Fleet } from '../src/Fleet.js'
import { NodeProcess } from '../src/NodeProcess.js'
import { runningTime } from '../src/runningTime.js'
import type { DelayRecord } from '../src/runningTime.js'
import { RequestKind } from '../src/types.js'
import type { Exchange } from '../src/types.js'

const ID = 'r1'
const SERVER = 'i-1'
const LOG = '/dev/null'
const PORT = 40_000

/** An event loop without delays, and one that stood still most of the time. */
const RUNNING = { runningTime: (from: number, until: number, records: readonly DelayRecord[] = []) => runningTime(from, until, records) }
const HELD_UP = { runningTime: (from: number, until: number) => (until - from) / 100 }

const fleetOf = (runs: number): Fleet => {
  const ledger = new Ledger()
  for (let run = 0; run < runs; run += 1) ledger.startRun(ID, SERVER).endedAt = 10
  const nodes = [{ index: 0, process: new NodeProcess('node-0', 'none', {}, LOG) }]
  const servers = [{ standin: { id: SERVER }, proxy: { isSoundSince: () => true } }]
  const serverProxies = new Map([[SERVER, { deliveredAfter: (port: number, time: number) => port === PORT ? time : null }]])
  return { ledger, nodes, servers, serverProxies, limitedSpans: [], delays: RUNNING } as unknown as Fleet
}

const exchange = (changes: Partial<Exchange> = {}): Exchange => ({
  id: ID, kind: RequestKind.Safe, path: `/safe/${ID}`, parts: [], node: 0, sentAt: 0, writtenAt: changes.sentAt ?? 0, deadline: 1_500, endedAt: 40, status: 200, body: answerBody(ID), whole: true, left: false, error: '', gaveUp: false, ...changes
})

const rules = (changes: Partial<Exchange>, fleet = fleetOf(1)): string[] => violationsOf([exchange(changes)], fleet).map(({ rule }) => rule)

const stream = (events: number): string => Array.from({ length: events }, (_, index) => streamEvent(ID, index + 1)).join('')

test('a sound exchange breaks no promise', (t) => {
  t.deepEqual(rules({}), [])
  t.deepEqual(rules({ kind: RequestKind.Stream, body: stream(STREAM_EVENT_COUNT) }), [])
  t.deepEqual(rules({ kind: RequestKind.Stream, body: stream(3), whole: false }), [])
  t.deepEqual(rules({ status: 503, body: '' }, fleetOf(0)), [])
})

const BROKEN: ReadonlyArray<[string, Partial<Exchange>, number]> = [
  ['whole answers', { body: answerBody('r2') }, 1],
  ['whole answers', { kind: RequestKind.Stream, body: stream(STREAM_EVENT_COUNT - 1) }, 1],
  ['ordered events', { kind: RequestKind.Stream, body: streamEvent(ID, 2), whole: false }, 1],
  ['truthful refusals', { status: 503 }, 1],
  ['truthful refusals', { status: 429 }, 2],
  ['unsafe requests run once', { kind: RequestKind.Unsafe }, 2],
  ['answers in time', { endedAt: 2_500 }, 1],
  ['every request is answered', { status: null, error: 'socket hang up', body: '', whole: false }, 0],
  ['retry budget', {}, 40]
]
for (const [rule, changes, runs] of BROKEN) {
  test(`${rule}: broken by ${JSON.stringify(changes).slice(0, 60)} after ${runs} runs`, (t) => {
    t.true(rules(changes, fleetOf(runs)).includes(rule))
  })
}

test('abandoned work is stopped: broken by a run that goes on', (t) => {
  const fleet = fleetOf(0)
  fleet.ledger.startRun(ID, SERVER)
  t.deepEqual(rules({ left: true, status: null, endedAt: 20 }, fleet), ['abandoned work is stopped'])
})

test('a node in an outage is not held to its promises, and afterwards it is', (t) => {
  const fleet = fleetOf(0)
  const [node] = fleet.nodes
  const outage = node!.process.beginOutage()
  const sentAt = performance.now()
  const lost: Partial<Exchange> = { status: null, error: 'reset', body: '', whole: false, sentAt, endedAt: sentAt + 5 }
  t.deepEqual(rules(lost, fleet), [])
  outage.until = sentAt - 1
  t.deepEqual(rules(lost, fleet), ['every request is answered'])
})

// Guards against promises that the nodes kept while the process of the soak, on a busy machine, could not see it.
test('time in which the process of the soak could not run is no delay of a node', (t) => {
  const fleet = fleetOf(1)
  Object.assign(fleet, { delays: HELD_UP })
  t.deepEqual(rules({ endedAt: 2_500 }, fleet), [])
  const abandoned = fleetOf(0)
  abandoned.ledger.startRun(ID, SERVER).endedAt = 1_500
  t.deepEqual(rules({ left: true, status: null, endedAt: 20 }, abandoned), ['abandoned work is stopped'])
  Object.assign(abandoned, { delays: HELD_UP })
  t.deepEqual(rules({ left: true, status: null, endedAt: 20 }, abandoned), [])
})

// Guards against a request whose wait in its own caller was counted as time of the node (soak seed 394040).
test('the wait of a request for the connection of its caller is no delay of a node', (t) => {
  t.deepEqual(rules({ writtenAt: 1_000, endedAt: 2_500 }), [])
  t.deepEqual(rules({ writtenAt: 1_000, endedAt: 3_500 }), ['answers in time'])
  t.deepEqual(rules({ writtenAt: null, endedAt: 2_500 }), ['answers in time'])
})

test('a node owes a caller who gave up an answer if both could run for long enough', (t) => {
  const gaveUp: Partial<Exchange> = { status: null, error: 'no end came', body: '', whole: false, endedAt: 4_500, gaveUp: true }
  t.deepEqual(rules(gaveUp), ['answers in time', 'every request is answered'])
  const fleet = fleetOf(1)
  fleet.nodes[0]?.process.waits.record.add(100, 2_000)
  t.deepEqual(rules(gaveUp, fleet), ['answers in time', 'every request is answered'])
  fleet.nodes[0]?.process.waits.record.add(2_000, 4_000)
  t.deepEqual(rules(gaveUp, fleet), [])
  t.deepEqual(rules({ ...gaveUp, gaveUp: false }, fleet), ['every request is answered'])
})

test('limits of servers: broken by arrivals beyond the limit, and not by those of nodes in an outage', (t) => {
  const fleet = fleetOf(0)
  fleet.limitedSpans.push({ server: SERVER, perSecond: 1, from: performance.now() - LIMIT_KNOWN_MS, until: Infinity })
  for (let index = 0; index < 11; index += 1) fleet.ledger.arrive(ID, SERVER)
  t.deepEqual(rules({}, fleet).filter((rule) => rule === 'limits of servers'), [])
  fleet.ledger.arrive(ID, SERVER)
  t.true(rules({}, fleet).includes('limits of servers'))
  fleet.nodes[0]?.process.beginOutage()
  t.false(rules({}, fleet).includes('limits of servers'))
})

test('pauses of servers: broken by a third request of the same node', async (t) => {
  const fleet = fleetOf(0)
  fleet.ledger.requestPause(ID, SERVER, 60_000, PORT)
  await sleep(PAUSE_KNOWN_MS + 50)
  for (let index = 0; index < PAUSE_SLACK; index += 1) fleet.ledger.arrive(ID, SERVER)
  t.deepEqual(rules({}, fleet).filter((rule) => rule === 'pauses of servers'), [])
  fleet.ledger.arrive(ID, SERVER)
  t.true(rules({}, fleet).includes('pauses of servers'))
})

// Guards against the account of a pause that a node was never asked for: a link that holds answers back, or a caller who has left before.
test('pauses of servers: not broken if the refusal did not arrive', async (t) => {
  const fleet = fleetOf(0)
  fleet.ledger.requestPause(ID, SERVER, 60_000, PORT + 1)
  await sleep(PAUSE_KNOWN_MS + 50)
  for (let index = 0; index <= PAUSE_SLACK; index += 1) fleet.ledger.arrive(ID, SERVER)
  t.false(rules({}, fleet).includes('pauses of servers'))
})

test('leaving servers get nothing: broken by a late run, and not by that of a node that was paused if only answers say so', (t) => {
  const fleet = fleetOf(0)
  const from = performance.now() - 60_000
  fleet.ledger.startRun(ID, SERVER).endedAt = 10
  const broken = (isInStore: boolean): string[] => violationsOf([exchange()], fleet, [{ server: SERVER, from, isInStore, until: Infinity }]).map(({ rule }) => rule)
  t.true(broken(true).includes('leaving servers get nothing'))
  t.true(broken(false).includes('leaving servers get nothing'))
  const paused = fleetOf(0)
  paused.nodes[0]?.process.beginOutage()
  paused.ledger.startRun(ID, SERVER).endedAt = 10
  const brokenAfterPause = (isInStore: boolean): string[] => violationsOf([exchange()], paused, [{ server: SERVER, from, isInStore, until: Infinity }]).map(({ rule }) => rule)
  t.true(brokenAfterPause(true).includes('leaving servers get nothing'))
  t.false(brokenAfterPause(false).includes('leaving servers get nothing'))
})

// Guards against 'leaving servers get nothing' at a server that a part of a prompt had ended: it was back under the same id and did not leave.
test('leaving servers get nothing: not broken by a run of the next process under the same id', (t) => {
  const fleet = fleetOf(0)
  const now = performance.now()
  fleet.ledger.startRun(ID, SERVER).endedAt = 10
  const brokenIfEndedAt = (until: number): boolean =>
    violationsOf([exchange()], fleet, [{ server: SERVER, from: now - 60_000, isInStore: true, until }]).some(({ rule }) => rule === 'leaving servers get nothing')
  t.true(brokenIfEndedAt(Infinity))
  t.false(brokenIfEndedAt(now - 1))
})

const PART = 'dead'

/** A fleet that a part has ended so many engines of, and requests with it that arrived later than a time after the last crash. */
const fleetWithCrashes = (arrivals: number, after: number, isInOutage = false): Fleet => {
  const ledger = new Ledger()
  const known = performance.now() - after
  const crashes = Array.from({ length: CRASHES_UNTIL_KNOWN.part }, () => ({ cause: PART, request: 'r0', server: SERVER, at: known }))
  const nodes = [{ index: 0, process: new NodeProcess('node-0', 'none', {}, LOG) }]
  if (isInOutage) nodes[0]?.process.beginOutage()
  for (let index = 0; index < arrivals; index += 1) ledger.arrive(ID, SERVER)
  return { ledger: { crashes, arrivals: ledger.arrivals, runsOfRequest: () => [], pauseRequests: [] }, nodes, servers: [], limitedSpans: [], delays: RUNNING } as unknown as Fleet
}

const partRules = (fleet: Fleet, exchanges: readonly Exchange[]): string[] =>
  violationsOf(exchanges, fleet).map(({ rule }) => rule).filter((rule) => rule.includes('crashing parts'))

test('crashing parts: broken by one more request that reaches an engine, and not if it is the last part or its node is in an outage', (t) => {
  const late = fleetWithCrashes(MOST_AFTER_KNOWN + 1, CONTACT_MS + 100)
  const tainted = exchange({ parts: ['a0', PART, 'e1'] })
  t.deepEqual(partRules(late, [tainted]), ['crashing parts'])
  t.deepEqual(partRules(late, [exchange({ parts: ['a0', PART] })]), [])
  t.deepEqual(partRules(fleetWithCrashes(MOST_AFTER_KNOWN, CONTACT_MS + 100), [tainted]), [])
  t.deepEqual(partRules(fleetWithCrashes(MOST_AFTER_KNOWN + 1, CONTACT_MS - 1_000), [tainted]), [])
  t.deepEqual(partRules(fleetWithCrashes(MOST_AFTER_KNOWN + 1, CONTACT_MS + 100, true), [tainted]), [])
})

test('requests beside crashing parts: broken if less than half of the sound ones are served', (t) => {
  const fleet = fleetWithCrashes(0, 3 * CONTACT_MS)
  const stream = (served: boolean, parts: readonly string[]): Exchange =>
    exchange({ kind: RequestKind.Stream, parts, sentAt: performance.now(), status: served ? 200 : 503, body: '', whole: true })
  const half = Array.from({ length: FEWEST_SAMPLES }, (_, index) => stream(index % 2 === 0, ['a0', 'e1']))
  t.deepEqual(partRules(fleet, half), [])
  t.deepEqual(partRules(fleet, [...half, stream(false, ['a0', 'e1'])]), ['requests beside crashing parts'])
  t.deepEqual(partRules(fleet, [...half, stream(false, ['a0', PART, 'e1'])]), [])
})

test('evacuated failure domains get nothing: broken by an arrival after the bound, and not before it, after the end, or elsewhere', (t) => {
  const fleet = fleetOf(0)
  const now = performance.now()
  Object.assign(fleet, { serverDomains: new Map([[SERVER, 'hall-a']]) })
  fleet.ledger.arrive(ID, SERVER, true)
  const isBroken = (failureDomain: string, from: number, until: number): boolean =>
    violationsOf([exchange()], fleet, [], [{ failureDomain, from, until }]).some(({ rule }) => rule === 'evacuated failure domains get nothing')
  t.false(isBroken('hall-a', now - EVACUATION_MS - 1, Infinity))
  fleet.ledger.arrive(ID, SERVER)
  t.true(isBroken('hall-a', now - EVACUATION_MS - 1, Infinity))
  t.deepEqual([isBroken('hall-a', now - EVACUATION_MS + 1_000, Infinity), isBroken('hall-a', now - EVACUATION_MS - 1, now - 1), isBroken('hall-b', now - EVACUATION_MS - 1, Infinity)], [false, false, false])
})
