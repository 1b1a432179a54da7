import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import type { Millis } from '@bluebellhill/domain'

import { ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'

/** Longer than the time without data after which another server is looked for. */
const LONG_PAUSE: Millis = 1_700

const eventText = (id: number): string => `id: ${id}\ndata: x\n\n`

// Guards against an attempt that is given up although its data has arrived while the scheduler was asked about the pause.
test('data that arrives while the scheduler is asked about a pause keeps the attempt', async (t) => {
  let calls = 0
  let hasGoneOn = (): void => {}
  const goesOn = new Promise<void>((resolve) => { hasGoneOn = resolve })
  const script: Script = (request, response) => {
    calls += 1
    response.writeHead(200, signedHeaders(request)).write(eventText(1))
    setTimeout(() => response.write(eventText(2), () => hasGoneOn()), LONG_PAUSE)
    setTimeout(() => response.end(eventText(3)), 1.5 * LONG_PAUSE)
  }
  const fixture = await ForwardFixture.start(t, script, script)
  fixture.placement.explainedSilence = async () => { await goesOn; await sleep(100); return 0 }
  t.like(await fixture.call('/pausing/x'), { status: 200, body: eventText(1) + eventText(2) + eventText(3), whole: true })
  t.is(calls, 1)
})
