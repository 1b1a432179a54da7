import test from 'ava'
import type { ExecutionContext } from 'ava'

import type { Millis, PromptPart } from '../src/index.js'
import { QuarantineFleet } from './quarantineFleet.js'
import type { FleetLoad } from './quarantineFleet.js'

const SEEDS = [1, 2, 3]
const CONTACT: Millis = 3_000
/** Longer than any request takes. */
const LONGEST_REQUEST: Millis = 10_000
const BUDGET_WINDOW: Millis = 60_000
const MAX_HARMFUL_ARRIVALS = 3
const USUAL_SHARE = 0.9
const HARMFUL_SHARE = 0.05

type Parts = readonly PromptPart[]

const pick = (random: () => number, name: string, count: number): PromptPart => `${name}${Math.floor(random() * count)}`

/** Three first parts, twenty in the middle and two hundred sessions; the last part is the request's own. */
const soundParts = (random: () => number, index: number): Parts =>
  [pick(random, 'first', 3), pick(random, 'middle', 20), pick(random, 'session', 200), `own${index}`]

/** Sound requests, and a share of those that the given function returns. */
const withHarmful = (harmfulParts: (random: () => number, index: number) => Parts, share = HARMFUL_SHARE) =>
  (random: () => number, index: number): Parts => random() < share ? harmfulParts(random, index) : soundParts(random, index)

const HARMFUL_FIRST = withHarmful((random, index) => ['harmful', ...soundParts(random, index).slice(1)])

const LOAD: FleetLoad = {
  seed: 0,
  until: 210_000,
  observed: 2 * CONTACT + BUDGET_WINDOW,
  nodes: 6,
  engines: 12,
  slots: 12,
  rate: 30,
  prefill: [100, 500],
  answer: [200, 2_500],
  partsOf: HARMFUL_FIRST,
  isHarmful: (part) => part.startsWith('harmful'),
  isCounted: (parts) => !parts.some((part) => part.startsWith('harmful')),
  isCut: () => false,
  breakOffShare: () => 0,
  faults: []
}

const countBetween = (times: readonly Millis[], from: Millis, to: Millis): number => times.filter((at) => at >= from && at < to).length

/** After the fifth crash few harmful requests reach engines, and counted requests are served. */
const assertContained = (t: ExecutionContext, change: Partial<FleetLoad>, maxFalseQuarantine: Millis = Infinity, seeds: readonly number[] = SEEDS): void => {
  for (const seed of seeds) {
    const fleet = new QuarantineFleet({ ...LOAD, ...change, seed }).run()
    const fifth = fleet.crashes[4] ?? fleet.crashes.at(-1) ?? 0
    const reached = countBetween(fleet.harmfulArrivals, fifth + CONTACT, fifth + CONTACT + BUDGET_WINDOW)
    const share = servedShare(fleet, fifth + 2 * CONTACT)
    const falsely = longestFalseQuarantine(fleet)
    t.log(`seed ${seed}: ${fleet.crashes.length} crashes, fifth at ${Math.round(fifth)}, then ${reached} reached, served ${share.toFixed(3)}, refused ${fleet.refused.length}, ${falsely}`)
    t.true(reached <= MAX_HARMFUL_ARRIVALS, `seed ${seed}: ${reached} harmful requests reached engines`)
    t.true(share >= USUAL_SHARE, `seed ${seed}: ${share} of the other requests served`)
    t.true(longestTime(fleet) <= maxFalseQuarantine, `seed ${seed}: quarantined ${falsely}`)
  }
}

/** Share of the counted requests from a time on that were answered, but for the last ones, which may still run. */
const servedShare = (fleet: QuarantineFleet, from: Millis): number =>
  countBetween(fleet.served, from, fleet.now - LONGEST_REQUEST) / countBetween(fleet.arrived, from, fleet.now - LONGEST_REQUEST)

const longestTime = ({ falseQuarantines }: QuarantineFleet): Millis => Math.max(0, ...falseQuarantines.values())

const longestFalseQuarantine = (fleet: QuarantineFleet): string => {
  const [part, time] = [...fleet.falseQuarantines].sort(([, a], [, b]) => b - a)[0] ?? ['nothing', 0]
  return `${part} for ${Math.round(time)} ms`
}

