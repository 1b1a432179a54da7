/** Answers with neither a length nor chunks, which end with their connection, and answers that pause. */
import type { Socket } from 'node:net'

import test from 'ava'

import { ForwardFixture } from './forwardFixture.js'
import { signedHead, startRawServer } from './rawServer.js'

const event = (id: number): string => `id: ${id}\ndata: x\n\n`

const WHOLE_STREAM = [1, 2, 3].map(event).join('')

/** Time after which written bytes have arrived. */
const ARRIVAL_MS = 50

/** Head of an answer that ends with its connection. */
const openHead = (request: string, status?: string): string => signedHead(request, '', status)

const resetLater = (socket: Socket): void => { setTimeout(() => socket.resetAndDestroy(), ARRIVAL_MS) }

const resumedAt = (request: string): number => Number(/^last-event-id: (\d+)/im.exec(request)?.[1] ?? 0)

test('a stream without a length or chunks is whole if its connection ends between two events', async (t) => {
  const port = await startRawServer(t, (socket, request) => { socket.end(openHead(request) + WHOLE_STREAM) })
  const fixture = await ForwardFixture.startWithPorts(t, [port])
  const answer = await fixture.call('/once/x')
  t.like(answer, { status: 200, body: WHOLE_STREAM, whole: true })
  t.is(answer.headers['transfer-encoding'], 'chunked')
  t.is(fixture.linesOf('attempt.failed').length, 0)
})

// Guards against a broken stream that looks complete because its framing cannot tell.
test('a stream without a length or chunks that ends inside an event has been broken off', async (t) => {
  const port = await startRawServer(t, (socket, request) => { socket.end(openHead(request) + WHOLE_STREAM.slice(0, -1)) })
  const fixture = await ForwardFixture.startWithPorts(t, [port])
  t.like(await fixture.call('/once/x'), { body: event(1) + event(2), whole: false })
})

test('a stream without a length or chunks that ends inside an event goes on at another server', async (t) => {
  const scripts = await Promise.all([0, 1].map(async () => await startRawServer(t, (socket, request) => {
    const rest = WHOLE_STREAM.slice(resumedAt(request) * event(1).length)
    socket.end(openHead(request) + (resumedAt(request) === 0 ? rest.slice(0, event(1).length + 5) : rest))
  })))
  const fixture = await ForwardFixture.startWithPorts(t, scripts)
  t.like(await fixture.call('/stream/x'), { status: 200, body: WHOLE_STREAM, whole: true })
  t.regex(fixture.linesOf('attempt.failed')[0] ?? '', /end=lost reason="the answer ended before it was complete"/)
})

// Guards against a reset that passes for the end of an answer without a length.
test('a stream without a length or chunks that is reset between two events is not whole', async (t) => {
  const port = await startRawServer(t, (socket, request) => {
    socket.write(openHead(request) + event(1))
    resetLater(socket)
  })
  const fixture = await ForwardFixture.startWithPorts(t, [port])
  t.like(await fixture.call('/once/x'), { body: event(1), whole: false })
})

test('an answer without a length or chunks is passed on with a length, also if it is empty', async (t) => {
  for (const body of ['answer', '']) {
    const port = await startRawServer(t, (socket, request) => { socket.end(openHead(request) + body) })
    const fixture = await ForwardFixture.startWithPorts(t, [port])
    const answer = await fixture.call('/unsafe/x')
    t.like(answer, { status: 200, body, whole: true })
    t.is(answer.headers['content-length'], String(body.length))
  }
})

test('an answer without a length or chunks that is reset is not passed on', async (t) => {
  const port = await startRawServer(t, (socket, request) => {
    socket.write(`${openHead(request)}answer`)
    resetLater(socket)
  })
  const fixture = await ForwardFixture.startWithPorts(t, [port])
  t.like(await fixture.call('/unsafe/x'), { status: 502, whole: true })
})

test('a failure without a length or chunks is passed on with its body', async (t) => {
  const port = await startRawServer(t, (socket, request) => { socket.end(`${openHead(request, '500 Failed')}failure`) })
  const fixture = await ForwardFixture.startWithPorts(t, [port])
  t.like(await fixture.call('/unsafe/x'), { status: 500, body: 'failure', whole: true })
})

/** A silence in the middle of an answer that is no sign of trouble. */
const SILENCE_MS = 1_000

for (const route of ['patient', 'patient-unsafe', 'patient-stream', 'patient-once']) {
  // Guards against a sound server that is given up because it falls silent for a second.
  test(`an answer on the route ${route} whose server falls silent for a second is whole`, async (t) => {
    const start = event(1).length
    const port = await startRawServer(t, (socket, request) => {
      socket.write(openHead(request) + WHOLE_STREAM.slice(0, start))
      setTimeout(() => { socket.end(WHOLE_STREAM.slice(start)) }, SILENCE_MS)
    })
    const fixture = await ForwardFixture.startWithPorts(t, [port, port])
    t.like(await fixture.call(`/${route}/x`), { status: 200, body: WHOLE_STREAM, whole: true })
    t.deepEqual(fixture.linesOf('attempt.failed'), [])
  })
}

test('a stream whose server is silent for longer than another attempt may wait goes on at another server', async (t) => {
  let requests = 0
  const port = await startRawServer(t, (socket, request) => {
    requests += 1
    if (requests === 1) socket.write(openHead(request) + event(1))
    else socket.end(openHead(request) + WHOLE_STREAM.slice(resumedAt(request) * event(1).length))
  })
  const fixture = await ForwardFixture.startWithPorts(t, [port, port])
  t.like(await fixture.call('/patient-stream/x'), { status: 200, body: WHOLE_STREAM, whole: true })
  t.is(fixture.linesOf('attempt.failed').length, 1)
})
