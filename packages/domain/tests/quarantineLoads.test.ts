import test from 'ava'

import type { Millis, PromptPart } from '../src/index.js'
import { QuarantineFleet } from './quarantineFleet.js'
import type { FleetLoad } from './quarantineFleet.js'
import { assertContained, countBetween, LOAD, LONGEST_REQUEST, losePower, pick, SEEDS, soundParts, USUAL_SHARE, withHarmful } from './quarantineLoad.js'

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

test('a hot part is spared when a harmful one is below it', (t) => {
  const below = withHarmful((random, index) => ['harmful', ...soundParts(random, index)])
  assertContained(t, { partsOf: (random, index) => ['hot', ...below(random, index)] }, 3_000)
})
