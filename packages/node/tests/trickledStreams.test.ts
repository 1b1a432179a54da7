/** Streams that are slow but sound, and callers and servers that have stalled but send a byte now and then. */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'

import test from 'ava'

import { HeaderName } from '@bluebellhill/platform'
import type { Millis } from '@bluebellhill/domain'

import { headText, openCaller } from './callers.js'
import { ForwardFixture, signedHeaders, TIME_FOR_TWO_ATTEMPTS } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'

/** Just within the time without an event that the routes of the fixture allow, which is 1.3 s. */
const ALLOWED_PAUSE: Millis = 1_100

const TRICKLE_PERIOD: Millis = 100

const eventText = (id: number): string => `id: ${id}\ndata: x\n\n`

const trickle = (response: ServerResponse, bytes: string): void => {
  const timer = setInterval(() => response.write(bytes), TRICKLE_PERIOD)
  response.once('close', () => clearInterval(timer))
}

/** The first attempt stalls after its first event; a further one sends the rest. */
const stallsWith = (bytes: string): Script => {
  let attempts = 0
  return (request, response) => {
    attempts += 1
    response.writeHead(200, signedHeaders(request))
    if (attempts > 1) response.end(eventText(2))
    else response.write(eventText(1), () => trickle(response, bytes))
  }
}

// Guards against a stalled stream that lasts until its deadline because single bytes count as progress.
for (const [name, bytes] of [['bytes of one event', 'x'], ['comments', ': x\n\n'], ['blank lines', '\r\n']] as const) {
  test(`a stalled stream that sends only ${name} goes on at another server`, async (t) => {
    const script = stallsWith(bytes)
    const fixture = await ForwardFixture.start(t, script, script)
    const answer = await fixture.call('/pausing/x', { headers: { [HeaderName.Deadline]: TIME_FOR_TWO_ATTEMPTS } })
    t.true(answer.whole)
    t.deepEqual(answer.body.match(/id: \d/g), ['id: 1', 'id: 2'])
  })
}

// Guards against an answer without any event that passes for a success.
test('a stream of comments only is not an answer', async (t) => {
  const fixture = await ForwardFixture.start(t, (request, response) => { response.writeHead(200, signedHeaders(request)).end(': x\n\n') })
  t.is((await fixture.call('/once/x')).status, 502)
})

test('a stalled stream that no other server may continue ends at its deadline', async (t) => {
  const fixture = await ForwardFixture.start(t, stallsWith(': x\n\n'))
  const startedAt = performance.now()
  const answer = await fixture.call('/once/x', { headers: { [HeaderName.Deadline]: '1000' } })
  t.false(answer.whole)
  t.true(performance.now() - startedAt < 2_000)
})

// Guards against a sound stream that is cut off, or begun anew at another server, because it is slow.
test('a stream whose events come just within the allowed pause stays at its server', async (t) => {
  const count = 6
  const script: Script = (request, response) => {
    response.writeHead(200, signedHeaders(request)).write(eventText(0))
    for (let id = 1; id < count; id += 1) setTimeout(() => response.write(eventText(id)), id * ALLOWED_PAUSE)
    setTimeout(() => response.end(), count * ALLOWED_PAUSE)
  }
  const fixture = await ForwardFixture.start(t, script, script)
  const { body, whole } = await fixture.call('/pausing/x')
  t.deepEqual([whole, body.match(/id:/g)?.length], [true, count])
  t.deepEqual(fixture.linesOf('attempt.failed'), [])
})

// Guards against requests that occupy their connection for ever, since only complete ones had a deadline.
test('a request whose body trickles is refused at its deadline', async (t) => {
  const fixture = await ForwardFixture.start(t, () => {})
  const { socket, received } = await openCaller(t, fixture)
  const startedAt = performance.now()
  socket.write(headText('/safe/x', 'content-length: 1000', `${HeaderName.Deadline}: 500`))
  const timer = setInterval(() => socket.write('x'), TRICKLE_PERIOD)
  await once(socket, 'end')
  clearInterval(timer)
  t.regex(received(), /^HTTP\/1\.1 503 /)
  t.true(performance.now() - startedAt < 2_000)
})
