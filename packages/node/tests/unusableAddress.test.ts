/** Servers and nodes whose addresses no connection can be opened to. */
import test from 'ava'

import type { FailureDomain, NodeId, RunnerId } from '@bluebellhill/domain'

import { decodeSnapshot } from '../src/forward/peers/snapshotCodec.js'
import { PeerSocket } from '../src/forward/peers/PeerSocket.js'
import { parseNodeEntry } from '../src/forward/store/NodeRegistration.js'
import { ForwardFixture, signedHeaders, silentLog } from './forwardFixture.js'

const UNUSABLE_PORT = 81_290

/** Timeout of the routes of the fixture, in milliseconds. */
const ROUTE_TIMEOUT = 30_000

// Guards against LOST: the error of one attempt ended the process, with all other requests.
for (const path of ['/safe/x', '/unsafe/x', '/stream/x']) {
  test(`a request for ${path} whose only server has an unusable address is refused at once`, async (t) => {
    const fixture = await ForwardFixture.startWithPorts(t, [UNUSABLE_PORT])
    const startedAt = performance.now()
    const answer = await fixture.call(path)
    t.is(answer.status, 503)
    t.truthy(answer.headers['retry-after'])
    t.true(performance.now() - startedAt < ROUTE_TIMEOUT / 2)
  })
}

test('a request whose first server has an unusable address is answered by another one', async (t) => {
  const fixture = await ForwardFixture.start(t, (request, response) => { response.writeHead(200, signedHeaders(request)).end('answer') })
  const server = fixture.fleetState.servers.all()[0]!
  fixture.fleetState.putServer({ server: { ...server, id: 'unusable' as RunnerId, address: `127.0.0.1:${UNUSABLE_PORT}` }, revision: 2 }, 'store')
  for (let index = 0; index < 6; index += 1) t.is((await fixture.call('/unsafe/x')).status, 200)
  t.true(fixture.linesOf('attempt.failed').some((line) => line.includes('server=unusable')))
})

test('a snapshot of another node names only servers with usable addresses', (t) => {
  const server = { id: 'e0', service: 's', address: '127.0.0.1:80', failureDomain: 'd1', slots: 4, readiness: 'ready', startedAt: 1 }
  const listed = [server, { ...server, id: 'e1', address: `127.0.0.1:${UNUSABLE_PORT}` }].map((each) => ({ server: each, revision: 3, era: 0 }))
  const snapshot = decodeSnapshot(Buffer.from(JSON.stringify({ deployment: null, servers: { listed, revision: 3, era: 0 } })), { era: 0, isKeyRequired: false })
  t.deepEqual(snapshot.ok ? snapshot.value.servers?.listed.map(({ server: { id } }) => id) : snapshot.failure, ['e0' as RunnerId])
})

test('the entry of a node with an unusable address or failure domain names no node', (t) => {
  t.is(parseNodeEntry('n1', `127.0.0.1:${UNUSABLE_PORT}:d1:1`), null)
  t.is(parseNodeEntry('n1', '127.0.0.1:80:%:1'), null)
  t.is(parseNodeEntry('n1', 'garbage'), null)
  t.deepEqual(parseNodeEntry('n1', '127.0.0.1:80:d1:1'), { node: 'n1' as NodeId, address: '127.0.0.1:80', failureDomain: 'd1' as FailureDomain, processor: 1 })
  t.is(parseNodeEntry('n1', '127.0.0.1:80'), '127.0.0.1:80')
})

test('a datagram to an unusable address counts as undelivered', (t) => {
  const socket = new PeerSocket(silentLog(), () => {})
  t.teardown(() => socket.dispose())
  t.notThrows(() => socket.send(Buffer.from('x'), `127.0.0.1:${UNUSABLE_PORT}`))
  t.is(socket.undeliveredCount, 1)
})
