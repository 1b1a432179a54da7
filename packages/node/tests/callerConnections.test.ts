import { once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { HeaderName } from '@bluebellhill/platform'

import { answers, headText, openCaller } from './callers.js'
import { DEPLOYMENT, ForwardFixture, HOST, KEY, signedHeaders } from './forwardFixture.js'
import { until } from './quarantineFixture.js'

// Guards against connections that end without an answer and without a trace in the logs.
test('a request that the end of the stop grace cuts off is logged with its stage and the configuration', async (t) => {
  const fixture = await ForwardFixture.start(t, () => {})
  const { socket } = await openCaller(t, fixture)
  socket.write(headText('/patient/x', 'content-length: 0'))
  const reader = await openCaller(t, fixture)
  reader.socket.write(headText('/patient/x', 'content-length: 9'))
  while (fixture.entry.openRequests < 2 || fixture.linesOf('request.sent').length === 0) await sleep(10)
  await fixture.entry.stop(50)
  const [sent, reading] = ['sent', 'reading'].map((stage) => fixture.linesOf('request.unanswered').find((line) => line.includes(`stage=${stage} `)))
  for (const line of [sent, reading]) t.regex(line ?? '', /request=a .*cause=stop_grace_over .*configuration=1 configuration_age_ms=\d+/)
  t.regex(await fixture.metrics.registry.metrics(), /bluebellhill_unanswered_total{stage="sent",cause="stop_grace_over"} 1/)
})

// Guards against refusals of a head that leave no trace in the logs.
test('a head that is not complete in time is refused and logged', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  const { socket, received } = await openCaller(t, fixture)
  socket.write('POST /safe/x HTTP/1.1\r\n')
  await once(socket, 'end')
  t.regex(received(), /^HTTP\/1\.1 408 /)
  t.regex(fixture.linesOf('request.refused')[0] ?? '', /cause=head_timeout .*configuration=1/)
})

// Guards against a request that runs although its connection has got the answer that it has not been read in time.
test('a request that arrives after the answer to a slow head is not forwarded', async (t) => {
  let calls = 0
  const fixture = await ForwardFixture.start(t, (...args) => { calls += 1; answers(...args) })
  const { socket, received } = await openCaller(t, fixture)
  socket.write('POST /safe/x HTTP/1.1\r\n')
  await once(socket, 'end')
  t.regex(received(), /^HTTP\/1\.1 408 /)
  socket.write(`host: ${HOST}\r\nauthorization: Bearer ${KEY}\r\n${HeaderName.AttemptId}: a\r\ncontent-length: 0\r\n\r\n`)
  await sleep(300)
  t.is(calls, 0)
})

// Guards against an answer that is broken off, or mixed with another one, by bytes behind its request.
test('bytes that are no request do not end the answer in progress on their connection', async (t) => {
  const fixture = await ForwardFixture.start(t, (request, response) => {
    response.writeHead(200, signedHeaders(request)).write('first ')
    setTimeout(() => response.end('last'), 300)
  })
  const { socket, received } = await openCaller(t, fixture)
  socket.write(headText('/patient/x', 'content-length: 0'))
  while (fixture.linesOf('request.sent').length === 0) await sleep(10)
  socket.write('no request\r\n\r\n')
  while (!received().includes('last')) await once(socket, 'data')
  t.regex(received(), /^HTTP\/1\.1 200 .*first last/s)
  t.false(received().includes('400'))
})

// Guards against a server that works on for a caller who has disconnected after bytes that are no request.
test('a caller who disconnects after bytes that are no request ends the attempt', async (t) => {
  const closed: Array<Promise<unknown>> = []
  const fixture = await ForwardFixture.start(t, (_, __, socket) => { closed.push(once(socket, 'close')) })
  const { socket } = await openCaller(t, fixture)
  socket.write(headText('/patient/x', 'content-length: 0'))
  while (closed.length === 0) await sleep(10)
  socket.end('no request\r\n\r\n')
  await Promise.all(closed)
  t.is(fixture.entry.openRequests, 0)
})

