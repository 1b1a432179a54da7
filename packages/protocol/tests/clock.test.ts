import test from 'ava'
import fc from 'fast-check'

import { HybridClock, counterOf, stampOf, wallOf } from '../src/index.js'
import { historyOf, runHistory } from './causalHistory.js'

const MAX_DRIFT = 60_000

test('a cause has the smaller stamp, with skewed and stepping clocks', (t) => {
  fc.assert(fc.property(historyOf(5_000), (history) => {
    const events = runHistory(history, MAX_DRIFT * 10)
    return events.every((event) => event.causes.every((cause) => events[cause]!.stamp < event.stamp))
  }), { seed: 601, numRuns: 2_000 })
  t.pass()
})

test('a peer with a bad clock cannot carry the others with it', (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 1e12 }), fc.array(fc.integer({ min: 0, max: 1e13 }), { maxLength: 50 }), (wall, ahead) => {
    const clock = new HybridClock(() => wall, MAX_DRIFT)
    for (const distance of ahead) {
      const { stamp, followed } = clock.receive(stampOf(wall + distance))
      if (followed !== (distance <= MAX_DRIFT)) return false
      if (wallOf(stamp) > wall + MAX_DRIFT) return false
    }
    return clock.rejected === ahead.filter((distance) => distance > MAX_DRIFT).length
  }), { seed: 602, numRuns: 1_000 })
  t.pass()
})

test('a stamp keeps wall time and counter apart within 64 bits', (t) => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 2 ** 48 - 1 }), fc.integer({ min: 0, max: 2 ** 16 - 1 }), (wall, counter) => {
    const stamp = stampOf(wall, counter)
    return wallOf(stamp) === wall && counterOf(stamp) === counter && BigInt.asUintN(64, stamp) === stamp
  }), { seed: 603, numRuns: 1_000 })
  t.pass()
})

test('a full counter carries into the wall time', (t) => {
  const clock = new HybridClock(() => 1_000, MAX_DRIFT)
  let last = clock.now()
  for (let event = 0; event < 70_000; event += 1) {
    const stamp = clock.now()
    if (stamp <= last) t.fail()
    last = stamp
  }
  t.is(wallOf(last), 1_001)
})
