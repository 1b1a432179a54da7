import test from 'ava'

import { AttemptHistory, HealthSignal, HedgeRefusal, SchedulerDirectory } from '@bluebellhill/domain'
import type { BackendServer, FailureDomain, NodeId, RunnerId } from '@bluebellhill/domain'

import type { AdmittedCall } from '../src/forward/AdmittedCall.js'
import { FleetState } from '../src/forward/FleetState.js'
import { decodeReply, encodeReply } from '../src/forward/peers/datagramCodec.js'
import { PlacementClient } from '../src/forward/scheduling/PlacementClient.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import { GROUP_CONTEXT, NO_CAUTION, PlacementRefusal } from '../src/forward/scheduling/types.js'
import type { AttemptPlacement, FinalPlacement, PlacementResult, PlacementSpec } from '../src/forward/scheduling/types.js'
import { DEPLOYMENT, silentLog } from './forwardFixture.js'

const NODE = 'n1' as NodeId
const OTHER_DOMAIN = 'd2' as FailureDomain

const HEDGE: PlacementSpec = {
  request: 'r1', service: 's', size: { prompt: 0, mostAnswer: 0 }, objective: 251, dueAt: 251, pauseObjective: null, excluded: ['e0' as RunnerId], allowed: null, chargesRetry: true, isRedirected: false, isFirstAttempt: false, isHedge: true, ...NO_CAUTION
}

/** A scheduler of two servers with a virtual clock, whose requests all may be hedged. */
class HedgeFixture {
  now = 0
  maxRatio: number | null = 1
  readonly fleetState = new FleetState(silentLog(), () => this.now)
  readonly scheduler = new Scheduler({
    node: NODE, fleetState: this.fleetState, log: silentLog(), clock: () => this.now, runningClock: () => this.now, retryBounds: () => ({ ratio: 0, slack: 0, window: 10_000 }), hedgeRatio: () => this.maxRatio, schedulerCount: () => 1, group: () => ({ domain: null })
  })

  #number = 0

  constructor () {
    this.fleetState.install(DEPLOYMENT, 'store')
    this.put('e0', {})
    this.put('e1', { failureDomain: OTHER_DOMAIN })
    for (let request = 0; request < 3; request += 1) this.scheduler.hedges.countRequest('s')
  }

  put (id: string, changes: Partial<BackendServer>): void {
    const server = { id: id as RunnerId, service: 's', address: `10.0.0.1:${id.slice(1)}`, failureDomain: 'd1' as FailureDomain, slots: 4, readiness: 'ready' as const, startedAt: 1, ...changes }
    this.fleetState.putServer({ server, revision: this.fleetState.serversRevision + 1 }, 'store')
  }

