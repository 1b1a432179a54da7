/** What backend servers state about themselves in their answers binds the nodes that received it. */
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
