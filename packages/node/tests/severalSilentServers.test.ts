import { once } from 'node:events'

import test from 'ava'

import { DEPLOYMENT, ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'

const eventText = (id: number): string => `id: ${id}\ndata: x\n\n`

/** Allows three attempts on the routes of the fixture. */
const allowThreeAttempts = (fixture: ForwardFixture): void => {
  const routes = DEPLOYMENT.routes.map((route) => ({ ...route, maxAttempts: 3 }))
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, routes }, 'store')
}

// Guards against a server that works on for a caller who has gone, because two more servers were silent after it.
test('when the caller disconnects after several silences, no server goes on with its request', async (t) => {
  const closed: Array<Promise<unknown>> = []
  const disconnection = new AbortController()
  const silent: Script = (request, response, socket) => {
    closed.push(once(socket, 'close'))
    if (closed.length === 1) response.writeHead(200, signedHeaders(request)).write(eventText(1))
    if (closed.length === 3) disconnection.abort()
  }
  const fixture = await ForwardFixture.start(t, silent, silent, silent)
  allowThreeAttempts(fixture)
  await fixture.call('/pausing/x', { disconnection: disconnection.signal }).catch(() => {})
  t.is(closed.length, 3)
  await Promise.all(closed)
})

// Guards against a started answer that is broken off because the servers that were to go on with it are silent too, or refuse.
test('a stream goes on at its silent server after another silent one', async (t) => {
  let calls = 0
  const script: Script = (request, response) => {
    calls += 1
    if (calls === 1) {
      response.writeHead(200, signedHeaders(request)).write(eventText(1))
      setTimeout(() => response.end(eventText(2)), 6_000)
    }
  }
  const fixture = await ForwardFixture.start(t, script, script, script)
  allowThreeAttempts(fixture)
  t.like(await fixture.call('/pausing/x'), { status: 200, body: eventText(1) + eventText(2), whole: true })
  t.is(calls, 3)
})

// Guards against a started answer that is broken off because the next server breaks off before it has sent an event.
test('a stream goes on at its silent server if the next one breaks off behind its head', async (t) => {
  let calls = 0
  const script: Script = (request, response, socket) => {
    calls += 1
    response.writeHead(200, signedHeaders(request))
    if (calls === 1) {
      response.write(eventText(1))
      setTimeout(() => response.end(eventText(2)), 3_000)
    } else {
      response.flushHeaders()
      setTimeout(() => socket.destroy(), 100)
    }
  }
  const fixture = await ForwardFixture.start(t, script, script)
  t.like(await fixture.call('/pausing/x'), { status: 200, body: eventText(1) + eventText(2), whole: true })
})