  place (changes: Partial<PlacementSpec> = {}): PlacementResult {
    this.#number += 1
    return this.scheduler.place({ ...HEDGE, ...changes }, { node: 'n2' as NodeId, number: this.#number }, GROUP_CONTEXT)
  }

  /** Lets the server e1 be cold, with 26 requests a second until it is warm. */
  coolDown (): void {
    this.fleetState.install({ ...DEPLOYMENT, version: DEPLOYMENT.version + 1, services: DEPLOYMENT.services.map((service) => ({ ...service, warmUp: { period: 3_000, requestsPerSecond: 26 } })) }, 'store')
    this.scheduler.statements.coldServers.stated(this.fleetState.servers.find('e1' as RunnerId)!, 3_000, 'r0')
  }

  /** Evacuates the failure domain of all servers but e0. */
  evacuate (): void {
    this.fleetState.restrictions.listed({ failureDomains: [OTHER_DOMAIN], revision: 100 })
  }

  /** Asks for a hedge as a node does. */
  async ask (): Promise<AttemptPlacement> {
    const clock = (): number => this.now
    const directory = new SchedulerDirectory({ node: NODE, address: '127.0.0.1:1', failureDomain: 'd1' as FailureDomain, processor: 1 }, 0)
    const placement = new PlacementClient({ node: NODE, scheduler: this.scheduler, directory, fleetState: this.fleetState, log: silentLog(), clock, runningClock: clock, send: () => {}, onUncoordinatedPlacement: () => {}, onNotice: () => {} })
    const route = DEPLOYMENT.routes[0]!
    const history = new AttemptHistory(route)
    history.start('e0' as RunnerId)
    const call = { id: 'r1', route, service: DEPLOYMENT.services[0]!, size: HEDGE.size, dueAt: 251 } as AdmittedCall
    const result = await placement.place(call, history, true, NO_CAUTION, { mayWait: false, isHedge: true })
    placement.dispose()
    return result
  }

  reasonFor (changes: Partial<PlacementSpec> = {}): string | null {
    const result = this.place(changes)
    return result.type === 'refused' ? result.reason : null
  }
}

test('a hedge goes to another server, and takes from the retry budget too', (t) => {
  const fixture = new HedgeFixture()
  const result = fixture.place()
  t.is(result.type === 'placed' ? result.choice.server.id : null, 'e1' as RunnerId)
  t.like(decodeReply(encodeReply(1, result, 0), 's', () => null, 0), { type: 'placed', isHedge: true })
  t.is(fixture.reasonFor(), PlacementRefusal.RetryBudgetSpent)
})

// Each of these would send a hedge where it is late too, or where it may do harm.
const OBSTACLES: ReadonlyArray<readonly [string, HedgeRefusal, (fixture: HedgeFixture, spec: { isSuspected: boolean }) => void]> = [
  ['to a server that is avoided', HedgeRefusal.NoServer, ({ scheduler, fleetState }) => { scheduler.recordHealthSignal(fleetState.servers.find('e1' as RunnerId)!, HealthSignal.Faulty) }],
  ['to a server that is draining', HedgeRefusal.NoServer, (fixture) => { fixture.put('e1', { readiness: 'draining' }) }],
  ['to a server that has stated that it leaves', HedgeRefusal.NoServer, ({ scheduler }) => { scheduler.statements.record({ server: 'e1' as RunnerId, startedAt: 1, requestLimit: null, isLeaving: true, heardAt: 0, heardBy: NODE }) }],
  ['to a cold server, even within its limit', HedgeRefusal.NoServer, (fixture) => { fixture.coolDown() }],
  ['to an evacuated server', HedgeRefusal.NoServer, (fixture) => { fixture.evacuate() }],
  ['to a server without a free slot', HedgeRefusal.NoServer, (fixture) => { fixture.put('e1', { slots: 0 }) }],
  ['where the scheduler has no limit', HedgeRefusal.Off, (fixture) => { fixture.maxRatio = null }],
  ['of a request that may crash servers', HedgeRefusal.Suspected, (_, spec) => { spec.isSuspected = true }]
]

for (const [name, reason, prepare] of OBSTACLES) {
  test(`no hedge is sent ${name}`, (t) => {
    const fixture = new HedgeFixture()
    const spec = { isSuspected: false }
    prepare(fixture, spec)
    t.is(fixture.reasonFor(spec), reason)
  })
}

test('the scheduler learns from the attempts of all nodes when one is late, and says so with the next ones', (t) => {
  const fixture = new HedgeFixture()
  const first = { isHedge: false, isFirstAttempt: true, chargesRetry: false, excluded: [] }
  for (let number = 1; number <= 10; number += 1) {
    const result = fixture.place(first)
    t.false(result.type === 'placed' && 'hedgeAfter' in result)
    fixture.now += 40
    fixture.scheduler.applyReports('n2' as NodeId, [{ number, isEnded: true, server: 'e0' as RunnerId, signal: HealthSignal.Good, slowdown: null }])
  }
  fixture.now += 250
  const result = fixture.place(first)
  t.like(decodeReply(encodeReply(11, result, 0), 's', () => null, 0), { type: 'placed', hedgeAfter: 40 })
})

// Guards against hedges beyond the operator's limit through a scheduler of an earlier build, which places them like retries.
test('a hedge that its scheduler has not bounded is not sent', async (t) => {
  const fixture = new HedgeFixture()
  const { scheduler } = fixture
  const place = scheduler.place.bind(scheduler)
  scheduler.place = (...args) => {
    const { isHedge, ...rest } = place(...args) as PlacementResult & { isHedge?: boolean }
    return rest as FinalPlacement
  }
  t.like(await fixture.ask(), { type: 'refused', reason: HedgeRefusal.Off })
  t.deepEqual(scheduler.assignments.own(), [])
})

test('a cold server within its limit gets no hedge, but a first attempt', (t) => {
  const fixture = new HedgeFixture()
  fixture.coolDown()
  t.is(fixture.reasonFor(), HedgeRefusal.NoServer)
  t.like(fixture.place({ isHedge: false, isFirstAttempt: true, chargesRetry: false }), { type: 'placed', choice: { server: { id: 'e1' } } })
})

// Guards against a grant of a scheduler that does not know yet what the sending node knows.
for (const [name, change] of [['cold', (fixture: HedgeFixture) => fixture.coolDown()], ['evacuated', (fixture: HedgeFixture) => fixture.evacuate()]] as const) {
  test(`a hedge whose server was ${name} by the time of its grant is returned`, async (t) => {
    const fixture = new HedgeFixture()
    const { scheduler } = fixture
    const place = scheduler.place.bind(scheduler)
    let grants = 0
    scheduler.place = (...args) => {
      const result = place(...args)
      if (result.type === 'placed') grants += 1
      change(fixture)
      return result
    }
    t.like(await fixture.ask(), { type: 'refused', reason: HedgeRefusal.NoServer })
    t.is(grants, 1)
    t.deepEqual(scheduler.assignments.own(), [])
  })
}

test('the free slots of evacuated servers do not make the load of a service look low', (t) => {
  const fixture = new HedgeFixture()
  fixture.put('e1', {})
  fixture.put('e2', { failureDomain: OTHER_DOMAIN, slots: 40 })
  fixture.evacuate()
  for (let request = 0; request < 4; request += 1) fixture.place({ isHedge: false, isFirstAttempt: true, chargesRetry: false, excluded: [] })
  t.is(fixture.reasonFor(), HedgeRefusal.Load)
})
