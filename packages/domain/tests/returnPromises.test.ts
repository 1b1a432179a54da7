import test from 'ava'

import { longestReturnTime, memoryDemand, PromptMix, ReturnPromises, RoomForecast } from '../src/index.js'
import type { ExpectedRoom, Millis, PromisedRequest, ReturnPromise, RunnerId } from '../src/index.js'
import { ENGINE_COUNT, LONG_CALL, MEDIUM_CALL, MEMORY_FIGURES, MemoryFleet, SHORT_CALL } from './memoryFleet.js'
import type { RequestSize } from './forwardingFixtures.js'
import { exponentialGap, seededRandom } from './random.js'

const FORECAST = new RoomForecast()
const MEMORY = ENGINE_COUNT * MEMORY_FIGURES.memory
const E0 = 'e0' as RunnerId
const ROOM: ExpectedRoom = { in: 400, shares: new Map([[E0, 190_000]]) }
const REQUEST: PromisedRequest = { identity: 'a', organisation: 'growers', service: 's', demand: 190_000, prefillShare: 0, objective: 3_000, timeLeft: 3_000 }

const promised = (promises: ReturnPromises, now: Millis, changes: Partial<PromisedRequest> = {}, room = ROOM): ReturnPromise | null => promises.promise({ ...REQUEST, ...changes }, room, MEMORY, now)

test('memory is kept from all others until the request returns', (t) => {
  const promises = new ReturnPromises()
  t.is(promised(promises, 0)?.returnAt, 500)
  t.deepEqual(promises.withheld('b', 100), new Map([[E0, { tokens: 190_000, slots: 1 }]]))
  t.is(promises.withheld('a', 100).size, 0)
  t.is(promises.fulfil('a', 600)?.identity, 'a')
  t.is(promises.withheld('b', 600).size, 0)
  t.is(promises.fulfil('a', 600), null)
})

test('a request leaves free what was promised before, and on its own engines not what was promised later', (t) => {
  const promises = new ReturnPromises()
  const e1 = 'e1' as RunnerId
  promised(promises, 0, { identity: 'a' }, { in: 400, shares: new Map([[E0, 1]]) })
  promised(promises, 0, { identity: 'b' }, { in: 400, shares: new Map([[E0, 10], [e1, 20]]) })
  t.deepEqual([...promises.withheld('a', 0).keys()], [e1])
  t.deepEqual([...promises.withheld('b', 0)], [[E0, { tokens: 1, slots: 1 }]])
})

// Guards against a scheduler that was held up for seconds and keeps memory for, or prefers, requests whose time is over.
test('a promise ends half a second after its time, also if nothing was called since', (t) => {
  const promises = new ReturnPromises()
  promised(promises, 0)
  t.is(promises.count(999), 1)
  t.is(promises.fulfil('a', 5_000), null)
  t.is(promises.withheld('b', 5_000).size, 0)
  t.is(promises.expiredCount, 1)
})

// Guards against a caller that keeps memory by sending the same request again and again.
test('misuse: a request that is sent a hundred times before its time has one promise, which does not move', (t) => {
  const promises = new ReturnPromises()
  const first = promised(promises, 0)
  for (let now = 4; now < 500; now += 5) t.is(promised(promises, now), first)
  t.is(promises.count(499), 1)
  t.is(promises.count(1_000), 0)
})

// Guards against one organisation that keeps all memory with requests that differ in one byte.
test('misuse: an organisation with many requests leaves an equal part for the next one, and all together do not exceed the engines', (t) => {
  const promises = new ReturnPromises()
  const made = (organisation: string): number => Array.from({ length: 100 }, (_, index) => promised(promises, 0, { identity: `${organisation}${index}`, organisation })).filter((one) => one !== null).length
  const counts = ['a', 'b', 'c', 'd', 'e'].map(made)
  const engines = Math.floor(MEMORY / REQUEST.demand)
  t.is(counts[0], Math.floor(MEMORY / 2 / REQUEST.demand))
  t.is(counts[1], Math.floor(MEMORY / 3 / REQUEST.demand))
  t.true(counts.reduce((sum, count) => sum + count, 0) <= engines)
})

