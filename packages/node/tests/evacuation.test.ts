/** Failure domains that the operator evacuates: what places, checks and sends attempts, without sockets. */
import test from 'ava'

import { HealthSignal } from '@bluebellhill/domain'
import type { FailureDomain, NodeId, RunnerId } from '@bluebellhill/domain'

import { LONG_HOLD_UP, RunningClock, SETTLING_PERIOD } from '../src/clock/RunningClock.js'
import { FleetState } from '../src/forward/FleetState.js'
import { GROUP_CONTEXT, PlacementRefusal } from '../src/forward/scheduling/types.js'
import { LogLevel, openLog } from '../src/log/index.js'
import { LineCollector } from './forwardFixture.js'
import { D1, D2, D3, domainsOf, LONGEST, NORTH, participants, RestrictedNode, SHORT, SOUTH } from './restrictedNode.js'

const MEDIUM = { prompt: 45_000, mostAnswer: 1_400 }
const LONG = { prompt: 190_000, mostAnswer: 1_400 }

// Load: 54 engines under 56 requests a second of 5,000 to 600,000 tokens for 10 s, with an evacuation after 3 s that ends after 8 s.
test('load: from an evacuation until its end, no attempt has an owner, helper or holder in the failure domain', (t) => {
  let now = 0
  const node = new RestrictedNode(() => now, [18, 18, 18])
  const used: Array<{ readonly at: number, readonly isEvacuatedUsed: boolean }> = []
  for (let number = 1; now < 10_000; number += 1, now += 18) {
    if (now >= 3_000 && now < 3_018) node.evacuate(D1)
    if (now >= 8_000 && now < 8_018) node.evacuate()
    const size = number % 60 === 0 ? LONGEST : number % 25 === 0 ? LONG : number % 9 === 0 ? MEDIUM : SHORT
    const result = node.scheduler.place(node.spec({ size }), { node: 'n1' as NodeId, number }, GROUP_CONTEXT)
    if (result.type === 'placed') used.push({ at: now, isEvacuatedUsed: participants(result.choice).some(({ failureDomain }) => failureDomain === D1) })
    const ended = node.scheduler.assignments.findOwn(number - 60)
    if (ended !== null) node.scheduler.assignments.end(ended, now)
  }
  const within = (from: number, until: number): boolean[] => used.filter(({ at }) => at >= from && at < until).map(({ isEvacuatedUsed }) => isEvacuatedUsed)
  t.true(within(0, 3_000).includes(true))
  t.true(within(3_018, 8_000).length > 200)
  t.false(within(3_018, 8_000).includes(true))
  t.true(within(8_018, 10_000).includes(true))
})

// Guards against the fallback in which all servers are used because the others are avoided.
test('an evacuated server is no last resort while all others are avoided, and none for a retry that has tried them', (t) => {
  const node = new RestrictedNode(undefined, [1, 1, 0])
  node.evacuate(D1)
  const other = node.fleetState.servers.find('d2-0' as RunnerId)!
  for (let failure = 0; failure < 5; failure += 1) node.scheduler.recordHealthSignal(other, HealthSignal.Unreachable)
  t.like(node.scheduler.place(node.spec(), { node: 'n1' as NodeId, number: 1 }, GROUP_CONTEXT), { type: 'placed', choice: { server: { id: 'd2-0' } } })
  const retry = node.spec({ excluded: [other.id], isFirstAttempt: false })
  t.like(node.scheduler.place(retry, { node: 'n1' as NodeId, number: 2 }, GROUP_CONTEXT), { type: 'refused', reason: PlacementRefusal.NoServer })
})

test('a group does not offer the slots of evacuated engines to the others', (t) => {
  const node = new RestrictedNode()
  node.evacuate(D1, D2)
  t.like(node.scheduler.serviceLoads(), [{ slots: 32 }])
})

test('with two failure domains evacuated the third serves; with all, a request is refused at once, with a time to return', async (t) => {
  const node = new RestrictedNode()
  node.evacuate(D1, D2)
  t.deepEqual(domainsOf(await node.place()), [D3])
  node.evacuate(D1, D2, D3)
  node.askScheduler(new RestrictedNode(undefined, undefined, 'n2'))
  const refusal = await node.place()
  t.like(refusal, { type: 'refused', reason: PlacementRefusal.DomainsEvacuated })
  t.true(refusal.type === 'refused' && refusal.retryAfter! >= 1_000)
  t.deepEqual(node.sent, [])
})

test('a failure domain that does not exist is logged and has no effect', async (t) => {
  const node = new RestrictedNode(undefined, [1, 0, 0])
  node.evacuate('nowhere' as FailureDomain)
  t.deepEqual(domainsOf(await node.place()), [D1])
  t.is(node.lines.filter((line) => line.includes('event=evacuation.unknown_domain ') && line.includes('evacuated_domain=nowhere')).length, 1)
})

