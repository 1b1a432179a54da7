/** A stop while connections wait to be accepted; alone in its process, whose turns it makes long. */
import { connect } from 'node:net'
import { once } from 'node:events'

import test from 'ava'

import { ForwardFixture } from './forwardFixture.js'
import { until } from './quarantineFixture.js'

const GRACE = 1_000
const WRITE_OUT = 500

/** Connections that wait when the node is stopped, and how long each turn of the event loop takes meanwhile. */
const CONNECTIONS = 300
const TURN = 10

/** Keeps the process busy until it is told to end. */
const lengthenTurns = (): (() => void) => {
  let isOver = false
  const turn = (): void => {
    if (isOver) return
    const heldUntil = performance.now() + TURN
    while (performance.now() < heldUntil);
    setImmediate(turn)
  }
  turn()
  return () => { isOver = true }
}

// Guards against LOST: the stop grace began only once all waiting connections were accepted, so that the platform killed a busy node before its end.
test('the stop grace of a busy node counts from the beginning of its stop', async (t) => {
  const fixture = await ForwardFixture.start(t, () => {})
  const call = fixture.call('/patient/x')
  await until(() => fixture.linesOf('request.sent').length === 1)
  const sockets = Array.from({ length: CONNECTIONS }, () => connect({ port: fixture.port, host: '127.0.0.1' }).on('error', () => {}))
  t.teardown(() => { for (const socket of sockets) socket.destroy() })
  const endBusyTurns = lengthenTurns()
  t.teardown(endBusyTurns)
  await once(sockets[0]!, 'connect')
  const stoppedAt = performance.now()
  const stopped = fixture.entry.stop(GRACE, WRITE_OUT)
  t.is((await call).status, 502)
  const endedAfter = performance.now() - stoppedAt
  endBusyTurns()
  t.true(endedAfter < GRACE + WRITE_OUT, `${Math.round(endedAfter)} ms`)
  await stopped
})
