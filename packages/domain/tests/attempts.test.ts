import test from 'ava'
import fc from 'fast-check'

import { AttemptEnd, AttemptHistory, CallKind, DomainReachability, nextEventTimeout, firstEventTimeout, mayRunAgain, MAX_UNSENT_ATTEMPTS, ServerHealth, SlowdownEstimator, HealthSignal } from '../src/index.js'
import type { FailureDomain, RunnerId } from '../src/index.js'
import { ROUTE } from './forwardingFixtures.js'

const DOMAIN = 'd1' as FailureDomain
const UNSAFE = { ...ROUTE, kind: CallKind.Unsafe, resumable: false, maxAttempts: 3 }

const ids = ['e1', 'e2', 'e3'] as RunnerId[]

test('after any sequence of failures, an unsafe request has run at most once and was sent to no more servers than allowed', (t) => {
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

test('a stream may run again only if its route allows it to be resumed', (t) => {
  t.true(mayRunAgain(ROUTE))
  t.false(mayRunAgain({ ...ROUTE, resumable: false }))
  t.true(mayRunAgain({ ...ROUTE, kind: CallKind.Safe, resumable: false }))
})

test('an unsent request may be sent to other servers a limited number of times', (t) => {
  const history = new AttemptHistory(UNSAFE)
  const follows = Array.from({ length: MAX_UNSENT_ATTEMPTS + 1 }, (_, index) => {
    const server = `e${index}` as RunnerId
    history.start(server)
    return history.end(server, AttemptEnd.Unsent)
  })
  t.deepEqual(follows, [...Array.from({ length: MAX_UNSENT_ATTEMPTS }, () => true), false])
  t.false(history.mayHaveRun)
})

test('pattern: a failed helper does not count towards the servers that a long prompt may be sent to', (t) => {
  const history = new AttemptHistory({ ...ROUTE, maxAttempts: 1 })
  const [first, second] = ids as [RunnerId, RunnerId]
  history.start(first)
  t.true(history.end(first, AttemptEnd.HelperFailed))
  t.true(history.allows(first))
  t.false(history.allows(second))
})

test('stream timeouts are longer for prompts with a long prefill, and end before the caller disconnects', (t) => {
  const short = { expected: 100, objective: 300, pauseObjective: 200, reading: 20, holdsMemory: false }
  const long = { expected: 500, objective: 3_000, pauseObjective: 800, reading: 2_840, holdsMemory: false }
  t.is(firstEventTimeout(short), 1_300)
  t.true(firstEventTimeout(long) > 5_000)
  t.true(firstEventTimeout({ ...long, reading: 50_000 }) < 12_000)
  t.true(firstEventTimeout({ ...long, expected: 9_900, reading: 9_900 }) > 9_900)
  t.true(nextEventTimeout(short) < 2_000)
  t.true(nextEventTimeout(long) > 4_000)
})

test('a server that fails repeatedly is avoided for longer each time', (t) => {
  const health = new ServerHealth()
  const id = 'e1' as RunnerId
  t.false(health.observe(id, HealthSignal.Bad, 0))
  t.true(health.observe(id, HealthSignal.Bad, 1))
  t.true(health.isAvoided(id, 400))
  t.false(health.isAvoided(id, 600))
  t.true(health.observe(id, HealthSignal.Bad, 600))
  t.true(health.isAvoided(id, 1_500))
})

test('a server that sends bytes without end is avoided at once', (t) => {
  const health = new ServerHealth()
  t.true(health.observe('e1' as RunnerId, HealthSignal.Faulty, 0))
  t.true(health.isAvoided('e1' as RunnerId, 1))
})

test('a server that cannot be reached is avoided at once, until its record is removed after a restart', (t) => {
  const health = new ServerHealth()
  const id = 'e1' as RunnerId
  t.true(health.observe(id, HealthSignal.Unreachable, 0))
  health.remove(id)
  t.false(health.isAvoided(id, 1))
})

test('pattern: a failure domain is avoided after two of its servers are unreachable, and tried again later', (t) => {
  const reachability = new DomainReachability()
  t.false(reachability.recordFailure(DOMAIN, 'e1' as RunnerId, 0))
  t.false(reachability.recordFailure(DOMAIN, 'e1' as RunnerId, 10))
  t.true(reachability.recordFailure(DOMAIN, 'e2' as RunnerId, 20))
  t.true(reachability.isAvoided(DOMAIN, 500))
  t.false(reachability.isAvoided(DOMAIN, 1_100))
  t.true(reachability.recordFailure(DOMAIN, 'e1' as RunnerId, 1_100))
  reachability.recordSuccess(DOMAIN)
  t.false(reachability.isAvoided(DOMAIN, 1_200))
})

test('pattern: an engine whose shortest pauses are long counts as slow until its samples expire', (t) => {
  const estimator = new SlowdownEstimator()
  const id = 'e1' as RunnerId
  for (let index = 0; index < 6; index += 1) estimator.observe(id, index % 2 === 0 ? 400 : 250, 50, index)
  t.is(estimator.slowdown(id, 10), 5)
  t.is(estimator.slowdown(id, 4_000), 1)
})

test('long pauses caused by prefill do not make an engine count as slow', (t) => {
  const estimator = new SlowdownEstimator()
  const id = 'e1' as RunnerId
  for (const pause of [60, 500, 60, 480, 60, 500]) estimator.observe(id, pause, 50, 0)
  t.is(estimator.slowdown(id, 0), 1)
})
