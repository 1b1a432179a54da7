import { EventEmitter, once } from 'node:events'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { HeaderName } from '@bluebellhill/platform'

import { DEPLOYMENT, ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'

/** Answers after which a request of the fixture's route is hedged. */
const KNOWN_ANSWERS = 12

/** Handles one request after those that have made the usual time known; the first of a hedged request has the number 1. */
type LateScript = (call: number, ...args: Parameters<Script>) => void

const answer = (...[request, response]: Parameters<Script>): void => { response.writeHead(200, signedHeaders(request)).end('answer') }

const answerAfter = (wait: number, ...args: Parameters<Script>): void => { setTimeout(() => answer(...args), wait) }

interface LateServers {
  readonly fixture: ForwardFixture
  /** Returns the number of calls since the usual time is known. */
  readonly calls: () => number
  /** Runs an action some time after the second call, so that no test depends on when the hedge is sent. */
  readonly afterHedge: (wait: number, action: () => void) => void
}

/** Starts three servers, and has the time of their answers learned. */
const startLate = async (t: ExecutionContext, script: LateScript): Promise<LateServers> => {
  let calls = 0
  let isLate = false
  const hedge = new EventEmitter()
  const each: Script = (...args) => {
    if (!isLate) {
      answer(...args)
      return
    }
    calls += 1
    script(calls, ...args)
    if (calls === 2) hedge.emit('call')
  }
  const fixture = await ForwardFixture.start(t, each, each, each)
  fixture.hedgeRatio = 1
  for (let count = 0; count < KNOWN_ANSWERS; count += 1) await fixture.call('/safe/x')
  // Estimates are kept for 250 ms.
  await sleep(300)
  isLate = true
  const afterHedge: LateServers['afterHedge'] = (wait, action) => { hedge.once('call', () => setTimeout(action, wait)) }
  return { fixture, calls: () => calls, afterHedge }
}

const hedgesOf = async (fixture: ForwardFixture): Promise<string> => await fixture.metrics.registry.getSingleMetricAsString('bluebellhill_hedges_total')

// Guards against a late server that makes the answer late, and against one that works on after the other has answered.
test('a request whose server is late is answered by another one, and the late one is cancelled', async (t) => {
  let closed: Promise<unknown> | null = null
  const { fixture, calls } = await startLate(t, (call, ...args) => {
    if (call === 1) closed = once(args[2], 'close')
    else answer(...args)
  })
  t.like(await fixture.call('/safe/x'), { status: 200, body: 'answer', whole: true })
  await closed
  t.is(calls(), 2)
  t.is(fixture.placement.schedulersInUse().size, 0)
  t.regex(fixture.linesOf('hedge.sent').join('\n'), /beside=e/)
  t.regex(fixture.linesOf('hedge.ended').join('\n'), /winner=hedge/)
  t.regex(await hedgesOf(fixture), /result="won"} 1/)
})

// Guards against a first answer that is thrown away because its hedge has begun, and against a second answer to the caller.
test('the first server wins if it answers before the hedge, which is cancelled', async (t) => {
  let closed: Promise<unknown> | null = null
  const { fixture, afterHedge } = await startLate(t, (call, ...args) => {
    if (call === 1) {
      afterHedge(100, () => answer(...args))
      return
    }
    closed = once(args[2], 'close')
    args[1].writeHead(200, signedHeaders(args[0])).write('part')
  })
  t.like(await fixture.call('/safe/x'), { status: 200, body: 'answer', whole: true })
  await closed
  t.regex(fixture.linesOf('hedge.ended').join('\n'), /winner=first/)
  t.notRegex(await hedgesOf(fixture), /result="won"/)
})

// Guards against an answer that begins first and stalls, and holds up the one that is complete.
test('a head is no complete answer: the hedge wins against a first server that has only begun', async (t) => {
  const { fixture, afterHedge } = await startLate(t, (call, ...args) => {
    if (call > 1) answerAfter(300, ...args)
    else afterHedge(50, () => args[1].writeHead(200, signedHeaders(args[0])).write('part'))
  })
  t.like(await fixture.call('/safe/x'), { status: 200, body: 'answer', whole: true })
})

const FAILURES: ReadonlyArray<readonly [string, (...args: Parameters<Script>) => void]> = [
  ['breaks off', (_request, _response, socket: Socket) => { socket.destroy() }],
  ['fails', (request, response) => { response.writeHead(500, signedHeaders(request)).end() }],
  ['has not run it', (request, response) => { response.writeHead(421, signedHeaders(request)).end() }]
]

