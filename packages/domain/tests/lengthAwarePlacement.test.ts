import test from 'ava'

import { EngineState, LengthAwarePlacement, tieBreakRank, totalLoss } from '../src/index.js'
import type { NodeId, RunnerId } from '../src/index.js'
import { engines, FIGURES, LONG, MIDDLE, TIMING, TestFleet, SHORT } from './forwardingFixtures.js'
import type { RequestSize } from './forwardingFixtures.js'

const E0 = 'e0'
const HELPER = 'e1' as RunnerId

/** Engines that serve at least one short request. */
const enginesWithShortAnswers = (fleet: TestFleet): Set<string> => new Set(fleet.assignments.own().filter(({ pauseObjective }) => pauseObjective === SHORT.pause).map(({ server: id }) => id))

test('a long prompt is divided into segments that keep its objective', (t) => {
  const fleet = new TestFleet(engines(18))
  const choice = fleet.choose(LONG, 0)
  t.true((choice?.helpers.length ?? 0) >= 2)
  t.true((choice?.timeToFirstEvent ?? Infinity) < LONG.objective / 2)
})

test('a short prompt is prefilled by one engine', (t) => {
  t.deepEqual(new TestFleet(engines(18)).choose(SHORT, 0)?.helpers, [])
})

test('pattern: a short prompt does not overtake a long prefill, since its next event would wait for it', (t) => {
  const fleet = new TestFleet(engines(3))
  fleet.assign({ ...LONG, objective: 9_000 }, 0, 'e0')
  fleet.assign({ ...LONG, objective: 9_000 }, 0, 'e1')
  for (let index = 0; index < FIGURES.slots - 1; index += 1) fleet.assignDecoding(SHORT, 0, 'e2')
  const choice = fleet.choose(SHORT, 10)
  t.is(choice?.server.id as string, 'e2')
  t.deepEqual(choice?.helpers, [])
})

test('a short prompt is not predicted to overtake a long prefill on an engine that has requests', (t) => {
  const fleet = new TestFleet(engines(2))
  fleet.assign({ ...LONG, objective: 9_000 }, 0, 'e0')
  fleet.assign({ ...LONG, objective: 9_000 }, 0, 'e1')
  t.true((fleet.choose(SHORT, 10)?.timeToFirstEvent ?? 0) > SHORT.objective)
})

test('pattern: a short prompt is not placed on an engine whose pass prefills a long prompt', (t) => {
  const fleet = new TestFleet(engines(2))
  fleet.assignDecoding(SHORT, 0, 'e0')
  fleet.assign({ ...LONG, objective: 9_000 }, 0, 'e0')
  const choice = fleet.choose(SHORT, 10)
  t.is(choice?.server.id as string, 'e1')
  t.deepEqual(choice?.helpers, [])
})

test('pattern: a prompt that is already late is still prefilled before its caller disconnects', (t) => {
  const fleet = new TestFleet(engines(8))
  const choice = fleet.choose({ ...LONG, prompt: 430_000 }, 0, { timeLeft: -1 })
  t.true((choice?.timeToFirstEvent ?? Infinity) < 8_000)
})

test('pattern: steady short requests share few engines', (t) => {
  const fleet = new TestFleet(engines(18))
  for (let index = 0; index < 20; index += 1) {
    const { assignment } = fleet.place(SHORT, index * 100)
    fleet.assignments.markPrefilled(assignment, index * 100 + 60)
  }
  t.is(enginesWithShortAnswers(fleet).size, 2)
})

test('pattern: a burst of short requests at one moment is spread over engines, so that each is prefilled in time', (t) => {
  const fleet = new TestFleet(engines(18))
  const expected = Array.from({ length: 60 }, () => fleet.place(SHORT, 0).choice.timeToFirstEvent)
  t.true(Math.max(...expected) < SHORT.objective)
})

test('pattern: long prompts are prefilled on engines that decode no short answers', (t) => {
  const fleet = new TestFleet(engines(18))
  for (let index = 0; index < 20; index += 1) fleet.assignDecoding(SHORT, 0, `e${index % 4}`)
  const { choice } = fleet.place(LONG, 10)
  const used = [choice.server, ...choice.helpers].map(({ id }) => id)
  t.deepEqual(used.filter((id) => enginesWithShortAnswers(fleet).has(id)), [])
})