// Guards against a false line of a node that hears of an evacuation before it has the list of servers, as seed 2 of the soak showed.
test('a failure domain is not called unknown before this node knows any', (t) => {
  const { lines, fleetState } = new RestrictedNode(undefined, [1, 0, 0])
  const restarted = new FleetState(openLog({ node: 'n', failureDomain: D1, level: LogLevel.Info, transport: new LineCollector(lines) }), () => 0)
  restarted.restrictions.reported({ failureDomains: [D1, D2], revision: 1 })
  restarted.expireServers()
  const unknown = (): number => lines.filter((line) => line.includes('event=evacuation.unknown_domain ')).length
  t.is(unknown(), 0)
  restarted.putServer({ server: fleetState.servers.find('d1-0' as RunnerId)!, revision: 1 }, 'store')
  restarted.expireServers()
  t.is(unknown(), 1)
})

// Guards against a scheduler that does not know yet, or is of an earlier build. It chooses d1 for a helper too.
for (const [name, size] of [['the server', SHORT], ['helpers and holders', LONGEST]] as const) {
  test(`a grant with ${name} in a failure domain that this node knows to be evacuated is returned, and another one is used`, async (t) => {
    const node = new RestrictedNode()
    const other = new RestrictedNode(undefined, undefined, 'n2')
    node.askScheduler(other)
    node.evacuate(D1)
    for (let request = 0; request < 3; request += 1) {
      const placement = await node.place(size)
      t.false(domainsOf(placement).includes(D1))
      if (placement.type === 'placed') node.placement.removeAssignment(placement.attempt, null)
    }
    t.true(node.lines.some((line) => line.includes('event=grant.returned ') && line.includes('evacuated=d1')))
  })
}

// Guards against a scheduler of an earlier build that has more evacuated servers than a query can exclude.
test('a node decides itself if its scheduler goes on to choose evacuated servers', async (t) => {
  const engines = [100, 0, 1] as const
  const node = new RestrictedNode(undefined, engines)
  node.askScheduler(new RestrictedNode(undefined, engines, 'n2'))
  node.evacuate(D1)
  t.deepEqual(domainsOf(await node.place()), [D3])
})

// Guards against the time between the grant and the send, in which memory is reserved on other engines.
test('an attempt whose server or helper is evacuated after the grant is not sent', async (t) => {
  const node = new RestrictedNode(undefined, [0, 4, 4])
  const placement = await node.place(LONGEST)
  if (placement.type !== 'placed') throw new Error(placement.reason)
  t.is(node.placement.obstacleTo(placement.attempt), null)
  const { server, helpers } = placement.attempt.choice
  for (const { failureDomain } of [server, ...helpers]) {
    node.evacuate(failureDomain)
    t.regex(String(node.placement.obstacleTo(placement.attempt)), /evacuated/)
  }
})

test('a request with regions reaches only their servers, although the scheduler knows no regions', async (t) => {
  const node = new RestrictedNode()
  t.deepEqual(domainsOf(await node.place(SHORT, [SOUTH])), [D3])
  const other = new RestrictedNode(undefined, undefined, 'n2')
  other.scheduler.place = ((place) => (spec, ...rest) => {
    const { regions, ...unrestricted } = spec
    return place.call(other.scheduler, unrestricted, ...rest)
  })(other.scheduler.place)
  node.askScheduler(other)
  for (let request = 0; request < 4; request += 1) t.deepEqual(domainsOf(await node.place(SHORT, [SOUTH])), [D3])
})

test('a request whose route and organisation have no region in common is refused at once, as is one whose regions are evacuated', async (t) => {
  const node = new RestrictedNode()
  t.like(await node.place(SHORT, []), { type: 'refused', reason: PlacementRefusal.NoServer })
  node.evacuate(D1, D2)
  t.like(await node.place(SHORT, [NORTH]), { type: 'refused', reason: PlacementRefusal.DomainsEvacuated })
  t.deepEqual(domainsOf(await node.place()), [D3])
})

// Guards against a node that was paused while a failure domain was evacuated, and places what has arrived before it hears of that.
test('a node that was held up for seconds uses what it hears at once afterwards before it uses a placement', async (t) => {
  let now = 0
  const clock = new RunningClock(() => now)
  const node = new RestrictedNode(undefined, [4, 1, 0])
  node.settlingTime = () => clock.settlingTime()
  now = LONG_HOLD_UP
  clock.tick()
  const placement = node.place()
  setImmediate(() => {
    node.evacuate(D1)
    now += SETTLING_PERIOD
  })
  t.deepEqual(domainsOf(await placement), [D2])
  t.is(clock.settlingTime(), 0)
})
