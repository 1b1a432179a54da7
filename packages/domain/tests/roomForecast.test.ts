import test from 'ava'
import fc from 'fast-check'

import { isMemoryBound, RoomForecast } from '../src/index.js'
import type { Millis } from '../src/index.js'
import { FIGURES } from './forwardingFixtures.js'
import { ENGINE_COUNT, LONG_CALL, MEDIUM_CALL, MEMORY_FIGURES, MemoryFleet, SHORT_CALL } from './memoryFleet.js'
import { percentile, seededRandom } from './random.js'

const FORECAST = new RoomForecast()
const SEED = 41

/** The same requests on a few engines, from the first one on; `ran` is how long they have run. */
const smallFleet = (loads: ReadonlyArray<readonly [number, number]>, ran: Millis): MemoryFleet => {
  const fleet = new MemoryFleet()
  for (const [kind, engine] of loads) fleet.placeOn([SHORT_CALL, MEDIUM_CALL, { ...MEDIUM_CALL, prompt: 120_000 }][kind]!, `e${engine}`)
  fleet.scheduler.run(ran)
  fleet.scheduler.now = ran
  return fleet
}
const FEW = 3
const few = (fleet: MemoryFleet) => fleet.servers.slice(0, FEW).map((one) => ({ server: one, slowdown: 1 }))
const timeUntil = (fleet: MemoryFleet, prompt: number): Millis | null =>
  FORECAST.timeUntilRoom(fleet.request({ ...LONG_CALL, prompt }, { candidates: few(fleet) }))
const anyLoad = fc.array(fc.tuple(fc.nat({ max: 2 }), fc.nat({ max: FEW - 1 })), { maxLength: 30 })
const anyPrompt = fc.integer({ min: 1_000, max: 700_000 })

test('a service is memory-bound if usual requests in all slots take more than half of the memory', (t) => {
  t.true(isMemoryBound(MEMORY_FIGURES))
  t.false(isMemoryBound({ ...MEMORY_FIGURES, usualPrompt: 10_900 }))
  t.false(isMemoryBound(FIGURES))
})

test('the forecast is 0 exactly for requests that can be placed, and null for those larger than the engines together', (t) => {
  fc.assert(fc.property(anyLoad, anyPrompt, (loads, prompt) => {
    const fleet = smallFleet(loads, 100)
    const request = fleet.request({ ...LONG_CALL, prompt }, { candidates: few(fleet) })
    return (FORECAST.timeUntilRoom(request) === 0) === (fleet.policy.choose(request) !== null)
  }), { seed: SEED })
  t.is(timeUntil(smallFleet([], 0), 700_000), null)
})

test('more load never gives an earlier forecast', (t) => {
  t.notThrows(() => {
    fc.assert(fc.property(anyLoad, anyLoad, anyPrompt, (loads, more, prompt) => {
      const before = timeUntil(smallFleet(loads, 0), prompt) ?? Infinity
      return (timeUntil(smallFleet([...loads, ...more], 0), prompt) ?? Infinity) >= before
    }), { seed: SEED })
  })
})

test('time that passes without an event never makes the forecast longer', (t) => {
  t.notThrows(() => {
    fc.assert(fc.property(anyLoad, anyPrompt, fc.integer({ min: 1, max: 2_000 }), (loads, prompt, passed) => {
      const fleet = smallFleet(loads, 0)
      const before = timeUntil(fleet, prompt) ?? Infinity
      fleet.scheduler.now = passed
      return (timeUntil(fleet, prompt) ?? Infinity) <= before
    }), { seed: SEED })
  })
})

test('load: on 54 engines full of short and medium prompts, room for a prompt of 190,000 tokens is predicted to within a quarter', (t) => {
  const errors: number[] = []
  for (let seed = 1; seed <= 20; seed += 1) {
    const random = seededRandom(seed)
    const fleet = new MemoryFleet()
    // Requests arrive within the last 1.5 s and fill the memory, so that prefills and answers are at all stages.
    for (let index = 0; index < ENGINE_COUNT * 14; index += 1) {
      const size = random() < 0.5 ? SHORT_CALL : { ...MEDIUM_CALL, prompt: 20_000 + random() * 30_000 }
      const server = fleet.servers[index % ENGINE_COUNT]!
      fleet.scheduler.schedule(random() * 1_500, () => {
        if (fleet.policy.choose(fleet.request(size, { candidates: [{ server, slowdown: 1 }] })) !== null) fleet.placeOn(size, server.id)
      })
    }
    fleet.scheduler.run(1_500)
    fleet.scheduler.now = 1_500
    const predicted = FORECAST.timeUntilRoom(fleet.request(LONG_CALL))
    let actual: Millis | null = null
    fleet.onEnd.push(() => { if (actual === null && fleet.policy.choose(fleet.request(LONG_CALL)) !== null) actual = fleet.now - 1_500 })
    if (predicted === 0) continue
    fleet.scheduler.run()
    errors.push(Math.abs((predicted ?? Infinity) - (actual ?? Infinity)) / (actual ?? 1))
  }
  t.log(`${errors.length} forecasts, relative error p50 ${percentile(errors, 0.5).toFixed(3)}, p90 ${percentile(errors, 0.9).toFixed(3)}, max ${Math.max(...errors).toFixed(3)}`)
  t.is(errors.length, 20)
  t.true(percentile(errors, 0.9) < 0.25)
})
