/** Requests with a prompt part that crashes engines: what their callers get, and what reaches the backend servers. */
import test from 'ava'

import { QuarantineStatus, Readiness } from '@bluebellhill/domain'
import type { CrashReport, NodeId, RunnerId } from '@bluebellhill/domain'
import { HeaderName } from '@bluebellhill/platform'

import { ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'
import { crashEngines, proveSound, refuses, until } from './quarantineFixture.js'

const BAD = 'bad0'
const GOOD = 'feed0'
const headersOf = (...parts: string[]): Record<string, string> => ({ [HeaderName.PromptParts]: [...parts, 'abc'].map((part) => `${part}:40`).join(',') })

/** A server that counts its requests and answers each with a stream of three events. */
const streaming = (): { script: Script, arrivals: () => number } => {
  let count = 0
  const script: Script = (request, response) => {
    count += 1
    response.writeHead(200, signedHeaders(request)).end('id: 1\n\nid: 2\n\nid: 3\n\n')
  }
  return { script, arrivals: () => count }
}

/** A server that breaks off the connection of each request with a part, and of all others that are under way. */
const crashing = (part: string): { script: Script, arrivals: () => number } => {
  let count = 0
  const script: Script = (request, response, socket) => {
    const isBad = String(request.headers[HeaderName.PromptParts]).includes(part)
    if (isBad) {
      count += 1
      setTimeout(() => socket.destroy(), 20)
    } else response.writeHead(200, signedHeaders(request)).end('id: 1\n\nid: 2\n\n')
  }
  return { script, arrivals: () => count }
}

/** Guards against a part that crashes engines at a node that has not seen the crashes. */
test('a request with a part that other nodes have seen crash engines is refused for good and reaches no server', async (t) => {
  const { script, arrivals } = streaming()
  const fixture = await ForwardFixture.start(t, script)
  await crashEngines(fixture.quarantine, BAD)
  const refusal = await fixture.call('/stream/x', { headers: headersOf(GOOD, BAD) })
  t.is(refusal.status, 400)
  t.is(refusal.headers['retry-after'], undefined)
  t.deepEqual(JSON.parse(refusal.body), { error: { code: 'prompt_quarantined_unsent', ran: 'no' } })
  t.is(arrivals(), 0)
  t.regex(fixture.linesOf('request.quarantined').join(), new RegExp(`part=${BAD} crashes=\\d+ moments=\\d+ .*ran=no`))
  t.regex(fixture.linesOf('part.quarantined').join(), new RegExp(`part=${BAD}`))
  t.is((await fixture.call('/stream/x', { headers: headersOf(GOOD, 'feed1') })).status, 200)
  t.is((await fixture.call('/stream/x')).status, 200)
})

test('a part is judged wherever it stands, but not as the last one', async (t) => {
  const { script } = streaming()
  const fixture = await ForwardFixture.start(t, script)
  await crashEngines(fixture.quarantine, BAD)
  for (const parts of [`${BAD}:1,a:1,b:1`, `a:1,${BAD}:1,b:1`]) t.is((await fixture.call('/stream/x', { headers: { [HeaderName.PromptParts]: parts } })).status, 400, parts)
  for (const parts of [`a:1,${BAD}:1`, `a:1,${BAD},b:1`]) t.is((await fixture.call('/stream/x', { headers: { [HeaderName.PromptParts]: parts } })).status, 200, parts)
})

/** Guards against a request that crashes its engine although its part got quarantined after it was sent. */
test('a request in progress that has not proved sound is cut when its part gets quarantined, and no other one', async (t) => {
  let held = 0
  let closed = 0
  let finishGood: () => void = () => {}
  const holding: Script = (request, response, socket) => {
    held += 1
    socket.once('close', () => { closed += 1 })
    response.writeHead(200, signedHeaders(request))
    if (String(request.headers[HeaderName.PromptParts]).includes(BAD)) response.flushHeaders()
    else finishGood = () => response.end('id: 1\n\nid: 2\n\n')
  }
  const fixture = await ForwardFixture.start(t, holding)
  const bad = fixture.call('/stream/x', { headers: headersOf(BAD) })
  const good = fixture.call('/stream/x', { headers: headersOf(GOOD) })
  await until(() => held === 2)
  await crashEngines(fixture.quarantine, BAD)
  const refusal = await bad
  t.is(refusal.status, 400)
  t.deepEqual(JSON.parse(refusal.body), { error: { code: 'prompt_quarantined', ran: 'unknown' } })
  await until(() => closed === 1)
  t.is(closed, 1)
  finishGood()
  t.is((await good).status, 200)
})

/** Guards against engines that crash one after the other under requests of one kind. */
test('requests that crash their server stop to reach servers, and sound ones with the same other part go on', async (t) => {
  const servers = Array.from({ length: 8 }, () => crashing(BAD))
  const fixture = await ForwardFixture.start(t, ...servers.map(({ script }) => script))
  for (let index = 0; index < 4; index += 1) {
    await fixture.call('/once/x', { headers: headersOf('face0', BAD) })
    t.is((await fixture.call('/once/x', { headers: headersOf('face0', GOOD) })).status, 200)
    await new Promise((resolve) => setTimeout(resolve, 300))
  }
  t.true(refuses(fixture.quarantine, BAD))
  t.true(servers.reduce((sum, { arrivals }) => sum + arrivals(), 0) <= 4)
  t.is(fixture.quarantine.verdict(['face0', 'own']).status, QuarantineStatus.Clear)
  t.true(fixture.linesOf('engine.crash_suspected').every((line) => line.includes('server=e') && line.includes('requests=a')))
})

test('a sound answer lifts the quarantine at once', async (t) => {
  const { script, arrivals } = streaming()
  const fixture = await ForwardFixture.start(t, script)
  await crashEngines(fixture.quarantine, BAD)
  t.is((await fixture.call('/stream/x', { headers: headersOf(BAD) })).status, 400)
  proveSound(fixture.quarantine, BAD)
  t.is((await fixture.call('/stream/x', { headers: headersOf(BAD) })).status, 200)
  t.is(arrivals(), 1)
  t.is(fixture.linesOf('part.released').length, 1)
})

test('a trial that succeeds lifts the quarantine', async (t) => {
  const { script, arrivals } = streaming()
  const fixture = await ForwardFixture.start(t, script)
  await crashEngines(fixture.quarantine, BAD)
  await until(() => fixture.quarantine.isTrialDue([BAD]))
  t.is((await fixture.call('/stream/x', { headers: headersOf(BAD) })).status, 200)
  t.is(arrivals(), 1)
  t.regex(fixture.linesOf('request.sent').join(), /trial=true/)
  t.is(fixture.linesOf('part.trial').length, 1)
  t.false(refuses(fixture.quarantine, BAD))
})

test('an answer that ends inside an event counts as broken off', async (t) => {
  const script: Script = (request, response, socket) => {
    response.writeHead(200, { ...signedHeaders(request), connection: 'close' })
    response.write('id: 1\n\nid: 2')
    setTimeout(() => socket.end(), 20)
  }
  const fixture = await ForwardFixture.start(t, script)
  await fixture.call('/once/x', { headers: headersOf('d0') })
  t.is(fixture.linesOf('engine.crash_suspected').length, 1)
  t.regex(fixture.linesOf('engine.crash_suspected')[0] ?? '', /suspects=1 parts=d0 /)
})

test('the end of a server that drains is no crash', async (t) => {
  const { script } = crashing(BAD)
  const fixture = await ForwardFixture.start(t, script)
  const call = fixture.call('/once/x', { headers: headersOf(BAD) })
  await until(() => fixture.linesOf('request.sent').length === 1)
  const server = fixture.fleetState.servers.find('e0' as RunnerId)!
  fixture.fleetState.putServer({ server: { ...server, readiness: Readiness.Draining }, revision: 2 }, 'store')
  await call
  t.deepEqual(fixture.linesOf('engine.crash_suspected'), [])
})

/** Guards against a quarantine because of servers that refuse, fail, or are given up by this node. */
test('refusals, failures and the departure of the caller are no crashes', async (t) => {
  const scripts: Script[] = [
    (request, response) => { response.writeHead(503, { ...signedHeaders(request), [HeaderName.NotRun]: '1' }).end() },
    (request, response) => { response.writeHead(500, signedHeaders(request)).end() }
  ]
  for (const script of scripts) {
    const fixture = await ForwardFixture.start(t, script)
    await fixture.call('/once/x', { headers: headersOf('0a') })
    t.deepEqual(fixture.linesOf('engine.crash_suspected'), [])
  }
  const silent: Script = () => {}
  const fixture = await ForwardFixture.start(t, silent)
  const disconnection = new AbortController()
  const cancelled = fixture.call('/once/x', { headers: headersOf('0a'), disconnection: disconnection.signal }).catch(() => null)
  await until(() => fixture.linesOf('request.sent').length === 1)
  disconnection.abort()
  await cancelled
  await until(() => fixture.linesOf('request.ended').length === 1)
  t.deepEqual(fixture.linesOf('engine.crash_suspected'), [])
})

// Guards against a crash that is no evidence, because its request had been silent for a while and another server was already asked.
test('a server that breaks off a silent answer is reported as crashed', async (t) => {
  let calls = 0
  const script: Script = (request, response) => {
    calls += 1
    if (calls === 1) {
      response.writeHead(200, signedHeaders(request)).write('id: 1\n\nid')
      setTimeout(() => response.end(), 1_700)
    } else setTimeout(() => response.writeHead(200, signedHeaders(request)).end('id: 2\n\nid: 3\n\n'), 1_700)
  }
  const fixture = await ForwardFixture.start(t, script, script)
  t.like(await fixture.call('/patient-stream/x', { headers: headersOf(BAD) }), { status: 200, whole: true })
  t.is(calls, 2)
  t.is(fixture.linesOf('engine.crash_suspected').length, 1)
})

/** Guards against the end of the process: the data that quarantined the request was written after its refusal (soak, seed 290411). */
test('data that refutes a crash, and so quarantines its own request, is not passed on after the refusal', async (t) => {
  const { script } = streaming()
  const fixture = await ForwardFixture.start(t, script)
  const now = performance.now()
  // Data refutes the end of e0 only while it cannot have started again.
  fixture.clock = () => now
  const crash = (server: string, at: number, parts: readonly string[]): CrashReport =>
    ({ server: server as RunnerId, startedAt: 1, service: 's', reportedBy: 'n9' as NodeId, at, suspects: parts.length, parts })
  // Without the end of e0 the second crash would count, and the part would be quarantined.
  fixture.quarantine.received({ crashes: [crash('x1', now - 2_000, [BAD]), crash('x2', now - 100, [BAD]), crash('e0', now - 100, [])], survivals: [], sounds: [{ part: GOOD, at: now - 500, service: 's' }], trials: [] })
  t.is(fixture.quarantine.verdict([BAD, 'own']).status, QuarantineStatus.Suspected)
  const answer = await fixture.call('/stream/x', { headers: headersOf(BAD) })
  t.is(answer.status, 400)
  t.is(fixture.linesOf('engine.crash_refuted').length, 1)
})