test('pattern: a prompt that is already late does not make others late', (t) => {
  const fleet = new TestFleet(engines(6))
  for (let index = 0; index < 30; index += 1) fleet.assignDecoding(SHORT, 0, `e${index % 5}`)
  const choice = fleet.choose(LONG, 10, { timeLeft: -500 })
  t.is(choice?.server.id as string, 'e5')
  t.deepEqual(choice?.helpers, [])
})

test('pattern: long prompts in quick succession do not delay the first one beyond its objective', (t) => {
  const fleet = new TestFleet(engines(18))
  const first = fleet.place(LONG, 0)
  const used = new Set([first.choice.server.id, ...first.choice.helpers.map(({ id }) => id)])
  const second = fleet.place(LONG, 100)
  const delayed = second.choice.helpers.filter(({ id }) => used.has(id))
  const remaining = TIMING.prefillTime(LONG.prompt, used.size) - 100 + (delayed.length > 0 ? second.assignment.prefillTime : 0)
  t.true(100 + remaining < LONG.objective)
})

test('several prompts do not fill the memory of an engine', (t) => {
  const fleet = new TestFleet(engines(1))
  fleet.assignDecoding(LONG, 0, E0)
  t.is(fleet.choose({ ...LONG, prompt: 200_000 }, 10), null)
  t.is(fleet.choose(MIDDLE, 10)?.server.id as string, E0)
})

test('pattern: a prompt larger than the memory of one engine is kept on several', (t) => {
  const fleet = new TestFleet(engines(18))
  const choice = fleet.choose({ ...LONG, prompt: 574_000 }, 0)
  const reserved = choice?.holders.reduce((sum, { tokens }) => sum + tokens, 0) ?? 0
  t.true(reserved > 574_000 - 450_000)
  t.deepEqual(choice?.helpers.slice(0, choice.holders.length), choice?.holders.map((holder) => holder.server))
})

test('a prompt larger than the memory of all engines is not placed', (t) => {
  t.is(new TestFleet(engines(2)).choose({ ...LONG, prompt: 1_000_000 }, 0), null)
})

test('a full engine gets a request only if all engines are full', (t) => {
  const fleet = new TestFleet(engines(2))
  for (let index = 0; index < 11; index += 1) fleet.assignDecoding(SHORT, 0, E0)
  t.is(fleet.choose(SHORT, 10)?.server.id as string, 'e1')
  for (let index = 0; index < 11; index += 1) fleet.assignDecoding(SHORT, 0, 'e1')
  t.truthy(fleet.choose(SHORT, 10))
})

test('predicted prefill and pass times match the published figures', (t) => {
  const near = (size: RequestSize, expected: number): void => { t.true(Math.abs(TIMING.prefillTime(size.prompt) - expected) < 0.02 * expected) }
  near(SHORT, 20.7)
  near(MIDDLE, 268.6)
  near(LONG, 2_842)
  t.true(Math.abs(TIMING.passTime(11, 11 * 5_800) - 53.5) < 1)
})

/** Counts by engine the choices that many nodes with the same assignments make before they learn of each other's choices. */
const choicesInOneInstant = (fleet: TestFleet, nodes: number, arrivalsPerSecond: number): Map<string, number> => {
  const chosen = new Map<string, number>()
  for (let index = 0; index < nodes; index += 1) {
    const policy = new LengthAwarePlacement(`edge-${index}` as NodeId)
    const view = new TestFleet(fleet.servers, policy)
    for (const { id: _, ...draft } of fleet.assignments.own()) {
      const assignment = view.assignments.start(draft)
      if (draft.isPrefilled) view.assignments.markPrefilled(assignment, 0)
    }
    const engine = view.choose(SHORT, 10, { arrivalsPerSecond })?.server.id ?? ''
    chosen.set(engine, (chosen.get(engine) ?? 0) + 1)
  }
  return chosen
}

test('pattern: nodes that place short prompts at the same moment do not exceed the slots of one engine', (t) => {
  const fleet = new TestFleet(engines(60))
  const decoding = FIGURES.slots - 2
  for (let engine = 0; engine < 40; engine += 1) {
    for (let index = 0; index < decoding - engine % 3; index += 1) fleet.assignDecoding(SHORT, 0, `e${engine}`)
  }
  const chosen = choicesInOneInstant(fleet, 6, 150)
  for (const [engine, requests] of chosen) {
    const assigned = fleet.assignments.own().filter(({ server: id }) => id === engine).length
    t.true(assigned + requests <= FIGURES.slots, `${engine} had ${assigned} and got ${requests}`)
  }
})