// Guards against a request without an answer: its connection was closed as idle at the stop, before it was read.
test('a request that has arrived before the stop is answered', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  const { socket, received } = await openCaller(t, fixture)
  await sleep(50)
  socket.write(headText('/safe/x', 'content-length: 0'))
  const stopped = fixture.entry.stop(5_000)
  await once(socket, 'end')
  t.regex(received(), /^HTTP\/1\.1 200 /)
  await stopped
})

// Guards against a request without an answer: its connection was still to be accepted at the stop.
test('a request on a connection that is not accepted before the stop is answered', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  const socket = connect(fixture.port, '127.0.0.1')
  t.teardown(() => { socket.destroy() })
  let received = ''
  socket.on('data', (chunk) => { received += String(chunk) })
  socket.write(headText('/safe/x', 'content-length: 0'))
  // The listener of the client runs before the server accepts the connection.
  const ended = Promise.race([once(socket, 'end'), once(socket, 'close')])
  const stopped = once(socket, 'connect').then(async () => { await fixture.entry.stop(5_000) })
  await ended
  t.regex(received, /^HTTP\/1\.1 200 /)
  await stopped
})

// Guards against requests without an answer: many connections were still to be accepted at the stop.
test('requests on a hundred connections that are not accepted before the stop are answered', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  const received = Array.from({ length: 100 }, async () => {
    const socket = connect(fixture.port, '127.0.0.1')
    t.teardown(() => { socket.destroy() })
    let text = ''
    socket.on('data', (chunk) => { text += String(chunk) })
    socket.on('error', () => {})
    socket.write(headText('/safe/x', 'content-length: 0'))
    await new Promise((resolve) => { socket.once('close', resolve) })
    return text
  })
  const stopped = fixture.entry.stop(5_000)
  const statuses = (await Promise.all(received)).map((text) => text.slice(0, 'HTTP/1.1 200'.length))
  t.deepEqual([...new Set(statuses)], ['HTTP/1.1 200'])
  await stopped
})

// Guards against a request without an answer: its connection was accepted before the stop, and closed as idle while the request was on its way.
test('a request that arrives shortly after the stop on a connection that was just accepted is answered', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  const { socket, received } = await openCaller(t, fixture)
  await sleep(50)
  const stopped = fixture.entry.stop(5_000)
  await sleep(100)
  socket.write(headText('/safe/x', 'content-length: 0'))
  await once(socket, 'end')
  t.regex(received(), /^HTTP\/1\.1 200 /)
  await stopped
})

test('a request of which half the body has arrived before the stop is answered', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  const { socket, received } = await openCaller(t, fixture)
  socket.write(`${headText('/safe/x', 'content-length: 4')}bo`)
  while (fixture.entry.openRequests === 0) await sleep(10)
  const stopped = fixture.entry.stop(5_000)
  await sleep(500)
  socket.write('dy')
  await once(socket, 'end')
  t.regex(received(), /^HTTP\/1\.1 200 /)
  await stopped
})

// Guards against requests that stay open in the node for good: the response to a request that waits for the one before it never saw the end of its connection.
for (const route of ['patient', 'patient-stream']) {
  test(`requests for /${route}/ that came before the last one was answered end with their connection`, async (t) => {
    const fixture = await ForwardFixture.start(t, () => {})
    const { socket } = await openCaller(t, fixture)
    socket.write(headText(`/${route}/x`, 'content-length: 4') + 'body' + headText(`/${route}/y`, 'content-length: 4') + 'body' + headText(`/${route}/z`, 'content-length: 4') + 'bo')
    await until(() => fixture.entry.openRequests === 3)
    socket.destroy()
    await until(() => fixture.entry.openRequests === 0)
    t.is(fixture.entry.openRequests, 0)
    t.is(fixture.buffers.total, 0)
    t.is(fixture.linesOf('request.ended').length, 2)
  })
}

