/** What a node takes and sends after its stop has begun, and what becomes of the requests that its end cuts off. */
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import type { Millis } from '@bluebellhill/domain'
import { HeaderName } from '@bluebellhill/platform'

import { headText, openCaller } from './callers.js'
import type { RawCaller } from './callers.js'
import { ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'
import { until } from './quarantineFixture.js'

/** Answers after which a node knows how long those of a route take. */
const KNOWN_ANSWERS = 12

const answersAfter = (delay: Millis, runs: string[]): Script => (request, response) => {
  runs.push(String(request.url))
  setTimeout(() => response.writeHead(200, signedHeaders(request)).end('answer'), delay)
}

/** A node whose server answers after a delay, and the requests that have run there. */
const startNode = async (t: ExecutionContext, delay: Millis): Promise<{ fixture: ForwardFixture, runs: string[] }> => {
  const runs: string[] = []
  const fixture = await ForwardFixture.start(t, answersAfter(delay, runs))
  return { fixture, runs }
}

/** Lets the node learn how long the answers of a route take. */
const learn = async (fixture: ForwardFixture, route: string): Promise<void> => {
  await Promise.all(Array.from({ length: KNOWN_ANSWERS }, async () => { await fixture.call(`/${route}/known`) }))
}

/** Sends a request except for its last two bytes. */
const beginRequest = async (t: ExecutionContext, fixture: ForwardFixture, path: string, ...headers: string[]): Promise<RawCaller> => {
  const caller = await openCaller(t, fixture)
  const { openRequests } = fixture.entry
  caller.socket.write(`${headText(path, 'content-length: 4', ...headers)}bo`)
  await until(() => fixture.entry.openRequests === openRequests + 1)
  return caller
}

const finishAfter = async ({ socket }: RawCaller, delay: Millis): Promise<void> => {
  await sleep(delay)
  socket.write('dy')
  await once(socket, 'end')
}

const REFUSED_AS_STOPPING = /^HTTP\/1\.1 503 .*retry-after: 0\r\n.*"code":"stopping"/s

// Guards against LOST: a stopping node took requests that it could not answer before its end, and cut them off.
for (const route of ['unsafe', 'safe', 'once']) {
  test(`a request for /${route}/ that is read too late to be answered before the stop ends is refused, and does not run`, async (t) => {
    const { fixture, runs } = await startNode(t, 800)
    await learn(fixture, 'unsafe')
    await learn(fixture, 'safe')
    const caller = await beginRequest(t, fixture, `/${route}/late`)
    const stopped = fixture.entry.stop(1_500)
    await finishAfter(caller, 900)
    t.regex(caller.received(), REFUSED_AS_STOPPING)
    await stopped
    t.false(runs.includes(`/${route}/late`))
  })
}

test('a request that a stopping node has the time to answer is answered, as far as is known', async (t) => {
  const { fixture } = await startNode(t, 50)
  await learn(fixture, 'unsafe')
  const caller = await beginRequest(t, fixture, '/unsafe/x')
  const stopped = fixture.entry.stop(20_000)
  await finishAfter(caller, 6_000)
  t.regex(caller.received(), /^HTTP\/1\.1 200 .*answer/s)
  await stopped
})

test('a request whose deadline passes before the stop ends is taken', async (t) => {
  const { fixture } = await startNode(t, 50)
  const caller = await beginRequest(t, fixture, '/unsafe/x', `${HeaderName.Deadline}: 15000`)
  const stopped = fixture.entry.stop(20_000)
  await finishAfter(caller, 6_000)
  t.regex(caller.received(), /^HTTP\/1\.1 200 .*answer/s)
  await stopped
})
