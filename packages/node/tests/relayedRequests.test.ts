/** What holds for a request that one node passes on to another, as for any other request. */
import { createServer, request as httpRequest } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { Readiness } from '@bluebellhill/domain'
import type { FailureDomain, RunnerId } from '@bluebellhill/domain'
import { HeaderName } from '@bluebellhill/platform'

import { RELAY_HEADER } from '../src/forward/relay/relayHeaders.js'
import { ForwardFixture, HOST, KEY, signedHeaders } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'
import { crashEngines, until } from './quarantineFixture.js'
import { addPeer, startNoticed, startUnreachable } from './relayFixture.js'
import { refusingPorts } from './unreachablePorts.js'

/** Time within which a request is refused at once, in milliseconds. */
const AT_ONCE_MS = 500

/** Time within which a node that reaches servers again uses them, in milliseconds. */
const RETURN_MS = 1_000

const answering: Script = (request, response) => { response.writeHead(200, signedHeaders(request)).end('an answer') }

test('method, path, headers and body reach the server unchanged, with the organisation in place of the key, and a shorter deadline', async (t) => {
  let seen: IncomingMessage | null = null
  let body = ''
  const { cut } = await startNoticed(t, (request, response) => {
    seen = request
    request.on('data', (chunk: Buffer) => { body += chunk.toString() })
    request.on('end', () => response.writeHead(200, { ...signedHeaders(request), 'x-other': 'kept' }).end('an answer'))
  })
  const answer = await cut.call('/unsafe/x?y=1', { method: 'PUT', body: 'the body', headers: { [HeaderName.AttemptId]: 'b7', [HeaderName.Deadline]: '900', 'x-own': 'kept', [RELAY_HEADER]: 'forged' } })
  t.like(answer, { status: 200, body: 'an answer', whole: true })
  t.like(answer.headers, { [HeaderName.AttemptId]: 'b7', [HeaderName.Signature]: 'signature', 'x-other': 'kept', [RELAY_HEADER]: undefined })
  const { method, url, headers } = seen! as IncomingMessage
  t.deepEqual({ method, url, body }, { method: 'PUT', url: '/unsafe/x?y=1', body: 'the body' })
  t.like(headers, { [HeaderName.AttemptId]: 'b7', 'x-own': 'kept', [HeaderName.Organisation]: 'growers', authorization: undefined, [RELAY_HEADER]: undefined })
  t.true(Number(headers[HeaderName.Deadline]) <= 900)
  t.is(cut.linesOf('request.relayed').length, 1)
})

/** Guards against callers who claim to be a node: their requests would be refused while this node reaches no server. */
test('the mark of nodes in the request of a caller counts for nothing', async (t) => {
  const { cut } = await startNoticed(t, answering)
  t.is((await cut.call('/safe/x', { headers: { [RELAY_HEADER]: 'n9' } })).status, 200)
})

/** Guards against requests that go round between nodes that are both cut off. */
test('two nodes that reach no server refuse at once', async (t) => {
  const cut = await startUnreachable(t)
  const peer = await startUnreachable(t)
  addPeer(cut, await peer.listenToNodes())
  addPeer(peer, await cut.listenToNodes())
  const startedAt = performance.now()
  const answer = await cut.call('/unsafe/x')
  t.true(performance.now() - startedAt < AT_ONCE_MS)
  t.is(answer.status, 503)
  t.is(answer.headers[RELAY_HEADER], undefined)
  t.is(peer.linesOf('request.relayed').length, 0)
})

test('a node that does not serve it either is followed by one that does', async (t) => {
  const cut = await startUnreachable(t)
  const alsoCut = await startUnreachable(t)
  const peer = await ForwardFixture.start(t, answering)
  addPeer(cut, await alsoCut.listenToNodes(), 'n2')
  addPeer(cut, await peer.listenToNodes(), 'n3', 'd2')
  t.is((await cut.call('/unsafe/x')).status, 200)
  t.is((await cut.call('/unsafe/x')).status, 200)
  t.is(cut.linesOf('request.relayed').filter((line) => line.includes('peer=n2')).length, 1)
})

