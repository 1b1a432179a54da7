import { once } from 'node:events'
import { Agent, request as httpRequest } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { mock } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import type { Millis } from '@bluebellhill/domain'
import { HeaderName } from '@bluebellhill/platform'

import { DEPLOYMENT, ForwardFixture, HOST, KEY, signedHeaders, TIME_FOR_TWO_ATTEMPTS } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'

/** Long enough that no stop of these tests breaks off a request. */
const STOP_GRACE: Millis = 60_000

const eventText = (id: number): string => `id: ${id}\ndata: x\n\n`

const answers: Script = (request, response) => { response.writeHead(200, signedHeaders(request)).end('answer') }
const fails: Script = (request, response) => { response.writeHead(500, signedHeaders(request)).end('failure') }
const refuses: Script = (_, response) => { response.writeHead(503, { [HeaderName.NotRun]: '1' }).end() }
const resets: Script = (_, __, socket) => { socket.resetAndDestroy() }
const neverAnswers: Script = () => {}

/** Wraps a script and records the requests that it receives. */
const recordRequests = (script: Script): { script: Script, calls: IncomingMessage[] } => {
  const calls: IncomingMessage[] = []
  return { calls, script: (request, ...rest) => { calls.push(request); script(request, ...rest) } }
}

test('an answer is returned as the backend server gave it', async (t) => {
  const server = recordRequests(answers)
  const fixture = await ForwardFixture.start(t, server.script)
  const answer = await fixture.call('/patient/x?q=1', { headers: { 'x-own': '1', [HeaderName.Deadline]: '29000' } })
  t.like(answer, { status: 200, body: 'answer', whole: true })
  t.is(answer.headers[HeaderName.Signature], 'signature')
  const [call] = server.calls
  t.is(call?.url, '/patient/x?q=1')
  t.like(call?.headers, { 'x-own': '1', [HeaderName.Organisation]: 'growers', [HeaderName.ExpectedServer]: 'e0', authorization: undefined })
  t.true(Number(call?.headers[HeaderName.Deadline]) <= 29_000)
  t.true(Number(call?.headers[HeaderName.Deadline]) > 0)
})

test('a safe request is sent to another server after a failure', async (t) => {
  const fixture = await ForwardFixture.start(t, fails, answers)
  for (let index = 0; index < 4; index += 1) t.is((await fixture.call('/safe/x')).status, 200)
})

test('the failure of the last server is returned unchanged', async (t) => {
  const fixture = await ForwardFixture.start(t, fails, fails)
  const answer = await fixture.call('/safe/x')
  t.like(answer, { status: 500, body: 'failure' })
  t.is(answer.headers[HeaderName.Signature], 'signature')
})

test('an unsafe request is not sent again after a reset, and its answer does not say that it has not run', async (t) => {
  const first = recordRequests(resets)
  const second = recordRequests(resets)
  const fixture = await ForwardFixture.start(t, first.script, second.script)
  t.is((await fixture.call('/unsafe/x')).status, 502)
  t.is(first.calls.length + second.calls.length, 1)
})

test('an unsafe request is sent to another server if the first answers that it has not run it', async (t) => {
  const fixture = await ForwardFixture.start(t, refuses, answers)
  for (let index = 0; index < 4; index += 1) t.is((await fixture.call('/unsafe/x')).status, 200)
})

test('a request is sent to the same server again after its helper has failed', async (t) => {
  let calls = 0
  const server: Script = (request, response, socket) => {
    calls += 1
    if (calls > 1) answers(request, response, socket)
    else response.writeHead(503, { [HeaderName.NotRun]: '1', [HeaderName.FaultyServer]: '10.0.0.9:80' }).end()
  }
  const fixture = await ForwardFixture.start(t, server)
  t.is((await fixture.call('/unsafe/x')).status, 200)
})

test('a request that no server has run is refused with a retry-after header', async (t) => {
  const fixture = await ForwardFixture.start(t, refuses, refuses)
  const answer = await fixture.call('/unsafe/x')
  t.is(answer.status, 503)
  t.true(Number(answer.headers['retry-after']) > 0)
})

