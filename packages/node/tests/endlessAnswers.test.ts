/** Backend servers that send bytes without end: the answer is given up, the server is avoided, and the request goes elsewhere. */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { HeaderName } from '@bluebellhill/platform'

import { MAX_EMPTY_BYTES, MAX_STREAM_BYTES } from '../src/forward/backend/answerLimits.js'
import { ForwardFixture, HOST, KEY } from './forwardFixture.js'
import { flood, signedHead, startRawServer } from './rawServer.js'
import type { RawScript } from './rawServer.js'

const answers: RawScript = (socket, request) => socket.end(`${signedHead(request, 'content-length: 6\r\n')}answer`)

const REQUESTS = 4
const POLL_MS = 10

const event = (id: number): string => `id: ${id}\ndata: x\n\n`

/** Sends the events that follow the last one that the caller has, and ends the stream with its connection. */
const streams: RawScript = (socket, request) => {
  const from = Number(/^last-event-id: (\d+)/im.exec(request)?.[1] ?? 0)
  const events = [1, 2, 3].filter((id) => id > from).map(event)
  socket.end(signedHead(request, 'connection: close\r\n') + events.join(''))
}

/** Sends requests to a node with a server that sends bytes without end and a sound one: all are answered, and the former is avoided at once. */
const checkFlood = async (t: ExecutionContext, script: RawScript, reason: RegExp, path = '/safe/x'): Promise<void> => {
  const fixture = await ForwardFixture.startWithPorts(t, [await startRawServer(t, script), await startRawServer(t, answers)])
  for (let index = 0; index < REQUESTS; index += 1) t.like(await fixture.call(path), { status: 200, body: 'answer', whole: true })
  const [failure] = fixture.linesOf('attempt.failed')
  t.regex(failure ?? '', reason)
  t.true(failure?.includes('server=e0 end=oversized '))
  const [avoided] = fixture.linesOf('server.avoided')
  t.true(avoided?.includes('server=e0 ') === true && avoided.includes('evidence=faulty '))
  t.is(fixture.lines.findIndex((line) => line === avoided), fixture.lines.findIndex((line) => line === failure) - 1)
}

const FRAMING = /more than 65536 bytes without any of the body/

const ENDLESS_HEADS: ReadonlyArray<readonly [string, RawScript]> = [
  ['empty lines before the status line', (socket) => flood(socket, '\r\n')],
  ['a status line', (socket) => { socket.write('HTTP/1.1 200 '); flood(socket, 'OK') }],
  ['headers', (socket) => { socket.write('HTTP/1.1 200 OK\r\n'); flood(socket, 'x-more: bytes\r\n') }],
  ['the name of a header', (socket) => { socket.write('HTTP/1.1 200 OK\r\n'); flood(socket, 'x') }],
  ['the value of a header', (socket) => { socket.write('HTTP/1.1 200 OK\r\nx-more: '); flood(socket, 'x') }],
  ['spaces before the value of a header', (socket) => { socket.write('HTTP/1.1 200 OK\r\nx-more:'); flood(socket, ' ') }],
  ['interim heads', (socket) => flood(socket, 'HTTP/1.1 103 Early Hints\r\n\r\n')],
  ['the size of a chunk', (socket, request) => { socket.write(signedHead(request, 'transfer-encoding: chunked\r\n')); flood(socket, '0') }],
  ['an extension of a chunk', (socket, request) => { socket.write(`${signedHead(request, 'transfer-encoding: chunked\r\n')}1;`); flood(socket, 'x') }],
  ['trailers', (socket, request) => { socket.write(`${signedHead(request, 'transfer-encoding: chunked\r\n')}1\r\nx\r\n0\r\n`); flood(socket, 'x-more: bytes\r\n') }]
]
for (const [name, script] of ENDLESS_HEADS) {
  // Guards against an answer that never leaves its head or framing: nothing ended it before the timeout of the request.
  test.serial(`a server that sends ${name} without end is given up and avoided`, async (t) => {
    await checkFlood(t, script, FRAMING)
  })
}