/** Guards against requests that are refused by one node after the other of a failure domain that is cut as a whole. */
test('nodes of another failure domain are asked where those of the own one serve nothing either', async (t) => {
  const cut = await startUnreachable(t)
  for (const node of ['n2', 'n3', 'n4', 'n5', 'n6', 'n7', 'n8']) addPeer(cut, await (await startUnreachable(t)).listenToNodes(), node)
  const peer = await ForwardFixture.start(t, answering)
  addPeer(cut, await peer.listenToNodes(), 'n9', 'd2')
  for (let index = 0; index < 5; index += 1) t.is((await cut.call('/unsafe/x')).status, 200)
  t.true(cut.linesOf('request.relayed').length <= 7)
})

test('a node of an earlier build, which passes nothing on, is followed by another one', async (t) => {
  const earlier = createServer((_, response) => { response.writeHead(404, { connection: 'close' }).end() }).listen(0, '127.0.0.1')
  await once(earlier, 'listening')
  t.teardown(() => earlier.close())
  const cut = await startUnreachable(t)
  const peer = await ForwardFixture.start(t, answering)
  addPeer(cut, `127.0.0.1:${(earlier.address() as AddressInfo).port}`, 'n2')
  addPeer(cut, await peer.listenToNodes(), 'n3', 'd2')
  t.is((await cut.call('/unsafe/x')).status, 200)
})

/** Guards against a second run: the other node may have sent the request to a server before its connection broke. */
test('a request that may run once is not sent again when the connection to the other node breaks', async (t) => {
  let runs = 0
  const broken = createServer((request) => {
    runs += 1
    request.socket.destroy()
  }).listen(0, '127.0.0.1')
  await once(broken, 'listening')
  t.teardown(() => broken.close())
  const cut = await startUnreachable(t)
  const peer = await ForwardFixture.start(t, (request, response, socket) => {
    runs += 1
    answering(request, response, socket)
  })
  addPeer(cut, `127.0.0.1:${(broken.address() as AddressInfo).port}`, 'n2')
  addPeer(cut, await peer.listenToNodes(), 'n3', 'd2')
  t.is((await cut.call('/unsafe/x')).status, 502)
  t.is(runs, 1)
  t.is((await cut.call('/safe/x')).status, 200)
})

test('a stream goes on at its last event when the other node is lost', async (t) => {
  const breaking = createServer((request, response) => {
    response.writeHead(200, { ...signedHeaders(request), [RELAY_HEADER]: 'server' }).write('id: 1\n\nid: 2\n\nid')
    setTimeout(() => request.socket.destroy(), 20)
  }).listen(0, '127.0.0.1')
  await once(breaking, 'listening')
  t.teardown(() => breaking.close())
  const cut = await startUnreachable(t)
  const resumed: Array<string | string[] | undefined> = []
  const peer = await ForwardFixture.start(t, (request, response) => {
    resumed.push(request.headers[HeaderName.LastEvent])
    response.writeHead(200, signedHeaders(request)).end('id: 3\n\nid: 4\n\n')
  })
  addPeer(cut, `127.0.0.1:${(breaking.address() as AddressInfo).port}`, 'n2')
  addPeer(cut, await peer.listenToNodes(), 'n3', 'd2')
  t.like(await cut.call('/stream/x'), { status: 200, body: 'id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n', whole: true })
  t.deepEqual(resumed, ['2'])
})

test('the departure of a caller ends the work at the server', async (t) => {
  let closed = 0
  const { cut, peer } = await startNoticed(t, (_request, _response, socket) => { socket.once('close', () => { closed += 1 }) })
  const disconnection = new AbortController()
  const call = cut.call('/safe/x', { disconnection: disconnection.signal }).catch(() => null)
  await until(() => peer.linesOf('request.sent').length === 1)
  disconnection.abort()
  await call
  await until(() => closed === 1)
  t.is(closed, 1)
})

test('refusals of the other node are passed on with what they say of having run', async (t) => {
  const { cut, peer } = await startNoticed(t, answering)
  await crashEngines(peer.quarantine, 'bad0')
  const quarantined = await cut.call('/stream/x', { headers: { [HeaderName.PromptParts]: 'bad0:40,abc:40' } })
  t.is(quarantined.status, 400)
  t.deepEqual(JSON.parse(quarantined.body), { error: { code: 'prompt_quarantined_unsent', ran: 'no' } })
  t.is(quarantined.headers[RELAY_HEADER], undefined)
})