test('a success without a signature, or for another request, is not returned', async (t) => {
  const unsigned: Script = (request, response) => { response.writeHead(200, { ...signedHeaders(request), [HeaderName.Signature]: [] }).end('answer') }
  const crossed: Script = (request, response) => { response.writeHead(200, { ...signedHeaders(request), [HeaderName.AttemptId]: 'other' }).end('answer') }
  for (const script of [unsigned, crossed]) {
    const fixture = await ForwardFixture.start(t, script)
    t.is((await fixture.call('/unsafe/x')).status, 502)
  }
})

test('a server that answers at the address of another one gets no further requests', async (t) => {
  const moved = recordRequests((_, response) => { response.writeHead(421, { [HeaderName.ServerId]: 'e9' }).end() })
  const fixture = await ForwardFixture.start(t, moved.script, answers)
  for (let index = 0; index < 6; index += 1) t.is((await fixture.call('/unsafe/x')).status, 200)
  t.true(moved.calls.length <= 1)
})

test('the caller receives only complete events of a stream', async (t) => {
  const fixture = await ForwardFixture.start(t, (request, response) => {
    response.writeHead(200, { ...signedHeaders(request), 'content-type': 'text/event-stream' })
    response.write(eventText(1) + eventText(2).slice(0, 5))
    setTimeout(() => response.end(eventText(2).slice(5)), 30)
  })
  t.like(await fixture.call('/stream/x'), { status: 200, body: eventText(1) + eventText(2), whole: true })
})

test('a broken stream continues at another server, after the last event', async (t) => {
  const broken: Script = (request, response, socket) => {
    if (request.headers[HeaderName.LastEvent] !== undefined) {
      response.writeHead(200, signedHeaders(request)).end(eventText(2) + eventText(3))
      return
    }
    response.writeHead(200, signedHeaders(request))
    response.write(eventText(1) + eventText(2).slice(0, 5))
    setTimeout(() => socket.resetAndDestroy(), 30)
  }
  const fixture = await ForwardFixture.start(t, broken, broken)
  t.like(await fixture.call('/stream/x'), { status: 200, body: eventText(1) + eventText(2) + eventText(3), whole: true })
  t.is(fixture.linesOf('attempt.failed').length, 1)
})

test('a broken stream that may not be resumed never looks complete', async (t) => {
  const broken: Script = (request, response, socket) => {
    response.writeHead(200, signedHeaders(request))
    response.write(eventText(1))
    setTimeout(() => socket.resetAndDestroy(), 30)
  }
  const fixture = await ForwardFixture.start(t, broken, broken)
  t.like(await fixture.call('/once/x'), { body: eventText(1), whole: false })
})

test('a request that may run again is sent to another server if the first does not answer', async (t) => {
  const fixture = await ForwardFixture.start(t, neverAnswers, answers)
  for (let index = 0; index < 2; index += 1) t.is((await fixture.call('/safe/x', { headers: { [HeaderName.Deadline]: TIME_FOR_TWO_ATTEMPTS } })).status, 200)
})

test.serial('a request is answered when its deadline passes', async (t) => {
  const deadline = 200
  let reached = (): void => {}
  const isSent = new Promise<void>((resolve) => { reached = resolve })
  const fixture = await ForwardFixture.start(t, () => reached())
  fixture.clock = () => 0
  mock.timers.enable({ apis: ['setTimeout'] })
  t.teardown(() => mock.timers.reset())
  const answer = fixture.call('/unsafe/x', { headers: { [HeaderName.Deadline]: String(deadline) } })
  await isSent
  mock.timers.tick(deadline - 1)
  t.is(fixture.linesOf('request.ended').length, 0)
  mock.timers.tick(1)
  t.is(fixture.linesOf('request.ended').length, 1)
  t.is((await answer).status, 504)
})

test('when the caller disconnects, the connection to the backend server is closed', async (t) => {
  const disconnection = new AbortController()
  let closed: Promise<unknown> | null = null
  const fixture = await ForwardFixture.start(t, (_, __, socket) => {
    closed = once(socket, 'close')
    disconnection.abort()
  })
  await t.throwsAsync(fixture.call('/patient/x', { disconnection: disconnection.signal }))
  t.truthy(closed)
  await closed
  t.is(fixture.entry.openRequests, 0)
})

