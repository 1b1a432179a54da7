/** Callers that send requests on one connection without waiting for the answers. */
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import type { Millis } from '@bluebellhill/domain'

import { MAX_PIPELINED } from '../src/forward/entry/CallerConnections.js'
import { answers, headText, openCaller } from './callers.js'
import { DEPLOYMENT, ForwardFixture, signedHeaders } from './forwardFixture.js'

/** Largest number of bytes that Node.js reads from a connection at once. */
const READ_BYTES = 65_536

const requestText = (number: number): string => headText('/patient/x', 'content-length: 0').replace(': a\r\n', `: a${number}\r\n`)

const requests = (count: number): string => Array.from({ length: count }, (_, index) => requestText(index)).join('')

/** Time in which a connection that is not held would be read completely. */
const READING_TIME: Millis = 1_000

/** Number of requests that more than one read is needed for. */
const SOUND_REQUESTS = 800

/** Longest time that a test waits for anything, on a busy machine. */
const WAIT_LIMIT: Millis = 60_000

const until = async (condition: () => boolean): Promise<void> => {
  const limit = performance.now() + WAIT_LIMIT
  while (!condition() && performance.now() < limit) await sleep(5)
}

const countAnswers = (text: string): number => text.split('HTTP/1.1 200 ').length - 1

// Guards against a node that is busy for minutes, and short of memory, with the requests that one caller sends on one connection.
test('a node takes no more requests of a connection than it may have open', async (t) => {
  const fixture = await ForwardFixture.start(t, () => {})
  const { socket } = await openCaller(t, fixture)
  socket.write(requests(10_000))
  await until(() => fixture.entry.openRequests > 0)
  await sleep(READING_TIME)
  const taken = fixture.linesOf('request.sent').length
  t.true(taken <= MAX_PIPELINED + Math.ceil(READ_BYTES / requestText(0).length), `${taken} taken`)
  t.true(fixture.entry.openRequests > 0)
})

// Guards against requests that stay unread once their connection was held.
test('all requests of a connection are answered in the end', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  const { socket, received } = await openCaller(t, fixture)
  socket.write(requests(SOUND_REQUESTS))
  await until(() => countAnswers(received()) === SOUND_REQUESTS)
  t.is(countAnswers(received()), SOUND_REQUESTS)
})

// Guards against a request that is refused as too slow although this node has not read it.
test('a head that a held connection has cut in two is no slow head', async (t) => {
  const release: Array<() => void> = []
  let isReleased = false
  const fixture = await ForwardFixture.start(t, (request, response) => {
    const answer = (): void => { response.writeHead(200, signedHeaders(request)).end('answer') }
    if (isReleased) answer()
    else release.push(answer)
  })
  const { socket, received } = await openCaller(t, fixture)
  socket.write(requests(SOUND_REQUESTS))
  await until(() => release.length > 0)
  await sleep(2 * DEPLOYMENT.limits.headerTimeout)
  isReleased = true
  for (const answer of release) answer()
  await until(() => countAnswers(received()) === SOUND_REQUESTS)
  t.is(countAnswers(received()), SOUND_REQUESTS)
  t.deepEqual(fixture.linesOf('request.refused'), [])
})

// Guards against requests that stay open for good once their caller has left a held connection: nobody reads there that it has left.
test('the requests of a caller that has left a held connection end when the first of them is answered', async (t) => {
  const release: Array<() => void> = []
  const fixture = await ForwardFixture.start(t, (request, response) => {
    release.push(() => { response.writeHead(200, signedHeaders(request)).end('answer') })
  })
  const { socket } = await openCaller(t, fixture)
  socket.write(requests(10_000))
  await until(() => fixture.entry.openRequests > MAX_PIPELINED && release.length > 0)
  socket.resetAndDestroy()
  for (const answer of release) answer()
  await until(() => fixture.entry.openRequests === 0)
  t.is(fixture.entry.openRequests, 0)
})