// Guards against connections that stay open for ever after bytes that begin no request.
test('an idle connection is closed although bytes have arrived that begin no request', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, limits: { ...DEPLOYMENT.limits, idleTimeout: 200, headerTimeout: 200 } }, 'store')
  const { socket, received } = await openCaller(t, fixture)
  socket.write(headText('/safe/x', 'content-length: 0'))
  while (!received().includes('answer')) await once(socket, 'data')
  socket.write('\r\n')
  await once(socket, 'end')
  t.true(socket.readableEnded, 'the caller has given up')
  t.regex(received(), /answer$/)
})

// Guards against a request without an answer: the connection was broken off before the refusal of its body was sent.
test('a caller whose chunked body exceeds the limit is told so', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  const { socket, received } = await openCaller(t, fixture)
  const chunk = 'x'.repeat(DEPLOYMENT.limits.bodyBytes + 1)
  socket.write(`${headText('/safe/x', 'transfer-encoding: chunked')}${chunk.length.toString(16)}\r\n${chunk}\r\n`)
  await once(socket, 'end')
  t.regex(received(), /^HTTP\/1\.1 413 /)
})

// Guards against an idle limit that ends connections on which a request is open.
for (const [name, body] of [['its answer', ['body']], ['the rest of its body', ['bo', 'dy']]] as const) {
  test(`a request that waits for ${name} beyond the idle limit is answered`, async (t) => {
    const fixture = await ForwardFixture.start(t, (request, response) => { setTimeout(() => response.writeHead(200, signedHeaders(request)).end('answer'), 700) })
    fixture.fleetState.install({ ...DEPLOYMENT, version: 2, limits: { ...DEPLOYMENT.limits, idleTimeout: 150, headerTimeout: 150 } }, 'store')
    const { socket, received } = await openCaller(t, fixture)
    socket.write(headText('/patient/x', 'content-length: 4'))
    for (const part of body) {
      socket.write(part)
      await sleep(500)
    }
    await until(() => received().includes('answer'))
    t.regex(received(), /^HTTP\/1\.1 200 .*answer$/s)
  })
}

// Guards against a stop of which the logs do not tell what the node took late.
test('a request that is read after the stop began is logged with the time that was left', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  const { socket } = await openCaller(t, fixture)
  socket.write(`${headText('/patient/x', 'content-length: 4')}bo`)
  await until(() => fixture.entry.openRequests === 1)
  const stopped = fixture.entry.stop(10_000)
  await sleep(200)
  socket.write('dy')
  await stopped
  const fields = /request=a route=patient service=s head_after_ms=(-?\d+) read_after_ms=(\d+) left_ms=(\d+) deadline_in_ms=\d+/.exec(fixture.linesOf('request.read_after_stop')[0] ?? '')
  const [head = NaN, read = NaN, left = NaN] = (fields ?? []).slice(1).map(Number)
  t.true(head <= 0)
  t.true(read >= 195)
  t.true(Math.abs(read + left - 10_000) <= 2)
})

// Guards against a stop of which the logs do not tell how many requests its end has cut off.
test('the requests that the end of the stop grace cuts off are counted by their stage', async (t) => {
  const fixture = await ForwardFixture.start(t, () => {})
  const [sent, reading] = [await openCaller(t, fixture), await openCaller(t, fixture)]
  sent.socket.write(headText('/patient/x', 'content-length: 0'))
  reading.socket.write(headText('/patient/x', 'content-length: 9'))
  await until(() => fixture.entry.openRequests === 2 && fixture.linesOf('request.sent').length === 1)
  await fixture.entry.stop(50)
  t.deepEqual(Object.fromEntries(fixture.entry.cutOffByStage()), { sent: 1, reading: 1 })
})
