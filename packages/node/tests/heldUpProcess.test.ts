import test from 'ava'

import type { Millis } from '@bluebellhill/domain'

import { ForwardFixture, signedHeaders } from './forwardFixture.js'
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
