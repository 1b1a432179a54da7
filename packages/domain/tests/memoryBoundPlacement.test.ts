import test from 'ava'

import { EngineState, EngineTimingModel } from '../src/index.js'
import { ENGINE_COUNT, LONG_CALL, MEMORY_FIGURES, MEMORY_TIMING, MemoryFleet, SHORT_CALL } from './memoryFleet.js'
import { seededRandom } from './random.js'

const freeMemory = (fleet: MemoryFleet): number[] => fleet.servers.map((server) =>
  new EngineState({ server, slowdown: 1 }, fleet.assignments.serverLoads(fleet.now).get(server.id), MEMORY_TIMING, fleet.now, 0).freeMemory)

/** Every engine has 30,000 to 60,000 tokens in use by short prompts, in 5 to 7 of its slots. */
const fleetWithShortPrompts = (random: () => number): MemoryFleet => {
  const fleet = new MemoryFleet()
  for (const { id } of fleet.servers) {
    const count = 5 + Math.floor(random() * 3)
    const prompt = (30_000 + random() * 30_000) / count - SHORT_CALL.answer
    for (let index = 0; index < count; index += 1) fleet.placeOn({ ...SHORT_CALL, prompt }, id)
  }
  return fleet
}

test('load: 13 prompts of 139,000 to 190,000 tokens within 2 s find room on 54 engines that all have short prompts', (t) => {
  for (let seed = 1; seed <= 5; seed += 1) {
    const random = seededRandom(seed)
    const fleet = fleetWithShortPrompts(random)
    const figuresUnstated = new EngineTimingModel({ ...MEMORY_FIGURES, usualPrompt: undefined })
    t.is(fleet.policy.choose(fleet.request({ ...LONG_CALL, prompt: 139_000 }, { timing: figuresUnstated })), null)
    for (let index = 0; index < 13; index += 1) {
      fleet.scheduler.run(index * 150)
      const call = fleet.place({ ...LONG_CALL, prompt: 139_000 + Math.floor(random() * 51_000) })
      t.true((call?.choice.holders.length ?? 0) > 0 || fleet.now > 1_000, `seed ${seed}, prompt ${index}`)
      t.truthy(call)
      t.true(Math.min(...freeMemory(fleet)) >= 0)
    }
    fleet.scheduler.run()
    const long = fleet.calls.filter(({ size }) => size.prompt >= 139_000)
    t.true(long.every(({ firstEventAt, arrivedAt, size }) => firstEventAt !== null && firstEventAt - arrivedAt <= size.objective))
  }
})

test('a holder is the engine with the least memory that suffices, so that the next long prompt finds as much as before', (t) => {
  const fleet = new MemoryFleet()
  fleet.servers.forEach(({ id }, index) => { fleet.placeOn({ ...SHORT_CALL, prompt: index < 2 ? 30_000 : index < 4 ? 90_000 : 160_000 }, id) })
  const choices = [0, 1].map(() => fleet.place(LONG_CALL)?.choice)
  t.deepEqual(choices.map((choice) => choice?.server.id as string).sort(), ['e0', 'e1'])
  t.deepEqual(choices.flatMap((choice) => choice?.holders.map(({ server }) => server.id as string)).sort(), ['e2', 'e3'])
})

test('a prompt is not divided over holders while an engine has the memory', (t) => {
  const fleet = new MemoryFleet()
  for (let index = 1; index < ENGINE_COUNT; index += 1) fleet.placeOn(SHORT_CALL, `e${index}`)
  const choice = fleet.place(LONG_CALL)?.choice
  t.is(choice?.server.id as string, 'e0')
  t.deepEqual(choice?.holders, [])
})

// Guards against short prompts that are spread over many engines while all slots are taken: on a burst of short prompts half of them were late.
test('load: a burst of short prompts that fills all slots waits for slots, and is not divided over holders', (t) => {
  const fleet = new MemoryFleet()
  for (const { id, slots } of fleet.servers.slice(12)) for (let index = 0; index < slots + 3; index += 1) fleet.placeOn(SHORT_CALL, id)
  for (const { id } of fleet.servers.slice(0, 12)) fleet.placeOn({ ...SHORT_CALL, prompt: 160_000 }, id)
  const choices = [5_000, 8_500, 20_000].map((prompt) => fleet.place({ ...SHORT_CALL, prompt })?.choice)
  t.deepEqual(choices.map((choice) => choice?.holders), [[], [], []])
})
