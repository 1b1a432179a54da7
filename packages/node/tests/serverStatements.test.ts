/** What backend servers state about themselves in their answers binds the nodes that received it. */
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { HeaderName } from '@bluebellhill/platform'

import { ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'

/** Requests that a server may get within a window, by the users' rule on limits: half as many again as it allows, and a few. */
const allowedWithin = (limit: number, windowSeconds: number): number => 1.5 * limit * windowSeconds + 5

const LIMIT_PER_SECOND = 2
const LIMIT_WINDOW_S = 4

/** Servers of which the one that gets the first request states a limit in all its answers. */
const oneLimitedServer = (count: number): { scripts: Script[], arrivals: () => number[] } => {
  const arrivals: number[] = []
  let limited: number | null = null
  const scripts = Array.from({ length: count }, (_, index): Script => (request, response) => {
    limited ??= index
    if (limited === index) arrivals.push(performance.now())
    const statement = limited === index ? { [HeaderName.RequestLimit]: String(LIMIT_PER_SECOND) } : {}
    response.writeHead(200, { ...signedHeaders(request), ...statement }).end('answer')
  })
  return { scripts, arrivals: () => arrivals }
}

/** Guards against an engine in need that gets every request as before, because its limit is read and not obeyed. */
test('a server that has stated a request limit gets no more than that while another is idle', async (t) => {
  const { scripts, arrivals } = oneLimitedServer(2)
  const fixture = await ForwardFixture.start(t, ...scripts)
  for (let index = 0; index < 200; index += 1) t.is((await fixture.call('/unsafe/x')).status, 200)
  const [first = 0] = arrivals()
  const inWindow = arrivals().filter((at) => at - first < LIMIT_WINDOW_S * 1_000)
  t.true(inWindow.length <= allowedWithin(LIMIT_PER_SECOND, LIMIT_WINDOW_S), `${inWindow.length} requests`)
  t.true(fixture.linesOf('server.stated').length > 0)
})

/** Servers that state that they leave, from a number of requests on. */
const leavingServers = (...after: number[]): { scripts: Script[], arrivals: number[] } => {
  const arrivals = after.map(() => 0)
  const scripts = after.map((count, index): Script => (request, response) => {
    arrivals[index] = (arrivals[index] ?? 0) + 1
    const statement = (arrivals[index] ?? 0) > count ? { [HeaderName.Leaving]: '1' } : {}
    response.writeHead(200, { ...signedHeaders(request), ...statement }).end('answer')
  })
  return { scripts, arrivals }
}

/** Guards against requests to a server that has said in an answer that it leaves, while the store still lists it as ready. */
for (const route of ['safe', 'unsafe']) {
  test(`a server that states that it leaves gets no further ${route} request`, async (t) => {
    const { scripts, arrivals } = leavingServers(3, Infinity)
    const fixture = await ForwardFixture.start(t, ...scripts)
    while (arrivals[0]! < 4 && arrivals[1]! < 20) t.is((await fixture.call(`/${route}/x`)).status, 200)
    const before = arrivals[0]
    for (let index = 0; index < 20; index += 1) t.is((await fixture.call(`/${route}/x`)).status, 200)
    t.is(arrivals[0], before)
  })
}

test('a service whose servers all leave refuses truthfully, and serves again once one has restarted', async (t) => {
  const { scripts, arrivals } = leavingServers(0, 0)
  const fixture = await ForwardFixture.start(t, ...scripts)
  for (let index = 0; index < 2; index += 1) t.is((await fixture.call('/unsafe/x')).status, 200)
  const refusal = await fixture.call('/unsafe/x')
  t.is(refusal.status, 503)
  t.true(Number(refusal.headers['retry-after']) > 0)
  t.deepEqual(arrivals, [1, 1])
  t.regex(fixture.linesOf('request.not_placed').join(), /reason=servers_leaving .*server_leaving=true .*server_heard_by=n1/)
  fixture.restartServer('e0')
  t.is((await fixture.call('/unsafe/x')).status, 200)
  t.deepEqual(arrivals, [2, 1])
})

/** A server that refuses everything and asks for a pause. */
const pausing = (retryAfter: string): { script: Script, arrivals: () => number } => {
  let count = 0
  const script: Script = (_, response) => {
    count += 1
    response.writeHead(503, { [HeaderName.NotRun]: '1', 'retry-after': retryAfter }).end()
  }
  return { script, arrivals: () => count }
}

const answering: Script = (request, response) => { response.writeHead(200, signedHeaders(request)).end('answer') }

/** Guards against retries that use up the budget at a server that has asked for a pause, while others are idle. */
test('a server that asks for a pause gets no further request until its end, and no caller is refused', async (t) => {
  const paused = pausing('60')
  const fixture = await ForwardFixture.start(t, paused.script, answering, answering)
  for (let index = 0; index < 40; index += 1) t.is((await fixture.call('/unsafe/x')).status, 200)
  t.is(paused.arrivals(), 1)
})

test('a caller is refused at once if all servers have asked for a pause, with the time that is left', async (t) => {
  const servers = [pausing('60'), pausing('20.5')]
  const fixture = await ForwardFixture.start(t, ...servers.map(({ script }) => script))
  t.is((await fixture.call('/unsafe/x')).status, 503)
  const refusal = await fixture.call('/unsafe/x')
  t.is(refusal.status, 503)
  const seconds = Number(refusal.headers['retry-after'])
  t.true(seconds > 10 && seconds < 60, `${seconds}`)
  t.deepEqual(servers.map(({ arrivals }) => arrivals()), [1, 1])
  t.regex(fixture.linesOf('request.not_placed').join(), /reason=servers_paused .*server=e1/)
})

// Guards against a refusal whose time callers cannot read: it said Infinity, or a number with an exponent.
for (const endless of ['1e300', '1e306', '99999999999999999999999']) {
  test(`a pause of ${endless} s names callers a time that they can read`, async (t) => {
    const fixture = await ForwardFixture.start(t, pausing(endless).script)
    t.is((await fixture.call('/unsafe/x')).status, 503)
    const refusal = await fixture.call('/unsafe/x')
    t.is(refusal.status, 503)
    t.regex(String(refusal.headers['retry-after']), /^\d+(\.\d+)?$/)
    t.regex(fixture.linesOf('request.not_placed').join(), /reason=servers_paused/)
  })
}

for (const ignored of ['soon', '-3', '0', '']) {
  test(`a refusal with retry-after '${ignored}' asks for no pause`, async (t) => {
    const server = pausing(ignored)
    const fixture = await ForwardFixture.start(t, server.script)
    for (let index = 0; index < 3; index += 1) t.is((await fixture.call('/unsafe/x')).status, 503)
    t.is(server.arrivals(), 3)
  })
}

/** Guards against a lost answer where the only server left has a request limit that is free again within a moment. */
test('a request that may have run waits for the quota of the only server that can still answer it', async (t) => {
  const limited: Script = (request, response) => {
    response.writeHead(200, { ...signedHeaders(request), [HeaderName.RequestLimit]: '8' }).end('answer')
  }
  const fixture = await ForwardFixture.start(t, limited, (_, __, socket) => { socket.resetAndDestroy() })
  const stoppedAt = performance.now()
  fixture.clock = () => stoppedAt
  t.is((await fixture.call('/safe/x')).status, 200)
  const answered: number[] = []
  const answers = Promise.all(Array.from({ length: 3 }, async () => answered.push((await fixture.call('/safe/x')).status)))
  while (answered.length < 3 && fixture.linesOf('request.waits').length === 0) await sleep(2)
  t.true(answered.length < 3)
  const resumedAt = performance.now()
  fixture.clock = () => stoppedAt + performance.now() - resumedAt
  await answers
  t.deepEqual(answered, [200, 200, 200])
})