test('a failure that a server has answered is passed on unchanged, and not tried at a further node', async (t) => {
  let runs = 0
  const { cut } = await startNoticed(t, (request, response) => {
    runs += 1
    response.writeHead(500, signedHeaders(request)).end('failed')
  })
  t.like(await cut.call('/unsafe/x'), { status: 500, body: 'failed' })
  t.is(runs, 1)
})

test('a node takes its own way back soon after it reaches servers again', async (t) => {
  const { cut, peer } = await startNoticed(t, answering)
  const server = createServer((request, response) => { response.writeHead(200, signedHeaders(request)).end('own') }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => { server.closeAllConnections(); server.close() })
  cut.fleetState.putServer({ server: { id: 'back' as RunnerId, service: 's', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, failureDomain: 'd1' as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: 1 }, revision: 2 }, 'store')
  await sleep(RETURN_MS)
  t.is((await cut.call('/safe/x')).body, 'own')
  t.is(cut.linesOf('service.reachable').length, 1)
  t.is(peer.linesOf('request.sent').length, 0)
})

/** Guards against a node that takes one dead server for a cut, and against servers that are avoided because of a cut. */
test('a server that is down beside one that answers is avoided, and nothing is passed on', async (t) => {
  const cut = await ForwardFixture.start(t, answering)
  const [port = 0] = await refusingPorts(1)
  cut.fleetState.putServer({ server: { id: 'down' as RunnerId, service: 's', address: `127.0.0.1:${port}`, failureDomain: 'd1' as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: 1 }, revision: 2 }, 'store')
  for (let index = 0; index < 6; index += 1) t.is((await cut.call('/safe/x')).status, 200)
  await until(() => cut.linesOf('server.avoided').length === 1)
  t.regex(cut.linesOf('server.avoided')[0] ?? '', /server=down .*evidence=unreachable/)
  t.false(cut.relay.checks.isUnreachable('s'))
})

/** Guards against a node that passes on what the servers of its own failure domain could serve. */
test('a node that reaches only the servers of its own failure domain uses them', async (t) => {
  const cut = await ForwardFixture.start(t, answering)
  const ports = await refusingPorts(4)
  for (const [index, port] of ports.entries()) {
    const server = { id: `far${index}` as RunnerId, service: 's', address: `127.0.0.1:${port}`, failureDomain: `d${2 + index % 3}` as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: 1 }
    cut.fleetState.putServer({ server, revision: 2 + index }, 'store')
  }
  const peer = await ForwardFixture.start(t, answering)
  addPeer(cut, await peer.listenToNodes())
  for (let index = 0; index < 20; index += 1) t.is((await cut.call('/safe/x')).status, 200)
  t.deepEqual(cut.linesOf('service.unreachable'), [])
})

test('a node that reaches no server tells nobody that servers are unreachable', async (t) => {
  const cut = await startUnreachable(t)
  await cut.call('/safe/x')
  t.deepEqual(cut.linesOf('server.avoided'), [])
})

test('a node that stops answers what others have passed on', async (t) => {
  let finish: (() => void) | null = null
  const { cut, peer } = await startNoticed(t, (request, response) => { finish = () => { response.writeHead(200, signedHeaders(request)).end('an answer') } })
  const call = cut.call('/unsafe/x')
  await until(() => peer.linesOf('request.sent').length === 1 && finish !== null)
  const stopped = peer.entry.stop(5_000)
  await sleep(100)
  finish!()
  t.is((await call).status, 200)
  await stopped
})

test('a request on the port for nodes needs the key of its caller', async (t) => {
  const peer = await ForwardFixture.start(t, answering)
  const [host, port] = (await peer.listenToNodes()).split(':')
  const request = httpRequest({ host, port, path: '/safe/x', method: 'POST', agent: false, headers: { host: HOST, authorization: `Bearer ${KEY}x`, [HeaderName.AttemptId]: 'a1', [RELAY_HEADER]: 'n9' } })
  request.end()
  const [response] = await once(request, 'response') as [IncomingMessage]
  response.resume()
  t.is(response.statusCode, 401)
})