test('a time after which the caller would not return is not promised', (t) => {
  t.is(longestReturnTime({ objective: 259, timeLeft: 259 }), 2_000 / 3)
  t.is(longestReturnTime({ objective: 6_000, timeLeft: 6_000 }), 3_000)
  t.is(promised(new ReturnPromises(), 0, { objective: 259, timeLeft: 259 }, { ...ROOM, in: 600 }), null)
  t.is(promised(new ReturnPromises(), 0, { objective: 259, timeLeft: -1_700 }), null)
})

const BURST = { from: 2_000, to: 12_000 }
/** Time for a caller's timer, connection and messages, at most. */
const RETURN_DELAY: Millis = 100

/** Callers of one fleet, who return when they are told. */
class Callers {
  readonly mix = new PromptMix()
  readonly promises = new ReturnPromises()
  returned = 0
  served = 0

  constructor (readonly fleet: MemoryFleet, readonly random: () => number) {}

  arrive (kind: string, perSecond: (at: Millis) => number, size: () => RequestSize): void {
    for (let at = 0, index = 0; at < BURST.to; index += 1) {
      at += exponentialGap(this.random, 1_000 / perSecond(at))
      const request: PromisedRequest = { ...REQUEST, identity: `${kind}${index}`, organisation: `o${index % 8}` }
      this.fleet.scheduler.schedule(at, () => { this.call(request, size(), false) })
    }
  }

  call (caller: PromisedRequest, size: RequestSize, isReturn: boolean): void {
    const { fleet, fleet: { now }, promises, mix } = this
    const request = fleet.request(size, { loads: fleet.assignments.serverLoads(now).withholding(promises.withheld(caller.identity, now)) })
    const choice = fleet.policy.choose(request)
    if (isReturn) this.returned += 1
    if (choice !== null) {
      const { assignment } = fleet.run(size, choice, now)
      promises.fulfil(caller.identity, now)
      mix.record(assignment.prefillTime, assignment.helpers.length + 1, now)
      if (isReturn) this.served += 1
      return
    }
    const returnAt = this.promisedTime(caller, size, FORECAST.findRoom(request))
    if (returnAt !== null) fleet.scheduler.schedule(returnAt + this.random() * RETURN_DELAY, () => { this.call(caller, size, true) })
  }

  promisedTime (caller: PromisedRequest, size: RequestSize, room: ExpectedRoom | null): Millis | null {
    const { fleet: { now }, promises, mix } = this
    const demand = memoryDemand(this.fleet.request(size))
    const request = { ...caller, demand, prefillShare: mix.prefillShare(ENGINE_COUNT, now), objective: size.objective, timeLeft: size.objective }
    return room === null ? null : promises.promise(request, room, MEMORY, now)?.returnAt ?? null
  }
}

const runBurst = (seed: number): Callers => {
  const random = seededRandom(seed)
  // The first numbers of a small seed are close to 1, which would delay the first arrival by many mean gaps.
  for (let skipped = 0; skipped < 20; skipped += 1) random()
  const callers = new Callers(new MemoryFleet(), random)
  callers.arrive('short', () => 55, () => SHORT_CALL)
  callers.arrive('medium', () => 3.8, () => MEDIUM_CALL)
  callers.arrive('long', (at) => 2.3 * (at < BURST.from ? 1 : 2.6), () => ({ ...LONG_CALL, objective: 3_000, prompt: Math.min(600_000, 60_000 + exponentialGap(random, 130_000)) }))
  callers.fleet.scheduler.run()
  return callers
}

test('load: of the requests that return when told, in a burst of long prompts at 2.6 times their rate beside 55 short ones a second, nine of ten are served', (t) => {
  const runs = Array.from({ length: 30 }, (_, seed) => runBurst(seed + 1))
  const [returned, served] = [runs.reduce((sum, run) => sum + run.returned, 0), runs.reduce((sum, run) => sum + run.served, 0)]
  t.log(`${served} of ${returned} returns served`)
  t.true(returned > 100 && served >= 0.9 * returned)
})
