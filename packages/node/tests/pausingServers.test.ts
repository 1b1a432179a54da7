import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import type { Millis } from '@bluebellhill/domain'
import { HeaderName } from '@bluebellhill/platform'

import { ForwardFixture, signedHeaders, TIME_FOR_TWO_ATTEMPTS } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'

/** Longer than the time without data after which another server is looked for. */
const LONG_PAUSE: Millis = 1_700

const eventText = (id: number): string => `id: ${id}\ndata: x\n\n`

const refuses: Script = (_, response) => { response.writeHead(503, { [HeaderName.NotRun]: '1' }).end() }

/** Sends one event, pauses, and sends the rest of the answer. */
const pauses: Script = (request, response) => {
  response.writeHead(200, signedHeaders(request))
  response.write(eventText(1))
  setTimeout(() => response.end(eventText(2)), LONG_PAUSE)
}

/** Script of two servers: the first to be asked sends one event, and the rest once the other one has refused the request. */
const pausesUntilRefused = (): { script: Script, calls: () => number } => {
  const responses: ServerResponse[] = []
  const script: Script = (request, response, socket) => {
    responses.push(response)
    if (responses.length === 1) {
      response.writeHead(200, signedHeaders(request)).write(eventText(1))
      return
    }
    refuses(request, response, socket)
    socket.once('close', () => responses[0]?.end(eventText(2)))
  }
  return { script, calls: () => responses.length }
}

// Guards against a started answer that is broken off because its server pauses and no other server can go on with it.
test('a stream whose server pauses goes on there if no other server can be chosen', async (t) => {
  const fixture = await ForwardFixture.start(t, pauses)
  t.like(await fixture.call('/pausing/x'), { status: 200, body: eventText(1) + eventText(2), whole: true })
})

// Guards against a request that fails although the only server that it may be sent to is about to answer.
test('a stream whose server pauses before its first event waits for it if no other server can be chosen', async (t) => {
  const fixture = await ForwardFixture.start(t, (request, response) => {
    setTimeout(() => response.writeHead(200, signedHeaders(request)).end(eventText(1)), LONG_PAUSE)
  })
  t.like(await fixture.call('/pausing/x'), { status: 200, body: eventText(1), whole: true })
})

// Guards against a started answer that is broken off because the configuration in force has no longer its service.
test('a stream whose server pauses goes on after a configuration without its service', async (t) => {
  let reached = (): void => {}
  const isSent = new Promise<void>((resolve) => { reached = resolve })
  const script: Script = (...args) => {
    pauses(...args)
    reached()
  }
  const fixture = await ForwardFixture.start(t, script, script)
  const answer = fixture.call('/pausing/x')
  await isSent
  fixture.removeServices()
  t.like(await answer, { status: 200, body: eventText(1) + eventText(2), whole: true })
})

// Guards against a started answer that is broken off because the server that was to go on with it refuses.
test('a stream whose server pauses goes on there if the next server refuses it', async (t) => {
  const servers = pausesUntilRefused()
  const fixture = await ForwardFixture.start(t, servers.script, servers.script)
  t.like(await fixture.call('/pausing/x'), { status: 200, body: eventText(1) + eventText(2), whole: true })
})

// Guards against a started answer that is broken off because memory on other engines is reserved for it.
test('a stream with reserved memory whose server pauses goes on there if the next server refuses it', async (t) => {
  const servers = pausesUntilRefused()
  const script: Script = (request, response, socket) => {
    if (request.url?.startsWith('/api/') === true) response.writeHead(200, { 'content-type': 'application/json' }).end('{"free":1}')
    else servers.script(request, response, socket)
  }
  const fixture = await ForwardFixture.start(t, script, script)
  const place = fixture.placement.place.bind(fixture.placement)
  fixture.placement.place = async (...args) => {
    const placement = await place(...args)
    if (placement.type === 'refused') return placement
    const { choice } = placement.attempt
    return { type: 'placed', attempt: { ...placement.attempt, choice: { ...choice, holders: [{ server: choice.server, tokens: 100 }] } } }
  }
  t.like(await fixture.call('/pausing/x'), { status: 200, body: eventText(1) + eventText(2), whole: true })
  t.is(servers.calls(), 2)
})

