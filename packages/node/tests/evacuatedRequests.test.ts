/** Requests of callers while failure domains are evacuated, and which nodes and regions they may reach. */
import { once } from 'node:events'
import type { IncomingMessage } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

import test from 'ava'

import { RouteTable, SchedulerDirectory } from '@bluebellhill/domain'
import type { FailureDomain, NodeId, Region, RunnerId, SchedulerCandidate } from '@bluebellhill/domain'
import { HeaderName } from '@bluebellhill/platform'

import { admit } from '../src/forward/entry/admit.js'
import type { AcceptedHead } from '../src/forward/entry/admit.js'
import { FleetState } from '../src/forward/FleetState.js'
import { RelayPeers } from '../src/forward/relay/RelayPeers.js'
import { DEPLOYMENT, ForwardFixture, signedHeaders, silentLog } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'
import { until } from './quarantineFixture.js'
import { D1, D2, D3, NORTH, SOUTH } from './restrictedNode.js'
import { refusingPorts } from './unreachablePorts.js'

const answering: Script = (request, response) => { response.writeHead(200, signedHeaders(request)).end('an answer') }

const evacuate = ({ fleetState }: ForwardFixture, revision: number, ...failureDomains: FailureDomain[]): void => fleetState.restrictions.listed({ failureDomains, revision })

const moveServer = ({ fleetState }: ForwardFixture, id: string, failureDomain: FailureDomain): void => {
  const server = fleetState.servers.find(id as RunnerId)!
  fleetState.putServer({ server: { ...server, failureDomain }, revision: fleetState.serversRevision + 1 }, 'store')
}

test('while all failure domains are evacuated, requests are refused at once and those in progress complete; then all are served', async (t) => {
  let received = 0
  let end = (): void => {}
  const fixture = await ForwardFixture.start(t, (request, response) => {
    received += 1
    response.writeHead(200, signedHeaders(request)).write('an ')
    if (received > 1) response.end('answer')
    else end = () => response.end('answer')
    evacuate(fixture, 2, D1)
  })
  const inProgress = fixture.call('/safe/x')
  await until(() => received === 1)
  const refusal = await fixture.call('/unsafe/x')
  t.like(refusal, { status: 503, body: '{"error":{"code":"domains_evacuated"}}' })
  t.true(Number(refusal.headers['retry-after']) >= 1)
  t.is(received, 1)
  end()
  t.like(await inProgress, { status: 200, body: 'an answer', whole: true })
  evacuate(fixture, 3)
  t.is((await fixture.call('/safe/x')).status, 200)
})

// Guards against retries and resumed streams that go by what was known at the first attempt.
for (const path of ['/safe/x', '/stream/x']) {
  test(`a further attempt of ${path} does not reach a failure domain that was evacuated during the first`, async (t) => {
    const received: string[] = []
    const script = (id: string): Script => (request, response) => {
      received.push(id)
      evacuate(fixture, 2, id === 'e0' ? D2 : D1)
      response.writeHead(503, { ...signedHeaders(request), [HeaderName.NotRun]: '1' }).end()
    }
    const fixture = await ForwardFixture.start(t, script('e0'), script('e1'))
    moveServer(fixture, 'e1', D2)
    t.is((await fixture.call(path)).status, 503)
    t.is(received.length, 1)
  })
}

test('an attempt whose failure domain is evacuated at the moment of the send goes to another one', async (t) => {
  const fixture = await ForwardFixture.start(t, answering, answering)
  moveServer(fixture, 'e1', D2)
  const { placement } = fixture
  let chosen: FailureDomain | undefined
  placement.place = ((place) => async (...parameters) => {
    const result = await place.apply(placement, parameters)
    if (result.type === 'placed' && chosen === undefined) evacuate(fixture, 2, chosen = result.attempt.choice.server.failureDomain)
    return result
  })(placement.place)
  t.is((await fixture.call('/unsafe/x')).status, 200)
  t.is(fixture.linesOf('attempt.failed').filter((line) => line.includes(`failure domain ${chosen}`)).length, 1)
})

