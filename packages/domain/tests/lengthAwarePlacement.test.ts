import test from 'ava'

import { EngineState, LengthAwarePlacement, tieBreakRank, totalLoss } from '../src/index.js'
import type { NodeId, RunnerId } from '../src/index.js'
import { engines, FIGURES, LONG, MIDDLE, MODEL, TestFleet, SHORT } from './forwardingFixtures.js'
import type { RequestSize } from './forwardingFixtures.js'

const E0 = 'e0'
const HELPER = 'e1' as RunnerId

/** Engines with any short answer on them. */
const enginesWithShortAnswers = (fleet: TestFleet): Set<string> => new Set(fleet.assignments.own().filter(({ pauseObjective }) => pauseObjective === SHORT.pause).map(({ server: runner }) => runner))

test('a long prompt is read in parts that keep its objective', (t) => {
  const fleet = new TestFleet(engines(18))
  const choice = fleet.choose(LONG, 0)
  t.true((choice?.helpers.length ?? 0) >= 2)
  t.true((choice?.timeToFirstEvent ?? Infinity) < LONG.objective / 2)
})

test('a short prompt is read by one engine', (t) => {
  t.deepEqual(new TestFleet(engines(18)).choose(SHORT, 0)?.helpers, [])
})

test('pattern: a short prompt passes the long ones that an engine reads', (t) => {
  const fleet = new TestFleet(engines(2))
  fleet.assign({ ...LONG, objective: 9_000 }, 0, 'e0')
  fleet.assign({ ...LONG, objective: 9_000 }, 0, 'e1')
  const choice = fleet.choose(SHORT, 10)
  t.is(choice?.helpers.length, 1)
  t.true((choice?.timeToFirstEvent ?? Infinity) < SHORT.objective)
})

test('pattern: a short prompt keeps away from a pass that reads a long one', (t) => {
  const fleet = new TestFleet(engines(2))
  fleet.assignDecoding(SHORT, 0, 'e0')
  fleet.assign({ ...LONG, objective: 9_000 }, 0, 'e0')
  const choice = fleet.choose(SHORT, 10)
  t.is(choice?.server.id as string, 'e1')
  t.deepEqual(choice?.helpers, [])
})

test('pattern: a prompt that is late in any case is still read before its caller leaves', (t) => {
  const fleet = new TestFleet(engines(8))
  const choice = fleet.choose({ ...LONG, prompt: 430_000 }, 0, { timeLeft: -1 })
  t.true((choice?.timeToFirstEvent ?? Infinity) < 8_000)
})

test('pattern: steady short requests share few engines', (t) => {
  const fleet = new TestFleet(engines(18))
  for (let index = 0; index < 20; index += 1) {
    const { assignment: work } = fleet.place(SHORT, index * 100)
    fleet.assignments.markPrefilled(work, index * 100 + 60)
  }
  t.is(enginesWithShortAnswers(fleet).size, 2)
})

test('pattern: a burst of short requests in one instant is spread, so that each is read in time', (t) => {
  const fleet = new TestFleet(engines(18))
  const expected = Array.from({ length: 60 }, () => fleet.place(SHORT, 0).choice.timeToFirstEvent)
  t.true(Math.max(...expected) < SHORT.objective)
})

test('pattern: long prompts beside short answers are read where nobody pauses', (t) => {
  const fleet = new TestFleet(engines(18))
  for (let index = 0; index < 20; index += 1) fleet.assignDecoding(SHORT, 0, `e${index % 4}`)
  const { choice } = fleet.place(LONG, 10)
  const used = [choice.server, ...choice.helpers].map(({ id }) => id)
  t.deepEqual(used.filter((id) => enginesWithShortAnswers(fleet).has(id)), [])
})

test('pattern: a prompt that is late already does not make others late', (t) => {
  const fleet = new TestFleet(engines(6))
  for (let index = 0; index < 30; index += 1) fleet.assignDecoding(SHORT, 0, `e${index % 5}`)
  const choice = fleet.choose(LONG, 10, { timeLeft: -500 })
  t.is(choice?.server.id as string, 'e5')
  t.deepEqual(choice?.helpers, [])
})

test('pattern: long prompts in quick succession do not starve the first one', (t) => {
  const fleet = new TestFleet(engines(18))
  const first = fleet.place(LONG, 0)
  const used = new Set([first.choice.server.id, ...first.choice.helpers.map(({ id }) => id)])
  const second = fleet.place(LONG, 100)
  const delayed = second.choice.helpers.filter(({ id }) => used.has(id))
  const left = MODEL.prefillTime(LONG.prompt, used.size) - 100 + (delayed.length > 0 ? second.assignment.prefillTime : 0)
  t.true(100 + left < LONG.objective)
})

test('several prompts do not fill the memory of an engine', (t) => {
  const fleet = new TestFleet(engines(1))
  fleet.assignDecoding(LONG, 0, E0)
  t.is(fleet.choose({ ...LONG, prompt: 200_000 }, 10), null)
  t.is(fleet.choose(MIDDLE, 10)?.server.id as string, E0)
})

