/** Requests that a caller sends on one connection without waiting for answers, at a node that stops. */
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { headText, openCaller } from './callers.js'
import { ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'
import { until } from './quarantineFixture.js'

/** Work of each request. */
const WORK = 300

const collecting = (runs: string[]): Script => (request, response) => {
  runs.push(String(request.url))
  setTimeout(() => response.writeHead(200, signedHeaders(request)).end('answer'), WORK)
}

const answersIn = (received: string): number => received.split('HTTP/1.1 200 ').length - 1

// Guards against LOST: a stopping node closed the connection behind the first answer, while further requests of it ran at a server.
test('all requests of a connection that have been sent to a server are answered when the node stops', async (t) => {
  const runs: string[] = []
  const fixture = await ForwardFixture.start(t, collecting(runs))
  const { socket, received } = await openCaller(t, fixture)
  socket.write([1, 2, 3].map((number) => headText(`/patient-unsafe/${number}`, 'content-length: 0')).join(''))
  await until(() => runs.length === 3)
  const ended = once(socket, 'end')
  await fixture.entry.stop(4_000)
  await ended
  t.is(answersIn(received()), 3)
  t.regex(received(), /connection: close\r\n(?!.*HTTP\/1\.1 200)/s)
})

// Guards against LOST: as above, for a request that is read while the node stops.
test('a request that is read during a stop behind one in progress is answered', async (t) => {
  const runs: string[] = []
  const fixture = await ForwardFixture.start(t, collecting(runs))
  const { socket, received } = await openCaller(t, fixture)
  socket.write(headText('/patient-unsafe/1', 'content-length: 0'))
  await until(() => runs.length === 1)
  const ended = once(socket, 'end')
  const stopped = fixture.entry.stop(4_000)
  await sleep(WORK / 2)
  socket.write(headText('/patient-unsafe/2', 'content-length: 0'))
  await Promise.all([stopped, ended])
  t.is(runs.length, 2)
  t.is(answersIn(received()), 2)
})

// Guards against a request that runs although its connection closes before its answer: the answer in progress has announced so.
test('a request behind an answer that has announced the end of its connection does not run', async (t) => {
  const runs: string[] = []
  const fixture = await ForwardFixture.start(t, (request, response) => {
    runs.push(String(request.url))
    response.writeHead(200, signedHeaders(request))
    setTimeout(() => response.write('id: 1\ndata: {}\n\n'), WORK)
    setTimeout(() => response.end('id: 2\ndata: [DONE]\n\n'), 3 * WORK)
  })
  const { socket, received } = await openCaller(t, fixture)
  socket.write(headText('/patient-stream/1', 'content-length: 0'))
  await until(() => runs.length === 1)
  const stopped = fixture.entry.stop(4_000)
  await until(() => received().includes('id: 1'))
  t.regex(received(), /connection: close/)
  socket.write(headText('/patient-unsafe/2', 'content-length: 0'))
  await stopped
  t.deepEqual(runs, ['/patient-stream/1'])
})
