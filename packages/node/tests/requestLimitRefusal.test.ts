/** Refusals because of request limits, on a clock that moves while the scheduler decides. */
import test from 'ava'

import { Readiness } from '@bluebellhill/domain'
import type { FailureDomain, Millis, NodeId, RunnerId } from '@bluebellhill/domain'

import { FleetState } from '../src/forward/FleetState.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import { GROUP_CONTEXT, PlacementRefusal } from '../src/forward/scheduling/types.js'
import type { PlacementSpec } from '../src/forward/scheduling/types.js'
import { DEPLOYMENT, silentLog } from './forwardFixture.js'

const NODE = 'n0' as NodeId
const SERVER = 's1' as RunnerId
const REQUESTS_PER_SECOND = 2

/** Longer than the server's quota takes to allow one request more. */
const HOLD_UP: Millis = 1_000

const SPEC: PlacementSpec = {
  request: 'r1', service: 's', size: { prompt: 0, mostAnswer: 0 }, objective: 300, dueAt: 300, pauseObjective: null, excluded: [], allowed: null, chargesRetry: false, isRedirected: false, isFirstAttempt: false, isSuspected: false, trialParts: []
}

// Guards against a refusal without the time to return, and so a request that is lost instead of waiting, if quota gets free during a decision.
test('a decision that is held up until quota is free again still names the limit that decided it', (t) => {
  let now = 10_000
  let readsBeforeHoldUp = Infinity
  const clock = (): Millis => {
    if (readsBeforeHoldUp === 0) now += HOLD_UP
    readsBeforeHoldUp -= 1
    return now
  }
  const fleetState = new FleetState(silentLog(), clock)
  fleetState.install(DEPLOYMENT, 'store')
  fleetState.putServer({ server: { id: SERVER, service: 's', address: '10.0.0.1:80', failureDomain: 'd1' as FailureDomain, slots: 1, readiness: Readiness.Ready, startedAt: null }, revision: 1 }, 'store')
  const scheduler = new Scheduler({ node: NODE, fleetState, log: silentLog(), clock, runningClock: clock, retryBounds: () => ({ ratio: 0, slack: 0, window: 1_000 }), schedulerCount: () => 1, group: () => ({ domain: null }) })
  scheduler.statements.record({ server: SERVER, startedAt: null, requestLimit: REQUESTS_PER_SECOND, isLeaving: false, heardAt: now, heardBy: NODE })
  let number = 1
  const place = (): ReturnType<Scheduler['place']> => scheduler.place(SPEC, { node: NODE, number: number++ }, GROUP_CONTEXT)
  while (place().type === 'placed') t.true(number < 10)
  readsBeforeHoldUp = 2
  t.like(place(), { type: 'refused', reason: PlacementRefusal.RequestLimit, notice: { requestLimit: REQUESTS_PER_SECOND } })
})
