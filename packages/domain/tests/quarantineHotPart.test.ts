import test from 'ava'
import type { ExecutionContext } from 'ava'

import type { Millis } from '../src/index.js'
import { QuarantineFleet } from './quarantineFleet.js'
import type { FleetLoad } from './quarantineFleet.js'
import { LOAD, longestFalseQuarantine, losePower, SEEDS, servedShare, soundParts } from './quarantineLoad.js'

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