test('pattern: a prompt larger than an engine is held by several', (t) => {
  const fleet = new TestFleet(engines(18))
  const choice = fleet.choose({ ...LONG, prompt: 574_000 }, 0)
  const reserved = choice?.holders.reduce((sum, { tokens }) => sum + tokens, 0) ?? 0
  t.true(reserved > 574_000 - 450_000)
  t.deepEqual(choice?.helpers.slice(0, choice.holders.length), choice?.holders.map((holder) => holder.server))
})

test('a prompt that all engines together cannot hold goes nowhere', (t) => {
  t.is(new TestFleet(engines(2)).choose({ ...LONG, prompt: 1_000_000 }, 0), null)
})

test('a full engine gets a request only where all are full', (t) => {
  const fleet = new TestFleet(engines(2))
  for (let index = 0; index < 11; index += 1) fleet.assignDecoding(SHORT, 0, E0)
  t.is(fleet.choose(SHORT, 10)?.server.id as string, 'e1')
  for (let index = 0; index < 11; index += 1) fleet.assignDecoding(SHORT, 0, 'e1')
  t.truthy(fleet.choose(SHORT, 10))
})

test('predictions follow the published figures', (t) => {
  const near = (size: RequestSize, expected: number): void => { t.true(Math.abs(MODEL.prefillTime(size.prompt) - expected) < 0.02 * expected) }
  near(SHORT, 20.7)
  near(MIDDLE, 268.6)
  near(LONG, 2_842)
  t.true(Math.abs(MODEL.passTime(11, 11 * 5_800) - 53.5) < 1)
})

/** What many nodes with the same account choose in one instant, before they hear of each other. */
const choicesInOneInstant = (fleet: TestFleet, nodes: number, arrivalsPerSecond: number): Map<string, number> => {
  const chosen = new Map<string, number>()
  for (let index = 0; index < nodes; index += 1) {
    const policy = new LengthAwarePlacement(`edge-${index}` as NodeId)
    const view = new TestFleet(fleet.servers, policy)
    for (const { id: _, ...work } of fleet.assignments.own()) {
      const assignment = view.assignments.start(work)
      if (work.isPrefilled) view.assignments.markPrefilled(assignment, 0)
    }
    const engine = view.choose(SHORT, 10, { arrivalsPerSecond })?.server.id ?? ''
    chosen.set(engine, (chosen.get(engine) ?? 0) + 1)
  }
  return chosen
}

test('pattern: nodes that place short prompts in the same instant do not fill one engine beyond its places', (t) => {
  const fleet = new TestFleet(engines(60))
  const writers = FIGURES.slots - 2
  for (let engine = 0; engine < 40; engine += 1) {
    for (let index = 0; index < writers - engine % 3; index += 1) fleet.assignDecoding(SHORT, 0, `e${engine}`)
  }
  const chosen = choicesInOneInstant(fleet, 6, 150)
  for (const [engine, requests] of chosen) {
    const taken = fleet.assignments.own().filter(({ server: runner }) => runner === engine).length
    t.true(taken + requests <= FIGURES.slots, `${engine} had ${taken} and got ${requests}`)
  }
})

test('pattern: the last place of an engine is left free while requests arrive in quick succession', (t) => {
  const fleet = new TestFleet(engines(2))
  for (let index = 0; index < FIGURES.slots - 1; index += 1) fleet.assignDecoding(SHORT, 0, 'e0')
  for (let index = 0; index < FIGURES.slots - 3; index += 1) fleet.assignDecoding(SHORT, 0, 'e1')
  t.is(fleet.choose(SHORT, 10, { arrivalsPerSecond: 150 })?.server.id as string, 'e1')
  t.is(fleet.choose(SHORT, 10, { arrivalsPerSecond: 1 })?.server.id as string, 'e0')
})

test('each node has its own order of engines, and keeps it', (t) => {
  const engineOrder = (node: string): string => engines(20).map(({ id }) => id).sort((a, b) => tieBreakRank(node as NodeId, a) - tieBreakRank(node as NodeId, b)).join()
  t.is(new Set(Array.from({ length: 50 }, (_, index) => engineOrder(`edge-${index}`))).size, 50)
  t.is(engineOrder('edge-1'), engineOrder('edge-1'))
  t.true(tieBreakRank('edge-1' as NodeId, 'e1' as RunnerId) < 1)
})

test('pattern: prompts that arrive later do not push an earlier one to the edge of its objective', (t) => {
  const fleet = new TestFleet(engines(1))
  fleet.assign({ ...LONG, objective: 4_000 }, 0, 'e0', [HELPER])
  const [first] = fleet.assignments.own()
  const lossAt = (share: number): number => {
    const harm = new Map<string, number>()
    const state = new EngineState({ server: fleet.servers[0]!, slowdown: 1 }, fleet.assignments.serverLoads(0).get('e0' as RunnerId), MODEL, 0, 0)
    state.addSegmentLoss(harm, share * 4_000 - first!.prefillTime)
    return totalLoss(harm)
  }
  t.is(lossAt(0.8), 0)
  t.true(lossAt(0.95) > 0)
})