test('harmful part first', (t) => {
  assertContained(t, {})
})

test('harmful part in the middle', (t) => {
  assertContained(t, { partsOf: withHarmful((random, index) => [pick(random, 'first', 3), 'harmful', pick(random, 'session', 200), `own${index}`]) })
})

test('harmful part whose other parts a sound majority shares', (t) => {
  assertContained(t, { partsOf: withHarmful((_, index) => ['first0', 'middle0', 'harmful', 'session0', `own${index}`]) })
})

test('two harmful parts at once', (t) => {
  assertContained(t, { partsOf: withHarmful((random, index) => [pick(random, 'first', 3), pick(random, 'harmful', 2), `own${index}`]) })
})

test('harmful part among parts never seen apart from it', (t) => {
  assertContained(t, { partsOf: withHarmful((_, index) => ['before', 'harmful', 'behind', `own${index}`]) })
})

test('a harmful part crashes engines with 30 sound streams', (t) => {
  assertContained(t, { engines: 8, slots: 60, rate: 80, prefill: [100, 200], answer: [2_000, 4_000] })
})

test('a harmful part crashes engines with 8 other requests before their first event', (t) => {
  assertContained(t, { slots: 24, rate: 70, prefill: [1_000, 2_000] }, 5_000)
})

test('the fleet is cut in halves from before the fifth crash till long after it', (t) => {
  assertContained(t, { isCut: (fleet, from, to) => from % 2 !== to % 2 && fleet.crashes.length >= 4 && fleet.now < (fleet.crashes[4] ?? Infinity) + 20_000 })
})

test('the fleet is cut in halves from the first crash on', (t) => {
  assertContained(t, { isCut: (fleet, from, to) => from % 2 !== to % 2 && fleet.crashes.length >= 1 && fleet.now < (fleet.crashes[4] ?? Infinity) + 20_000 })
})

test('nodes that restart learn of a harmful part from facts', (t) => {
  const restarts = [0, 1, 2, 3, 4, 5].map((index) => ({ at: 12_000 + index * 2_000, run: (fleet: QuarantineFleet) => { fleet.restartNode(fleet.nodes[index]!) } }))
  assertContained(t, { faults: restarts })
})

/** Ends all engines of one of three failure domains. */
const losePower = (at: Millis, domain = 0) =>
  ({ at, run: (fleet: QuarantineFleet) => { for (const engine of fleet.engines) if (engine.index % 3 === domain) fleet.crash(engine) } })

test('a failure domain loses power while a harmful part crashes engines', (t) => {
  assertContained(t, { faults: [losePower(1_000), losePower(5_000, 1), losePower(9_000, 2), losePower(20_000)] })
})

/** A fifth of the requests carries a part that crashes engines from a time on; they end all twelve within a second. */
const POPULAR: Partial<FleetLoad> = {
  partsOf: withHarmful((random, index) => ['harmful', ...soundParts(random, index).slice(1)], 0.2),
  isHarmful: (part, now) => part === 'harmful' && now > 10_000
}

test('a part that was popular and sound becomes harmful', (t) => {
  assertContained(t, POPULAR)
})

/** Guards against a verdict that waits for evidence which cannot come while all engines are down. */
test('a part that was popular and sound ends all engines before it is quarantined', (t) => {
  assertContained(t, POPULAR, Infinity, [8])
})

test('a part that was popular and sound becomes harmful among 8 other requests before their first event', (t) => {
  const partsOf = withHarmful((random, index) => ['harmful', ...soundParts(random, index).slice(1)], 0.1)
  assertContained(t, { partsOf, isHarmful: (part, now) => part === 'harmful' && now > 10_000, slots: 24, rate: 70, prefill: [1_000, 2_000] }, 5_000)
})

test('a harmful part that is sound again later is served again', (t) => {
  for (const seed of SEEDS) {
    const isHarmful = (part: PromptPart, now: Millis): boolean => part === 'harmful' && now < 30_000
    const fleet = new QuarantineFleet({ ...LOAD, seed, until: 200_000, observed: Infinity, isHarmful, isCounted: (parts) => parts.includes('harmful') }).run()
    const [from, to] = [fleet.now - 2 * LONGEST_REQUEST, fleet.now - LONGEST_REQUEST]
    const [arrived, served] = [fleet.arrived, fleet.served].map((times) => countBetween(times, from, to))
    t.log(`seed ${seed}: ${fleet.crashes.length} crashes, then served ${served} of ${arrived}`)
    t.true(served! >= USUAL_SHARE * arrived!, `seed ${seed}: ${served} of ${arrived}`)
  }
})