test('pattern: the last slot of an engine is left free while requests arrive in quick succession', (t) => {
  const fleet = new TestFleet(engines(2))
  for (let index = 0; index < FIGURES.slots - 1; index += 1) fleet.assignDecoding(SHORT, 0, 'e0')
  for (let index = 0; index < FIGURES.slots - 3; index += 1) fleet.assignDecoding(SHORT, 0, 'e1')
  t.is(fleet.choose(SHORT, 10, { arrivalsPerSecond: 150 })?.server.id as string, 'e1')
  t.is(fleet.choose(SHORT, 10, { arrivalsPerSecond: 1 })?.server.id as string, 'e0')
})

test('each node has its own stable ranking of engines', (t) => {
  const engineOrder = (node: string): string => engines(20).map(({ id }) => id).sort((a, b) => tieBreakRank(node as NodeId, a) - tieBreakRank(node as NodeId, b)).join()
  t.is(new Set(Array.from({ length: 50 }, (_, index) => engineOrder(`edge-${index}`))).size, 50)
  t.is(engineOrder('edge-1'), engineOrder('edge-1'))
  t.true(tieBreakRank('edge-1' as NodeId, 'e1' as RunnerId) < 1)
})

test('pattern: segments of later prompts do not use up the safety margin of an earlier prompt', (t) => {
  const fleet = new TestFleet(engines(1))
  fleet.assign({ ...LONG, objective: 4_000 }, 0, 'e0', [HELPER])
  const [first] = fleet.assignments.own()
  const lossAt = (share: number): number => {
    const losses = new Map<string, number>()
    const state = new EngineState({ server: fleet.servers[0]!, slowdown: 1 }, fleet.assignments.serverLoads(0).get('e0' as RunnerId), TIMING, 0, 0)
    state.addSegmentLoss(losses, share * 4_000 - first!.prefillTime)
    return totalLoss(losses)
  }
  t.is(lossAt(0.8), 0)
  t.true(lossAt(0.95) > 0)
})

test('pattern: a prompt that would stall every short answer beyond the patience of its caller is read by the engines without them', (t) => {
  const fleet = new TestFleet(engines(15))
  for (let index = 0; index < 36; index += 1) fleet.assignDecoding(SHORT, 0, `e${index % 11}`)
  const choice = fleet.choose({ ...LONG, prompt: 700_000, objective: 4_000 }, 10)
  const used = [choice?.server, ...choice?.helpers ?? []].map((one) => one?.id ?? '')
  t.deepEqual(used.filter((id) => enginesWithShortAnswers(fleet).has(id)), [])
})

test('pattern: in a burst beyond all slots, requests that cannot be on time do not delay the later ones that can', (t) => {
  const fleet = new TestFleet(engines(2))
  for (let index = 0; index < 2 * FIGURES.slots; index += 1) fleet.assignDecoding(SHORT, 0, `e${index % 2}`)
  const burst = Array.from({ length: 20 }, () => fleet.place(SHORT, 10).choice)
  t.true(burst.some(({ isDeferred }) => isDeferred))
  t.true(burst.filter(({ isDeferred }) => !isDeferred).every(({ timeToFirstEvent }) => timeToFirstEvent <= SHORT.objective))
  const [ended] = fleet.assignments.own().filter(({ isPrefilled }) => isPrefilled)
  const onTime = burst.filter(({ isDeferred }) => !isDeferred).length
  fleet.assignments.end(ended!, 20)
  for (let index = 0; index < onTime; index += 1) fleet.assignments.end(fleet.assignments.own().find(({ isPrefilled }) => isPrefilled)!, 20)
  t.false(fleet.choose(SHORT, 20)?.isDeferred)
})

test('pattern: a burst beyond all slots is spread evenly over the engines', (t) => {
  const fleet = new TestFleet(engines(4))
  for (let index = 0; index < 4 * FIGURES.slots; index += 1) fleet.assignDecoding(SHORT, 0, `e${index % 4}`)
  for (let index = 0; index < 16; index += 1) fleet.place(SHORT, 10)
  const loads = engines(4).map(({ id }) => fleet.assignments.serverLoads(10).get(id).requests.length - FIGURES.slots)
  t.true(Math.max(...loads) - Math.min(...loads) <= 1, loads.join())
})