// Guards against limits that real answers reach.
test.serial('heads of 40 KiB in all, and many small chunks, are passed on', async (t) => {
  const long = `x-long: ${'x'.repeat(10 * 1_024)}\r\n`
  const port = await startRawServer(t, (socket, request) => {
    socket.write(`HTTP/1.1 103 Early Hints\r\n${long}\r\n`.repeat(3))
    socket.write(signedHead(request, `${long}transfer-encoding: chunked\r\n`))
    socket.end(`${'1\r\nx\r\n'.repeat(100_000)}0\r\n\r\n`)
  })
  const fixture = await ForwardFixture.startWithPorts(t, [port])
  const answer = await fixture.call('/patient/x')
  t.is(answer.status, 200)
  t.is(answer.body.length, 100_000)
})

// Guards against an event without end: it was buffered until the deadline, and copied with each of its chunks.
test.serial('a stream with an event without end goes on at another server after its last event', async (t) => {
  const endless: RawScript = (socket, request) => {
    socket.write(signedHead(request, 'connection: close\r\n') + event(1))
    flood(socket, 'data: x\n')
  }
  const fixture = await ForwardFixture.startWithPorts(t, [await startRawServer(t, endless), await startRawServer(t, streams)])
  for (let index = 0; index < REQUESTS; index += 1) t.like(await fixture.call('/stream/x'), { status: 200, body: event(1) + event(2) + event(3), whole: true })
  t.regex(fixture.linesOf('attempt.failed')[0] ?? '', /server=e0 end=oversized reason="an event of more than 1048576 bytes"/)
})

// Guards against processor time for nothing: each blank line is an event to split off, and 64 MiB of them were read.
for (const line of ['\n', '\r\n', ': wait\n\n']) {
  test.serial(`a stream of ${JSON.stringify(line)} without end goes on at another server after its last event`, async (t) => {
    const endless: RawScript = (socket, request) => {
      socket.write(signedHead(request, 'connection: close\r\n') + event(1))
      flood(socket, line)
    }
    const fixture = await ForwardFixture.startWithPorts(t, [await startRawServer(t, endless), await startRawServer(t, streams)])
    const answer = await fixture.call('/stream/x')
    t.deepEqual([answer.status, answer.whole, answer.body.replaceAll(': wait\n\n', '').replaceAll(/[\r\n]+/g, '\n')], [200, true, (event(1) + event(2) + event(3)).replaceAll('\n\n', '\n')])
    t.true(answer.body.length < 2 * MAX_EMPTY_BYTES)
    t.regex(fixture.linesOf('attempt.failed')[0] ?? '', /server=e0 end=oversized reason="more than 65536 bytes of comments and blank lines"/)
  })
}

test.serial('comments of less than the limit between events are passed on', async (t) => {
  const comments = ': wait\n\n'.repeat(5_000)
  const port = await startRawServer(t, (socket, request) => { socket.end(signedHead(request, 'connection: close\r\n') + [1, 2, 3].map((id) => event(id) + comments).join('')) })
  const fixture = await ForwardFixture.startWithPorts(t, [port])
  t.like(await fixture.call('/stream/x'), { status: 200, whole: true })
  t.is(fixture.linesOf('attempt.failed').length, 0)
})

test.serial('a stream with an event without end that may not be resumed never looks complete', async (t) => {
  const port = await startRawServer(t, (socket, request) => {
    socket.write(signedHead(request, 'transfer-encoding: chunked\r\n'))
    socket.write('f\r\nid: 1\ndata: x\n\n\r\n')
    flood(socket, '8\r\ndata: x\n\r\n')
  })
  const fixture = await ForwardFixture.startWithPorts(t, [port])
  t.like(await fixture.call('/once/x'), { body: event(1), whole: false })
  t.is(fixture.linesOf('attempt.failed').length, 1)
})

const ENDLESS_BODIES: ReadonlyArray<readonly [string, RawScript]> = [
  ['without a length', (socket, request) => { socket.write(signedHead(request, 'connection: close\r\n')); flood(socket, 'x') }],
  ['in chunks', (socket, request) => { socket.write(signedHead(request, 'transfer-encoding: chunked\r\n')); flood(socket, `400\r\n${'x'.repeat(1_024)}\r\n`) }],
  ['of a length that is too large', (socket, request) => { socket.write(signedHead(request, 'content-length: 99999999999\r\n')); flood(socket, 'x') }]
]
for (const [name, script] of ENDLESS_BODIES) {
  // Guards against an answer without end: all of it was kept in memory until the deadline of the request.
  test.serial(`a server that sends a body ${name} without end is given up and avoided`, async (t) => {
    await checkFlood(t, script, /an answer of more than \d+ bytes, of 33554432 for one/, '/patient/x')
  })
}

