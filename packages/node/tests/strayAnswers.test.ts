/** Faults of servers that operators of similar systems report: refusals written again, errors in place of a continuation, and heads that break off. */
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { HeaderName } from '@bluebellhill/platform'

import { ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Answer, Script } from './forwardFixture.js'
import { signedHead, startRawServer } from './rawServer.js'
import type { RawScript } from './rawServer.js'

/** Far below the timeout of the routes of the fixture, in milliseconds. */
const AT_ONCE = 5_000

const refusalOf = (attempt: string, status = '503 Service Unavailable'): string =>
  `HTTP/1.1 ${status}\r\n${HeaderName.AttemptId}: ${attempt}\r\n${HeaderName.NotRun}: 1\r\nretry-after: 0\r\ncontent-length: 0\r\n\r\n`

const attemptOf = (request: string): string => new RegExp(`^${HeaderName.AttemptId}: (.*)$`, 'im').exec(request)?.[1]?.trim() ?? ''

/** Starts a node with servers that send raw bytes, each of which counts its requests. */
const startRaw = async (t: ExecutionContext, ...scripts: RawScript[]): Promise<{ fixture: ForwardFixture, arrivals: number[] }> => {
  const arrivals = scripts.map(() => 0)
  const ports = await Promise.all(scripts.map(async (script, index) => await startRawServer(t, (socket, request) => {
    arrivals[index]! += 1
    script(socket, request)
  })))
  return { fixture: await ForwardFixture.startWithPorts(t, ports), arrivals }
}

// Guards against REFUSED and TWICE: a server that runs a request writes the refusal of an earlier one.
for (const status of ['503 Service Unavailable', '421 Misdirected Request', '429 Too Many Requests']) {
  for (const route of ['unsafe', 'once']) {
    test(`a refusal ${status} of another request does not say that one for /${route}/ has not run`, async (t) => {
      const stray: RawScript = (socket) => { socket.write(refusalOf('an-earlier-one', status)) }
      const { fixture, arrivals } = await startRaw(t, stray, stray)
      t.is((await fixture.call(`/${route}/x`)).status, 502)
      t.is(arrivals[0]! + arrivals[1]!, 1)
    })
  }
}

test('a refusal of another request sends one that may run again to another server', async (t) => {
  const stray: RawScript = (socket) => { socket.write(refusalOf('an-earlier-one')) }
  const answers: RawScript = (socket, request) => { socket.write(signedHead(request, 'content-length: 2\r\n') + 'ok') }
  const { fixture } = await startRaw(t, stray, answers)
  for (let index = 0; index < 4; index += 1) t.like(await fixture.call('/safe/x'), { status: 200, body: 'ok', whole: true })
})

test('a refusal of another request says nothing of its server', async (t) => {
  const stray: RawScript = (socket) => { socket.write(refusalOf('an-earlier-one').replace('retry-after: 0', 'retry-after: 60\r\nserver-leaving: 1')) }
  const { fixture } = await startRaw(t, stray)
  await fixture.call('/unsafe/x')
  t.deepEqual([fixture.linesOf('server.statement').length, fixture.linesOf('server.pause').length], [0, 0])
  t.is(fixture.placement.answers.pausedServers().length, 0)
})

test('a refusal that is written twice is the refusal of one request', async (t) => {
  const refuses: RawScript = (socket, request) => { socket.write(refusalOf(attemptOf(request)).repeat(2)) }
  const answers: RawScript = (socket, request) => { socket.write(signedHead(request, 'content-length: 2\r\n') + 'ok') }
  const { fixture, arrivals } = await startRaw(t, refuses, answers)
  for (let index = 0; index < 6; index += 1) t.like(await fixture.call('/unsafe/x'), { status: 200, body: 'ok', whole: true })
  t.is(arrivals[1], 6)
})

/** Begins a stream and breaks it off; any later request gets an answer that continues no stream. */
const breaksOffThen = (next: Script): Script => {
  let calls = 0
  return (request, response, socket) => {
    calls += 1
    if (calls > 1) {
      next(request, response, socket)
      return
    }
    response.writeHead(200, signedHeaders(request)).write('id: 1\ndata: first\n\nid: 2\nda')
    setTimeout(() => socket.destroy(), 50)
  }
}

/** Calls with a stream that breaks off at one server and is continued by another. */
const callBroken = async (t: ExecutionContext, next: Script): Promise<{ answer: Answer, took: number }> => {
  const script = breaksOffThen(next)
  const fixture = await ForwardFixture.start(t, script, script)
  const startedAt = performance.now()
  const answer = await fixture.call('/patient-stream/x')
  return { answer, took: performance.now() - startedAt }
}

// Guards against MIXED and ORDER, and against callers that wait for nothing: the error of the next server is no part of a stream.
for (const status of [400, 404, 409, 413, 429, 500, 502, 503]) {
  test(`a stream whose next server answers with a whole ${status} is broken off at once`, async (t) => {
    const { answer, took } = await callBroken(t, (request, response) => { response.writeHead(status, signedHeaders(request)).end(`error ${status}`) })
    t.like(answer, { status: 200, body: 'id: 1\ndata: first\n\n', whole: false })
    t.true(took < AT_ONCE, `${took} ms`)
  })
}

test('a stream whose next server refuses its continuation is broken off at once', async (t) => {
  const { answer, took } = await callBroken(t, (request, response) => { response.writeHead(503, { [HeaderName.AttemptId]: String(request.headers[HeaderName.AttemptId]), [HeaderName.NotRun]: '1' }).end() })
  t.like(answer, { status: 200, body: 'id: 1\ndata: first\n\n', whole: false })
  t.true(took < AT_ONCE, `${took} ms`)
})

test('a stream whose next server answers without a signature is broken off at once', async (t) => {
  const { answer, took } = await callBroken(t, (_, response) => { response.writeHead(200).end('id: 2\ndata: stray\n\n') })
  t.like(answer, { status: 200, body: 'id: 1\ndata: first\n\n', whole: false })
  t.true(took < AT_ONCE, `${took} ms`)
})

test('an error of the node itself while it reads an answer ends the request at once', async (t) => {
  const fixture = await ForwardFixture.start(t, (request, response) => { response.writeHead(200, signedHeaders(request)).end('answer') })
  fixture.metrics.firstAnswerSent = () => { throw new Error('an error of the node') }
  const startedAt = performance.now()
  await fixture.call('/patient-unsafe/x').catch(() => null)
  t.true(performance.now() - startedAt < AT_ONCE)
  t.is(fixture.linesOf('request.failed_internally').length, 1)
  t.is(fixture.entry.openRequests, 0)
})

// Guards against MIXED and ORDER: the part of a head that has arrived passes for a whole one, with a short body.
for (const route of ['unsafe', 'once']) {
  test(`an answer for /${route}/ that ends or is reset in the middle of its head is no success`, async (t) => {
    const head = signedHead(`${HeaderName.AttemptId}: a1\r\n`, 'content-type: text/plain\r\n')
    let cut = 0
    const { fixture, arrivals } = await startRaw(t, (socket, request) => {
      const text = signedHead(request, 'content-type: text/plain\r\n').slice(0, cut)
      if (cut % 2 === 0) socket.end(text)
      else socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), 5))
    })
    let calls = 0
    for (cut = 0; cut < head.length - 1; cut += 3) {
      calls += 1
      t.is((await fixture.call(`/${route}/x`)).status, 502, `after ${cut} bytes`)
    }
    // A request that is refused unsent would show nothing of a head.
    t.is(arrivals[0], calls)
  })
}
