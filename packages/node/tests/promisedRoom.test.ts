/** Promises of memory to requests that were refused for want of it, on a clock that a test moves. */
import test from 'ava'

import { Readiness } from '@bluebellhill/domain'
import type { FailureDomain, Millis, NodeId, RunnerId } from '@bluebellhill/domain'

import { FleetState } from '../src/forward/FleetState.js'
import { decodeReply, encodeReply } from '../src/forward/peers/datagramCodec.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import { PlacementRefusal } from '../src/forward/scheduling/types.js'
import type { PlacementResult, PlacementSpec } from '../src/forward/scheduling/types.js'
import { DEPLOYMENT, silentLog } from './forwardFixture.js'

const NODE = 'n0' as NodeId
const ENGINE = { slots: 8, memory: 197_200, stepsPerPass: 48, step: 1.02, stepPerWriter: 0.007, stepPerThousandContext: 0.0025, readTokensPerMs: 206, readPerMillionPairs: 0.138, usualPrompt: 15_900, usualAnswer: 1_400 }
const LONG = { prompt: 190_000, mostAnswer: 1_400 }

/** A scheduler of two engines, each of which decodes a long prompt that ends within a second. */
class BusyScheduler {
  now: Millis = 10_000
  readonly scheduler: Scheduler
  readonly delivered: Array<[string, string]> = []
  #number = 100

  constructor () {
    const clock = (): Millis => this.now
    const fleetState = new FleetState(silentLog(), clock)
    fleetState.install({ ...DEPLOYMENT, services: [{ name: 's', healthPath: '/', maxConnections: 100, engine: ENGINE }] }, 'store')
    for (const id of ['e0', 'e1']) {
      fleetState.putServer({ server: { id: id as RunnerId, service: 's', address: '10.0.0.1:80', failureDomain: 'd1' as FailureDomain, slots: 8, readiness: Readiness.Ready, startedAt: null }, revision: 1 }, 'store')
    }
    this.scheduler = new Scheduler({ node: NODE, fleetState, log: silentLog(), clock, runningClock: clock, retryBounds: () => ({ ratio: 0, slack: 0, window: 1_000 }), schedulerCount: () => 1, group: () => ({ domain: null }), setTimer: () => {} })
    for (const number of [1, 2]) this.place({}, number)
    this.now += 5_000
    for (const number of [1, 2]) this.scheduler.assignments.markPrefilled(this.scheduler.assignments.findOwn(number)!, this.now)
    this.now += 1_000
  }

  place (changes: Partial<PlacementSpec> = {}, number = this.#number++): PlacementResult {
    const spec = {
      request: `r${number}`, service: 's', size: LONG, objective: 6_000, dueAt: this.now + 6_000, pauseObjective: 1_000, excluded: [], allowed: null, chargesRetry: false, isRedirected: false, isFirstAttempt: true, isSuspected: false, trialParts: [], ...changes
    }
    return this.scheduler.admission.place(spec, { node: NODE, number }, { startedAt: 0, deliver: (result) => this.delivered.push([spec.request, result.type]) })
  }

  end (number: number): void {
    this.scheduler.assignments.end(this.scheduler.assignments.findOwn(number)!, this.now)
  }

  /** Refuses a request with a promise, and lets the time pass until it returns. */
  promise (identity: string): Millis {
    const refusal = this.place({ identity })
    if (refusal.type !== 'refused' || refusal.isPromised !== true) throw new Error('no promise')
    return refusal.retryAfter!
  }
}

test('a refusal for want of memory names the time, and the memory is there for the request that returns, but for no other', (t) => {
  const busy = new BusyScheduler()
  const first = busy.place({ identity: 'a' })
  t.like(first, { type: 'refused', reason: PlacementRefusal.NoRoom, isPromised: true })
  const retryAfter = first.type === 'refused' ? first.retryAfter! : 0
  t.true(retryAfter > 100 && retryAfter < 2_000)
  t.like(decodeReply(encodeReply(1, first, 0), 's', () => null, 0), { isPromised: true, retryAfter: Math.round(retryAfter) })
  busy.now += retryAfter
  busy.end(1)
  t.is(busy.place({ identity: 'b' }).type, 'refused')
  t.is(busy.place().type, 'refused')
  t.is(busy.place({ identity: 'a' }).type, 'placed')
  t.like(busy.scheduler.promisedRoom.counts(busy.now), { made: 1, kept: 1, pending: 0 })
})

test('a short prompt is placed beside memory that is kept for a long one', (t) => {
  const busy = new BusyScheduler()
  busy.promise('a')
  busy.end(1)
  busy.end(2)
  t.is(busy.place({ size: { prompt: 5_000, mostAnswer: 1_400 }, objective: 259, dueAt: busy.now + 259 }).type, 'placed')
  t.is(busy.place({ identity: 'a' }).type, 'placed')
})

// Guards against a request that came in time being refused a second time, because others that wait got the first memory.
test('a request that returns before its memory is free waits before more urgent ones', (t) => {
  const busy = new BusyScheduler()
  busy.promise('a')
  t.is(busy.place({ request: 'urgent', urgency: 0, acceptsQueueing: true }).type, 'queued')
  t.is(busy.place({ request: 'returned', identity: 'a', urgency: 9, acceptsQueueing: true }).type, 'queued')
  // The engine on which nothing is kept becomes free first.
  busy.end(2)
  busy.now += 100
  busy.scheduler.admission.roomFreed()
  busy.place({ size: { prompt: 100, mostAnswer: 1 } })
  t.deepEqual(busy.delivered, [['returned', 'placed']])
  t.is(busy.scheduler.promisedRoom.counts(busy.now).kept, 1)
})

// Guards against a process that was paused and acts on a promise that has run out meanwhile.
test('a scheduler that was held up for seconds keeps no memory for promises that have run out', (t) => {
  const busy = new BusyScheduler()
  busy.now += busy.promise('a')
  busy.end(1)
  busy.now += 4_000
  t.is(busy.place({ identity: 'b' }).type, 'placed')
  t.like(busy.scheduler.promisedRoom.counts(busy.now), { kept: 0, pending: 0, expired: 1 })
})

test('a request whose promise was lost with its scheduler is placed like any other', (t) => {
  new BusyScheduler().promise('a')
  const next = new BusyScheduler()
  next.end(1)
  t.is(next.place({ identity: 'a' }).type, 'placed')
  t.is(next.scheduler.promisedRoom.counts(next.now).kept, 0)
})

test('nothing is promised to a repeated attempt, to one without an identity, or for a service that is not memory-bound', (t) => {
  const busy = new BusyScheduler()
  for (const changes of [{ identity: 'a', isFirstAttempt: false }, { identity: 'b', isRedirected: true }, {}]) {
    const refusal = busy.place(changes)
    t.true(refusal.type === 'refused' && refusal.retryAfter !== null && refusal.isPromised === undefined)
  }
  // The refusal of a hedge never reaches a caller.
  const hedge = busy.place({ identity: 'c', isHedge: true })
  t.true(hedge.type === 'refused' && hedge.isPromised === undefined)
  t.like(busy.place({ identity: 'd', size: { prompt: 900_000, mostAnswer: 1 } }), { reason: PlacementRefusal.NoRoom, retryAfter: null })
  t.is(busy.scheduler.promisedRoom.counts(busy.now).made, 0)
})