test.serial('an answer of 3 MiB is passed on', async (t) => {
  const body = 'x'.repeat(3 * 1_024 * 1_024)
  const port = await startRawServer(t, (socket, request) => { socket.end(signedHead(request, 'connection: close\r\n') + body) })
  const fixture = await ForwardFixture.startWithPorts(t, [port])
  const answer = await fixture.call('/patient/x')
  t.true(answer.whole && answer.body === body)
  t.is(answer.headers['content-length'], String(body.length))
})

// Guards against a failure without end: its body was kept in memory until the deadline of the request.
test.serial('a server that sends the body of a failure without end is given up and avoided', async (t) => {
  await checkFlood(t, (socket, request) => {
    socket.write(signedHead(request, 'connection: close\r\n', '500 Failed'))
    flood(socket, 'x')
  }, /the body of a failure of more than 1048576 bytes/)
})

test.serial('an unsafe request goes to another server after a refusal without end', async (t) => {
  const refuses: RawScript = (socket) => {
    socket.write(`HTTP/1.1 503 Full\r\n${HeaderName.NotRun}: 1\r\nconnection: close\r\n\r\n`)
    flood(socket, 'x')
  }
  const fixture = await ForwardFixture.startWithPorts(t, [await startRawServer(t, refuses), await startRawServer(t, answers)])
  for (let index = 0; index < REQUESTS; index += 1) t.is((await fixture.call('/unsafe/x')).status, 200)
  t.regex(fixture.linesOf('attempt.failed')[0] ?? '', /server=e0 end=not_run reason="the body of a failure/)
  t.regex(fixture.linesOf('server.avoided')[0] ?? '', /server=e0 .*evidence=faulty/)
})

test.serial('an unsafe request whose answer never ends is answered at once, and not sent again', async (t) => {
  let requests = 0
  const endless: RawScript = (socket, request) => {
    requests += 1
    socket.write(signedHead(request, 'connection: close\r\n'))
    flood(socket, 'x')
  }
  const fixture = await ForwardFixture.startWithPorts(t, [await startRawServer(t, endless), await startRawServer(t, endless)])
  t.is((await fixture.call('/unsafe/x')).status, 502)
  t.is(requests, 1)
})

/** Events that are all sound, without end. */
const endlessEvents: RawScript = (socket, request) => {
  socket.write(signedHead(request, 'connection: close\r\n'))
  flood(socket, `data: ${'x'.repeat(1_024)}\n\n`)
}

// Guards against a stream without end whose events are all complete: it was passed on until the deadline.
test.serial('a stream of complete events without end breaks off, and its server is avoided', async (t) => {
  const fixture = await ForwardFixture.startWithPorts(t, [await startRawServer(t, endlessEvents)])
  const answer = await fixture.call('/patient-once/x')
  t.false(answer.whole)
  t.true(answer.body.length <= MAX_STREAM_BYTES)
  t.regex(fixture.linesOf('attempt.failed')[0] ?? '', /end=oversized reason="a stream of more than/)
  t.is(fixture.linesOf('server.avoided').length, 1)
})

// Guards against a stream that fills the memory of the node because its caller does not read it.
test.serial('a stream without end whose caller does not read it is given up, and its server is not avoided', async (t) => {
  const fixture = await ForwardFixture.startWithPorts(t, [await startRawServer(t, endlessEvents)])
  const caller = connect(fixture.port, '127.0.0.1')
  t.teardown(() => { caller.destroy() })
  caller.pause()
  caller.write(`POST /patient-once/x HTTP/1.1\r\nhost: ${HOST}\r\nauthorization: Bearer ${KEY}\r\n${HeaderName.AttemptId}: a1\r\ncontent-length: 0\r\n\r\n`)
  while (fixture.linesOf('request.ended').length === 0) await sleep(POLL_MS)
  t.regex(fixture.linesOf('attempt.failed')[0] ?? '', /the caller has left more than/)
  t.is(fixture.linesOf('server.avoided').length, 0)
})
