import test from 'ava'
import fc from 'fast-check'

import { AttemptEnd, AttemptHistory, CallKind, DomainReachability, nextEventTimeout, firstEventTimeout, mayRunAgain, MAX_UNSENT_ATTEMPTS, ServerHealth, SlowdownEstimator, HealthSignal } from '../src/index.js'
import type { FailureDomain, RunnerId } from '../src/index.js'
import { ROUTE } from './forwardingFixtures.js'

const DOMAIN = 'd1' as FailureDomain
const UNSAFE = { ...ROUTE, kind: CallKind.Unsafe, resumable: false, maxAttempts: 3 }

const ids = ['e1', 'e2', 'e3'] as RunnerId[]

test('whatever happens, an unsafe request runs once at most, on no more servers than allowed', (t) => {
  const step = fc.record({ end: fc.constantFrom(...Object.values(AttemptEnd)), server: fc.constantFrom(...ids) })
  fc.assert(fc.property(fc.array(step, { maxLength: 30 }), fc.integer({ min: 1, max: 3 }), (steps, maxAttempts) => {
    const history = new AttemptHistory({ ...UNSAFE, maxAttempts })
    const sentTo = new Set<RunnerId>()
    let ran = 0
    for (const { end, server } of steps) {
      if (!history.allows(server)) continue
      history.start(server)
      if (end !== AttemptEnd.Unsent) sentTo.add(server)
      if (end === AttemptEnd.Broken || end === AttemptEnd.Failed || end === AttemptEnd.TimedOut) ran += 1
      if (!history.end(server, end)) break
    }
    return ran <= 1 && sentTo.size <= maxAttempts
  }), { seed: 3, numRuns: 2_000 })
  t.pass()
})

test('a stream runs again only where it may be resumed', (t) => {
  t.true(mayRunAgain(ROUTE))
  t.false(mayRunAgain({ ...ROUTE, resumable: false }))
  t.true(mayRunAgain({ ...ROUTE, kind: CallKind.Safe, resumable: false }))
})

test('a request that never left may go elsewhere a few times', (t) => {
  const history = new AttemptHistory(UNSAFE)
  const follows = Array.from({ length: MAX_UNSENT_ATTEMPTS + 1 }, (_, index) => {
    const server = `e${index}` as RunnerId
    history.start(server)
    return history.end(server, AttemptEnd.Unsent)
  })
  t.deepEqual(follows, [...Array.from({ length: MAX_UNSENT_ATTEMPTS }, () => true), false])
  t.false(history.mayHaveRun)
})

test('pattern: a dead helper does not use up the servers that a long prompt may be sent to', (t) => {
  const history = new AttemptHistory({ ...ROUTE, maxAttempts: 1 })
  const [first, second] = ids as [RunnerId, RunnerId]
  history.start(first)
  t.true(history.end(first, AttemptEnd.HelperFailed))
  t.true(history.allows(first))
  t.false(history.allows(second))
})

test('silence is borne longer where the prompt is dear to read, and never until the caller leaves', (t) => {
  const short = { expected: 100, objective: 300, pauseObjective: 200, reading: 20 }
  const long = { expected: 500, objective: 3_000, pauseObjective: 800, reading: 2_840 }
  t.is(firstEventTimeout(short), 1_300)
  t.true(firstEventTimeout(long) > 5_000)
  t.true(firstEventTimeout({ ...long, reading: 50_000 }) < 12_000)
  t.true(firstEventTimeout({ ...long, expected: 9_900, reading: 9_900 }) > 9_900)
  t.true(nextEventTimeout(short) < 2_000)
  t.true(nextEventTimeout(long) > 4_000)
})

test('a server that fails again and again is avoided for longer and longer', (t) => {
  const health = new ServerHealth()
  const id = 'e1' as RunnerId
  t.false(health.observe(id, HealthSignal.Bad, 0))
  t.true(health.observe(id, HealthSignal.Bad, 1))
  t.true(health.isAvoided(id, 400))
  t.false(health.isAvoided(id, 600))
  t.true(health.observe(id, HealthSignal.Bad, 600))
  t.true(health.isAvoided(id, 1_500))
})

test('a server that cannot be reached is avoided at once, and forgotten when it starts again', (t) => {
  const health = new ServerHealth()
  const id = 'e1' as RunnerId
  t.true(health.observe(id, HealthSignal.Unreachable, 0))
  health.remove(id)
  t.false(health.isAvoided(id, 1))
})

test('pattern: a failure domain that is cut off is avoided after two of its servers, and tried again', (t) => {
  const reach = new DomainReachability()
  t.false(reach.recordFailure(DOMAIN, 'e1' as RunnerId, 0))
  t.false(reach.recordFailure(DOMAIN, 'e1' as RunnerId, 10))
  t.true(reach.recordFailure(DOMAIN, 'e2' as RunnerId, 20))
  t.true(reach.isAvoided(DOMAIN, 500))
  t.false(reach.isAvoided(DOMAIN, 1_100))
  t.true(reach.recordFailure(DOMAIN, 'e1' as RunnerId, 1_100))
  reach.recordSuccess(DOMAIN)
  t.false(reach.isAvoided(DOMAIN, 1_200))
})

test('pattern: an engine whose shortest pauses are long is slow, until it is forgotten', (t) => {
  const pace = new SlowdownEstimator()
  const id = 'e1' as RunnerId
  for (let index = 0; index < 6; index += 1) pace.observe(id, index % 2 === 0 ? 400 : 250, 50, index)
  t.is(pace.slowdown(id, 10), 5)
  t.is(pace.slowdown(id, 4_000), 1)
})

test('one pause behind a long read does not make an engine slow', (t) => {
  const pace = new SlowdownEstimator()
  const id = 'e1' as RunnerId
  for (const pause of [60, 500, 60, 480, 60, 500]) pace.observe(id, pause, 50, 0)
  t.is(pace.slowdown(id, 0), 1)
})
