import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import type { Millis } from '@bluebellhill/domain'
import { HeaderName } from '@bluebellhill/platform'

import { PendingQueries, QUERY_TIMING } from '../src/forward/peers/PendingQueries.js'
import { answers, headText, openCaller } from './callers.js'
import { DEPLOYMENT, ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'

/** Longer than the time without data after which another server is looked for. */
const LONG_TIME: Millis = 1_700

/** Occupies the process, so that all timers are late. */
const holdUp = (time: Millis): void => {
  const until = performance.now() + time
  while (performance.now() < until) { /* nothing else runs */ }
}

const eventText = (id: number): string => `id: ${id}\ndata: x\n\n`

// Guards against an attempt that is given up although its data waits to be read, because this process was held up.
test.serial('data that has arrived while the process was held up is read before the attempt is given up', async (t) => {
  let calls = 0
  const script: Script = (request, response) => {
    calls += 1
    response.writeHead(200, signedHeaders(request)).write(eventText(1))
    // Timers are run next after this callback.
    setTimeout(() => setImmediate(() => {
      response.end(eventText(2))
      holdUp(LONG_TIME)
    }), 100)
  }
  const fixture = await ForwardFixture.start(t, script, script)
  t.like(await fixture.call('/pausing/x'), { status: 200, body: eventText(1) + eventText(2), whole: true })
  t.is(calls, 1)
  t.deepEqual(fixture.linesOf('attempt.failed'), [])
})

// Guards against a request without an answer: its connection expired while the request waited to be read.
test.serial('a request that has arrived on an idle connection while the process was held up is answered', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, limits: { ...DEPLOYMENT.limits, idleTimeout: 500 } }, 'store')
  const { socket, received } = await openCaller(t, fixture)
  socket.write(headText('/safe/first', 'content-length: 0'))
  while (!received().includes('answer')) await once(socket, 'data')
  await sleep(100)
  const ended = once(socket, 'end')
  // Timers are run next after this callback.
  setImmediate(() => {
    socket.write(headText('/safe/second', 'content-length: 0'))
    holdUp(2_000)
  })
  await ended
  t.is(received().split('answer').length, 3)
})

// Guards against a request that runs after its caller was told that it has not, or has left: its grant may be read before the timer of the deadline runs.
test.serial('a request whose deadline passed while the process was held up is not sent', async (t) => {
  let calls = 0
  const fixture = await ForwardFixture.start(t, (request, response) => {
    calls += 1
    response.writeHead(200, signedHeaders(request)).end('answer')
  })
  const { place } = fixture.placement
  fixture.placement.place = async (...rest) => {
    const placement = await place.apply(fixture.placement, rest)
    holdUp(600)
    return placement
  }
  const { status } = await fixture.call('/safe/x', { headers: { [HeaderName.Deadline]: '300' } })
  t.deepEqual([status, calls], [503, 0])
})

// Guards against a scheduler that counts as unanswered although its reply waits to be read.
test.serial('a reply that has arrived while the process was held up is taken', async (t) => {
  const socket = createSocket('udp4')
  t.teardown(() => { socket.close() })
  socket.bind(0, '127.0.0.1')
  await once(socket, 'listening')
  const queries = new PendingQueries<string>(QUERY_TIMING)
  socket.on('message', (message) => { queries.answer(1, String(message)) })
  let wasHeldUp = false
  const reply = await queries.ask(1, () => {
    if (wasHeldUp) return
    wasHeldUp = true
    // Timers are run next after this callback.
    setImmediate(() => {
      socket.send('the reply', socket.address().port, '127.0.0.1')
      // The datagram is sent after its address is looked up, in this turn.
      process.nextTick(() => { process.nextTick(() => { holdUp(4 * QUERY_TIMING.timeout) }) })
    })
  })
  t.is(reply, 'the reply')
})