// Guards against a request that loses the server which answers it, because the one that was silent refuses it in the end.
test('a server that refuses a request after a silence does not end the attempt that has replaced it', async (t) => {
  const silent: Array<Parameters<Script>> = []
  const script: Script = (request, response, socket) => {
    silent.push([request, response, socket])
    if (silent.length === 1) return
    const [[firstRequest, firstResponse, firstSocket]] = silent as [Parameters<Script>]
    firstSocket.once('close', () => response.writeHead(200, signedHeaders(request)).end(eventText(1)))
    refuses(firstRequest, firstResponse, firstSocket)
  }
  const fixture = await ForwardFixture.start(t, script, script)
  t.like(await fixture.call('/pausing/x'), { status: 200, body: eventText(1), whole: true })
  t.is(silent.length, 2)
})

// Guards against a request that loses the server which answers it, because the one that was silent ends inside an event.
test('a server that ends inside an event after a silence does not end the attempt that has replaced it', async (t) => {
  const responses: ServerResponse[] = []
  const script: Script = (request, response) => {
    responses.push(response)
    if (responses.length === 1) {
      response.writeHead(200, signedHeaders(request)).write(eventText(1) + eventText(2).slice(0, 5))
      return
    }
    const [first] = responses as [ServerResponse]
    first.socket?.once('close', () => response.writeHead(200, signedHeaders(request)).end(eventText(2)))
    first.end()
  }
  const fixture = await ForwardFixture.start(t, script, script)
  t.like(await fixture.call('/pausing/x'), { status: 200, body: eventText(1) + eventText(2), whole: true })
  t.is(responses.length, 2)
})

// Guards against a started answer that is broken off because its server goes on while another one is asked.
test('a stream goes on at its silent server if that is the first to send something', async (t) => {
  const responses: ServerResponse[] = []
  const script: Script = (request, response) => {
    responses.push(response)
    if (responses.length === 1) response.writeHead(200, signedHeaders(request)).write(eventText(1))
    else responses[0]?.end(eventText(2))
  }
  const fixture = await ForwardFixture.start(t, script, script)
  t.like(await fixture.call('/pausing/x'), { status: 200, body: eventText(1) + eventText(2), whole: true })
  t.is(responses.length, 2)
  t.regex(fixture.linesOf('attempt.resumed')[0] ?? '', /cause=data/)
})

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

// Guards against a complete looking answer that lacks its first bytes, because they were discarded with the attempt that was to replace it.
test('an answer whose server pauses is whole if the next server fails', async (t) => {
  const responses: ServerResponse[] = []
  const script: Script = (request, response, socket) => {
    responses.push(response)
    if (responses.length === 1) {
      response.writeHead(200, signedHeaders(request)).write('first ')
      return
    }
    response.writeHead(200, { [HeaderName.AttemptId]: String(request.headers[HeaderName.AttemptId]) }).end('unsigned')
    socket.once('close', () => responses[0]?.end('last'))
  }
  const fixture = await ForwardFixture.start(t, script, script)
  t.like(await fixture.call('/safe/x', { headers: { [HeaderName.Deadline]: TIME_FOR_TWO_ATTEMPTS } }), { status: 200, body: 'first last', whole: true })
  t.is(responses.length, 2)
})

// Guards against a server that works on for a caller who has gone, because its attempt was set aside for another one.
test('when the caller disconnects, no server goes on with its request', async (t) => {
  const closed: Array<Promise<unknown>> = []
  const disconnection = new AbortController()
  const silent: Script = (request, response, socket) => {
    closed.push(once(socket, 'close'))
    if (closed.length === 1) response.writeHead(200, signedHeaders(request)).write(eventText(1))
    else disconnection.abort()
  }
  const fixture = await ForwardFixture.start(t, silent, silent)
  await fixture.call('/pausing/x', { disconnection: disconnection.signal }).catch(() => {})
  t.is(closed.length, 2)
  await Promise.all(closed)
})
