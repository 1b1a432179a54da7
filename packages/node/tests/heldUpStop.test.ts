/** The end of a stop during which the process is held up; alone in its process, since it holds up all others there. */
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { ForwardFixture, signedHeaders } from './forwardFixture.js'
import { until } from './quarantineFixture.js'

// Guards against answers that are cut off although they have arrived: after a hold-up of the process the timer of the stop runs before they are read.
test('answers that have arrived when the stop grace is over are passed on', async (t) => {
  let answer = (): void => {}
  const fixture = await ForwardFixture.start(t, (request, response) => { answer = () => { response.writeHead(200, signedHeaders(request)).end('answer') } })
  const call = fixture.call('/patient/x')
  await until(() => fixture.linesOf('request.sent').length === 1)
  const stopped = fixture.entry.stop(400)
  await sleep(100)
  // The timers that have expired run next, before any input is read.
  await new Promise<void>((resolve) => { setImmediate(resolve) })
  answer()
  const heldUntil = performance.now() + 800
  while (performance.now() < heldUntil);
  t.is((await call).status, 200)
  await stopped
})
