/** The end of a stop during which the process is held up; alone in its process, since it holds up all others there. */
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import type { Millis } from '@bluebellhill/domain'

import { answers, headText, openCaller } from './callers.js'
import { DEPLOYMENT, ForwardFixture, signedHeaders } from './forwardFixture.js'
import { until } from './quarantineFixture.js'

const holdUp = (time: Millis): void => {
  const heldUntil = performance.now() + time
  while (performance.now() < heldUntil);
}

// Guards against answers that are cut off although they have arrived: after a hold-up of the process the timer of the stop runs before they are read.
test.serial('answers that have arrived when the stop grace is over are passed on', async (t) => {
  let answer = (): void => {}
  const fixture = await ForwardFixture.start(t, (request, response) => { answer = () => { response.writeHead(200, signedHeaders(request)).end('answer') } })
  const call = fixture.call('/patient/x')
  await until(() => fixture.linesOf('request.sent').length === 1)
  const stopped = fixture.entry.stop(400)
  await sleep(100)
  // The timers that have expired run next, before any input is read.
  await new Promise<void>((resolve) => { setImmediate(resolve) })
  answer()
  holdUp(800)
  t.is((await call).status, 200)
  await stopped
})

// Guards against a request without an answer: its connection was closed as idle by a timer that ran before the request was read.
test.serial('a request that has arrived during a hold-up in a stop is answered', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, limits: { ...DEPLOYMENT.limits, headerTimeout: 10_000 } }, 'store')
  const { socket, received } = await openCaller(t, fixture)
  const stopped = fixture.entry.stop(10_000)
  await sleep(100)
  await new Promise<void>((resolve) => { setImmediate(resolve) })
  socket.write(headText('/safe/x', 'content-length: 0'))
  holdUp(1_300)
  await once(socket, 'end')
  t.regex(received(), /^HTTP\/1\.1 200 /)
  await stopped
})