for (const [name, fail] of FAILURES) {
  // Guards against a hedge whose failure ends the request, or uses up the attempt that is still in progress.
  test(`the first server answers although the hedge ${name}`, async (t) => {
    const { fixture, calls, afterHedge } = await startLate(t, (call, ...args) => {
      if (call === 1) afterHedge(300, () => answer(...args))
      else fail(...args)
    })
    t.like(await fixture.call('/safe/x'), { status: 200, body: 'answer', whole: true })
    t.is(calls(), 2)
  })

  // Guards against the same of the first attempt.
  test(`the hedge answers although the first server ${name}`, async (t) => {
    const { fixture, calls, afterHedge } = await startLate(t, (call, ...args) => {
      if (call === 1) afterHedge(100, () => fail(...args))
      else answerAfter(300, ...args)
    })
    t.like(await fixture.call('/safe/x'), { status: 200, body: 'answer', whole: true })
    t.is(calls(), 2)
  })
}

// Guards against a third server, and against a refusal that says that a request has not run which may have.
test('two failed attempts of a hedged request are all that its route allows', async (t) => {
  const { fixture, calls, afterHedge } = await startLate(t, (call, ...args) => {
    if (call === 1) afterHedge(200, () => args[2].destroy())
    else args[2].destroy()
  })
  t.is((await fixture.call('/safe/x')).status, 502)
  t.is(calls(), 2)
})

// Guards against a third server for a request whose first two are silent, and against an answer that says that it has not run.
test('a hedged request whose two servers are silent ends at its deadline', async (t) => {
  const { fixture, calls } = await startLate(t, () => {})
  const answered = await fixture.call('/safe/x', { headers: { [HeaderName.Deadline]: '2000' } })
  t.is(answered.status, 504)
  t.regex(answered.body, /"timed_out"/)
  t.is(calls(), 2)
})

// Guards against servers that work on for a caller who has gone.
test('both attempts are cancelled when the caller leaves', async (t) => {
  const disconnection = new AbortController()
  const closed: Array<Promise<unknown>> = []
  const { fixture } = await startLate(t, (call, ...args) => {
    closed.push(once(args[2], 'close'))
    if (call === 2) disconnection.abort()
  })
  await fixture.call('/safe/x', { disconnection: disconnection.signal }).catch(() => {})
  await Promise.all(closed)
  t.is(closed.length, 2)
})

// Guards against a second run of what may run once, and against the memory of a second prompt.
test('requests that may run once and streams are not hedged', async (t) => {
  const { fixture, calls } = await startLate(t, (_call, ...args) => answerAfter(400, ...args))
  await fixture.call('/unsafe/x')
  await fixture.call('/once/x')
  t.is(calls(), 2)
  t.deepEqual(fixture.linesOf('hedge.sent'), [])
})

// Guards against hedges where the operator has not allowed any, or the route allows one attempt.
test('without a limit or a second attempt nothing is hedged', async (t) => {
  const { fixture, calls } = await startLate(t, (_call, ...args) => answerAfter(400, ...args))
  fixture.hedgeRatio = null
  await fixture.call('/safe/x')
  fixture.hedgeRatio = 1
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, routes: DEPLOYMENT.routes.map((route) => ({ ...route, maxAttempts: 1 })) }, 'store')
  await fixture.call('/safe/x')
  t.is(calls(), 2)
})

// Guards against a second request for servers that have no slots to spare.
test('under high load no hedge is sent, and the log says why', async (t) => {
  const waiting: Array<() => void> = []
  const { fixture, calls } = await startLate(t, (_call, ...args) => { waiting.push(() => answer(...args)) })
  const others = Array.from({ length: 8 }, async () => await fixture.call('/unsafe/x'))
  while (calls() < 8) await sleep(10)
  const late = fixture.call('/safe/x')
  while (fixture.linesOf('hedge.refused').length === 0) await sleep(10)
  for (const finish of waiting) finish()
  await Promise.all([...others, late])
  t.is(calls(), 9)
  t.regex(fixture.linesOf('hedge.refused').join('\n'), /reason=hedge_high_load/)
  t.regex(fixture.linesOf('hedge.limited').join('\n'), /requests=9 slots=12/)
})
