/** Requests that arrive while the process is held up; alone in its process, since it holds up all others there. */
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { answers, headText, openCaller } from './callers.js'
import { DEPLOYMENT, ForwardFixture } from './forwardFixture.js'

/** Longer than a new connection is kept for its first request. */
const HOLD_UP = 1_300

// Guards against requests without an answer: after a hold-up of the process their connections were closed as idle before they were read.
test.serial('a request that has arrived on a new connection during a hold-up of a stopping node is answered', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, limits: { ...DEPLOYMENT.limits, headerTimeout: 10_000 } }, 'store')
  const { socket, received } = await openCaller(t, fixture)
  await sleep(50)
  const ended = once(socket, 'end')
  const stopped = fixture.entry.stop(5_000)
  await sleep(50)
  // The timers that have expired run next, before any input is read.
  await new Promise<void>((resolve) => { setImmediate(resolve) })
  socket.write(headText('/safe/x', 'content-length: 0'))
  const heldUntil = performance.now() + HOLD_UP
  while (performance.now() < heldUntil);
  await ended
  t.regex(received(), /^HTTP\/1\.1 200 /)
  await stopped
})

// Guards against a request that is refused as too slow although it has arrived: after a hold-up of the process the time for its head was over.
test.serial('a request that has arrived during a hold-up beyond the time for a head is answered', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  const { socket, received } = await openCaller(t, fixture)
  await sleep(50)
  await new Promise<void>((resolve) => { setImmediate(resolve) })
  socket.write(headText('/safe/x', 'content-length: 0', 'connection: close'))
  const heldUntil = performance.now() + HOLD_UP
  while (performance.now() < heldUntil);
  await once(socket, 'end')
  t.regex(received(), /^HTTP\/1\.1 200 /)
})
