import { once } from 'node:events'
import type { Socket } from 'node:net'
import { setImmediate, setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { DEPLOYMENT, ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'

const eventText = (id: number): string => `id: ${id}\ndata: x\n\n`

/** Allows a number of attempts on the routes of the fixture. */
const allowAttempts = (fixture: ForwardFixture, maxAttempts: number): void => {
  const routes = DEPLOYMENT.routes.map((route) => ({ ...route, maxAttempts }))
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
  allowAttempts(fixture, 3)
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
  allowAttempts(fixture, 3)
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

// Guards against a started answer that is broken off by the refusal of a search from before its silent server went on.
test('a refusal that comes after its search was needed does not end the request', async (t) => {
  let calls = 0
  let resumeFirst = (): unknown => undefined
  const sockets: Socket[] = []
  const script: Script = (request, response, socket) => {
    calls += 1
    sockets.push(socket)
    if (calls === 2) {
      socket.destroy()
      return
    }
    response.writeHead(200, signedHeaders(request))
    if (calls === 1) response.write(eventText(1))
    else response.end(eventText(3))
    if (calls === 1) resumeFirst = () => response.write(eventText(2))
  }
  const fixture = await ForwardFixture.start(t, script, script, script)
  allowAttempts(fixture, 4)
  const place = fixture.placement.place.bind(fixture.placement)
  let searches = 0
  let refuseLate = (): void => {}
  fixture.placement.place = async (...args) => {
    searches += 1
    if (searches === 3) {
      resumeFirst()
      return await new Promise((resolve) => { refuseLate = () => resolve({ type: 'refused', reason: 'no server', retryAfter: null }) })
    }
    if (searches === 4) {
      refuseLate()
      await setImmediate()
    }
    return await place(...args)
  }
  const answer = fixture.call('/pausing/x')
  while (fixture.linesOf('attempt.resumed').length === 0) await sleep(10)
  sockets[0]?.destroy()
  t.like(await answer, { status: 200, body: eventText(1) + eventText(2) + eventText(3), whole: true })
})
