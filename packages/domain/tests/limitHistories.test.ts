/** Limits of organisations while gossip is late, nodes start, stop and crash, and bounds change. */
import test from 'ava'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'

import { LimitFleet } from './limitFleet.js'
import { seededRandom } from './random.js'

const SEED = 20_261_204
const STEP = 50
const STEPS = 1_200

interface History {
  readonly seed: number
  readonly size: number
  readonly bound: number
  readonly busyNodes: number
  /** Whether nodes start, stop and crash. */
  readonly changesNodes: boolean
  readonly changesBound: boolean
}

/** Returns the first step after which more requests were in progress than allowed; null if there was none. */
const firstExcess = ({ seed, size, bound, busyNodes, changesNodes, changesBound }: History): string | null => {
  const random = seededRandom(seed)
  const fleet = new LimitFleet(random, size, bound)
  const integer = (limit: number): number => Math.floor(random() * limit)
  for (let step = 0; step < STEPS; step++) {
    for (let tries = integer(4); tries > 0; tries--) fleet.request(integer(busyNodes))
    if (changesNodes && random() < 0.01) fleet.start()
    if (changesNodes && random() < 0.005) fleet.crash(integer(size))
    if (changesNodes && random() < 0.005) fleet.stop(integer(size))
    if (changesBound && random() < 0.003) fleet.setBound(1 + integer(2 * bound))
    if (fleet.inProgress > fleet.greatestBound) return `${fleet.inProgress} of ${fleet.greatestBound} after ${step} steps`
    fleet.step(STEP)
  }
  return null
}

const histories = (fixed: Pick<History, 'changesNodes' | 'changesBound'>): fc.Arbitrary<History> => fc.record({
  seed: fc.integer(),
  size: fc.integer({ min: 1, max: 9 }),
  bound: fc.integer({ min: 1, max: 40 }),
  busyNodes: fc.integer({ min: 1, max: 12 }),
  changesNodes: fc.constant(fixed.changesNodes),
  changesBound: fc.constant(fixed.changesBound)
})

const holdsBound = (t: ExecutionContext, fixed: Pick<History, 'changesNodes' | 'changesBound'>): void => {
  t.notThrows(() => fc.assert(fc.property(histories(fixed), (history) => {
    const excess = firstExcess(history)
    if (excess !== null) throw new Error(excess)
  }), { seed: SEED, numRuns: 100, endOnFailure: true }))
}

test('concurrent requests stay within the bound while gossip is up to 2 s late', (t) => {
  holdsBound(t, { changesNodes: false, changesBound: false })
})

test('concurrent requests stay within the bound while nodes start, stop and crash', (t) => {
  holdsBound(t, { changesNodes: true, changesBound: false })
})

test('concurrent requests stay within the earlier or the later bound while it changes', (t) => {
  holdsBound(t, { changesNodes: true, changesBound: true })
})