/** A part that all requests carry. */
const HOT: Partial<FleetLoad> = {
  isHarmful: () => false,
  until: 60_000,
  partsOf: (random, index) => ['hot', ...soundParts(random, index)]
}

/** Refusals that the fleet may make for nothing: five and one in 500 requests. */
const maxRefusals = ({ arrived }: QuarantineFleet): number => 5 + arrived.length / 500

/** The part that all requests carry is never quarantined. */
const assertHotSpared = (t: ExecutionContext, change: Partial<FleetLoad>): QuarantineFleet[] => SEEDS.map((seed) => {
  const fleet = new QuarantineFleet({ ...LOAD, ...HOT, ...change, seed }).run()
  const hot = fleet.falseQuarantines.get('hot') ?? 0
  t.log(`seed ${seed}: refused ${fleet.refused.length} of ${fleet.arrived.length}, served ${servedShare(fleet, 0).toFixed(3)}, ${longestFalseQuarantine(fleet)}`)
  t.true(hot === 0, `seed ${seed}: quarantined for ${hot} ms`)
  return fleet
})

/** Besides, hardly any request is refused. */
const assertSpared = (t: ExecutionContext, change: Partial<FleetLoad>): void => {
  for (const fleet of assertHotSpared(t, change)) t.true(fleet.refused.length <= maxRefusals(fleet), `${fleet.refused.length} refused`)
}

const EVERY_FIVE_SECONDS = Array.from({ length: 10 }, (_, index) => 5_000 + index * 5_000)

test('a hot part is spared when a share of the engines crashes at once', (t) => {
  for (const share of [0.2, 0.5, 0.9]) {
    const faults = EVERY_FIVE_SECONDS.map((at) => ({ at, run: (fleet: QuarantineFleet) => { fleet.engines.slice(0, share * fleet.engines.length).forEach((engine) => { fleet.crash(engine) }) } }))
    assertSpared(t, { faults })
  }
})

/** Ends the engines one after the other, in turn. */
const endInTurn = (gap: Millis) =>
  Array.from({ length: 40 }, (_, index) => ({ at: 300 + index * gap, run: (fleet: QuarantineFleet) => { fleet.crash(fleet.engines[index % fleet.engines.length]!) } }))

test('a hot part is spared when engines crash one after the other', (t) => {
  assertSpared(t, { faults: endInTurn(1_000) })
})

test('a hot part is spared when all engines crash one after the other before the first is back', (t) => {
  for (const gap of [100, 260, 400]) assertHotSpared(t, { faults: endInTurn(gap) })
})

/** Guards against wrong quarantines that outlast a time in which every engine crashes, since their trials fail too. */
test('hardly any request is refused when all engines crash one after the other before the first is back', (t) => {
  for (const gap of [100, 260, 400]) assertSpared(t, { faults: endInTurn(gap) })
})

test('a hot part is spared when failure domains lose power', (t) => {
  assertSpared(t, { faults: EVERY_FIVE_SECONDS.map((at, index) => losePower(at, index % 3)) })
})

test('a hot part is spared when half of the connections of nodes are reset', (t) => {
  const resets = Array.from({ length: 80 }, (_, index) => ({ at: 500 + index * 300, run: (fleet: QuarantineFleet) => { fleet.resetConnections(fleet.nodes[index % 6]!, 0.5) } }))
  assertSpared(t, { faults: resets })
})

test('a hot part is spared when servers break off answers and live on', (t) => {
  for (const share of [0.02, 0.1, 0.4]) assertSpared(t, { breakOffShare: () => share })
})

test('a hot part is spared when a harmful one is below it', (t) => {
  const below = withHarmful((random, index) => ['harmful', ...soundParts(random, index)])
  assertContained(t, { partsOf: (random, index) => ['hot', ...below(random, index)] }, 3_000)
})