// Guards against a node that takes its own failure domain for reachable because of a server that may get no request.
test('a node that reaches evacuated servers only passes requests on', async (t) => {
  const fixture = await ForwardFixture.startWithPorts(t, await refusingPorts(1))
  const { fleetState, relay } = fixture
  const evacuated = createServer().listen(0, '127.0.0.1')
  await once(evacuated, 'listening')
  t.teardown(() => { evacuated.close() })
  const reachable = { ...fleetState.servers.find('e0' as RunnerId)!, id: 'e1' as RunnerId, address: `127.0.0.1:${(evacuated.address() as AddressInfo).port}`, failureDomain: D2 }
  fleetState.putServer({ server: reachable, revision: 2 }, 'store')
  evacuate(fixture, 3, D2)
  await fixture.call('/safe/x')
  await until(() => relay.checks.isUnreachable('s'))
  t.true(relay.checks.isUnreachable('s'))
})

const regionsOf = (route?: Region[], organisation?: Region[]): readonly Region[] | undefined => {
  const table = new RouteTable(DEPLOYMENT)
  const head = {
    route: { ...DEPLOYMENT.routes[0]!, ...(route === undefined ? {} : { regions: route }) },
    organisation: { name: 'o', apiKeys: [], priority: null, ...(organisation === undefined ? {} : { regions: organisation }) },
    headers: { size: null, promptParts: [], lastEventId: null, deadline: null },
    attemptId: 'a',
    isRelayed: false
  } as unknown as AcceptedHead
  const call = admit({ rawHeaders: [], url: '/', method: 'POST' } as unknown as IncomingMessage, head, Buffer.alloc(0), table, 0)
  return call.ok ? call.value.regions : undefined
}

test('a request may reach the regions that both its route and its organisation allow', (t) => {
  t.is(regionsOf(), undefined)
  t.deepEqual([regionsOf([NORTH]), regionsOf(undefined, [SOUTH]), regionsOf([NORTH, SOUTH], [SOUTH]), regionsOf([NORTH], [SOUTH])], [[NORTH], [SOUTH], [SOUTH], []])
})

// That an empty list reaches this point is tested where configurations are parsed (platform.test.ts).
test('a request that no region may serve is refused at once, and reaches no server', async (t) => {
  const fixture = await ForwardFixture.start(t, () => { t.fail('it was sent') })
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, routes: DEPLOYMENT.routes.map((route) => ({ ...route, regions: [] })) }, 'store')
  const startedAt = performance.now()
  for (const path of ['/safe/x', '/patient/x']) t.is((await fixture.call(path)).status, 503)
  t.true(performance.now() - startedAt < 1_000)
})

test('a request is passed on to nodes of its regions only, and from an evacuated failure domain to another one first', (t) => {
  const clock = (): number => 0
  const candidate = (failureDomain: FailureDomain): SchedulerCandidate => ({ node: `n-${failureDomain}` as NodeId, address: '', failureDomain, processor: 1 })
  const fleetState = new FleetState(silentLog(), clock, () => new Map([[D1, NORTH], [D2, NORTH], [D3, SOUTH]]))
  const directory = new SchedulerDirectory({ ...candidate(D1), node: 'self' as NodeId }, 0)
  for (const domain of [D1, D2]) directory.add(candidate(domain))
  const peers = new RelayPeers({ directory, fleetState, failureDomain: D1, clock, runningClock: clock })
  t.is(peers.choose('s', [SOUTH]), null)
  t.is(peers.choose('s', [NORTH])?.failureDomain, D1)
  fleetState.restrictions.listed({ failureDomains: [D1], revision: 1 })
  t.is(peers.choose('s')?.failureDomain, D2)
  directory.add(candidate(D3))
  t.is(peers.choose('s', [SOUTH])?.failureDomain, D3)
})