test('requests that the configuration does not allow are refused', async (t) => {
  const server = recordRequests(answers)
  const fixture = await ForwardFixture.start(t, server.script)
  t.is((await fixture.call('/safe/x', { headers: { authorization: 'Bearer other' } })).status, 401)
  t.is((await fixture.call('/none/x')).status, 404)
  t.is((await fixture.call('/safe/x', { body: 'x'.repeat(2_000) })).status, 413)
  t.is((await fixture.call('/safe/x', { headers: { 'x-long': 'x'.repeat(5_000) } })).status, 431)
  t.is(server.calls.length, 0)
  t.is(fixture.linesOf('request.refused').length, 4)
})

test('a node without a configuration refuses requests with a retry-after header', async (t) => {
  const fixture = await ForwardFixture.start(t)
  const answer = await fixture.call('/safe/x')
  t.is(answer.status, 503)
  t.true(Number(answer.headers['retry-after']) > 0)
})

test('a stopping node finishes its requests and closes connections that become idle', async (t) => {
  const fixture = await ForwardFixture.start(t, (request, response) => {
    response.writeHead(200, signedHeaders(request))
    response.write(eventText(1))
    setTimeout(() => response.end(eventText(2)), 300)
  })
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  t.teardown(() => agent.destroy())
  const request = httpRequest({ agent, host: '127.0.0.1', port: fixture.port, path: '/stream/x', headers: { host: HOST, authorization: `Bearer ${KEY}`, [HeaderName.AttemptId]: 'a' } })
  request.end()
  const [response] = await once(request, 'response') as [IncomingMessage]
  const stopped = fixture.entry.stop(5_000)
  let body = ''
  for await (const chunk of response) body += String(chunk)
  t.is(body, eventText(1) + eventText(2))
  const startedAt = performance.now()
  await stopped
  t.true(performance.now() - startedAt < 2_000)
})

test('a stopping node closes an idle connection while another request is in progress', async (t) => {
  const responses = new Map<string | undefined, ServerResponse>()
  const fixture = await ForwardFixture.start(t, (request, response) => {
    responses.set(request.url, response)
    response.writeHead(200, signedHeaders(request))
    response.write(eventText(1))
  })
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, limits: { ...DEPLOYMENT.limits, idleTimeout: 2 * STOP_GRACE } }, 'store')
  const agent = new Agent({ keepAlive: true })
  t.teardown(() => agent.destroy())
  const open = async (path: string): Promise<IncomingMessage> => {
    const request = httpRequest({ agent, host: '127.0.0.1', port: fixture.port, path, headers: { host: HOST, authorization: `Bearer ${KEY}`, [HeaderName.AttemptId]: path } })
    request.end()
    const [response] = await once(request, 'response') as [IncomingMessage]
    response.resume()
    return response
  }
  const [long, short] = await Promise.all([open('/stream/long'), open('/stream/short')])
  const shortClosed = once(short.socket, 'close')
  // The server has closed the connection before the client, in the same process, has read the last bytes.
  const longEnded = once(long, 'end')
  const stopped = fixture.entry.stop(STOP_GRACE)
  responses.get('/stream/short')?.end(eventText(2))
  await shortClosed
  t.true(short.complete)
  t.false(long.complete)
  responses.get('/stream/long')?.end(eventText(2))
  await stopped
  await longEnded
  t.true(long.complete)
})

test('a stopping node delivers an answer that its caller reads slowly', async (t) => {
  const body = 'x'.repeat(16 * 1024 * 1024)
  const fixture = await ForwardFixture.start(t, (request, response) => {
    response.writeHead(200, { ...signedHeaders(request), 'content-length': body.length }).end(body)
  })
  const agent = new Agent({ keepAlive: true })
  t.teardown(() => agent.destroy())
  const request = httpRequest({ agent, host: '127.0.0.1', port: fixture.port, path: '/patient/x', headers: { host: HOST, authorization: `Bearer ${KEY}`, [HeaderName.AttemptId]: 'a' } })
  request.end()
  const [response] = await once(request, 'response') as [IncomingMessage]
  const stopped = fixture.entry.stop(20_000)
  await sleep(700)
  let received = 0
  for await (const chunk of response) received += (chunk as Buffer).length
  t.is(received, body.length)
  t.true(response.complete)
  await stopped
})

test('keys of callers are not logged', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  await fixture.call('/safe/x')
  await fixture.call('/none/x')
  await sleep(10)
  t.true(fixture.lines.length > 2)
  t.false(fixture.lines.some((line) => line.includes(KEY)))
})
