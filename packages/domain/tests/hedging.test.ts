import test from 'ava'

import { AttemptEnd, AttemptHistory, FleetAssignments, HedgeAdmission, HedgeDelays, HedgeRefusal, hedgeQuantile, minHedgeSamples } from '../src/index.js'
import type { FailureDomain, NodeId, RunnerId } from '../src/index.js'
import { ROUTE, server } from './forwardingFixtures.js'
import { HedgeLoad } from './hedgeLoad.js'

const RATIO = 0.02

/** Answers that are known before the first measured request. */
const WARM_UP = 2_000

// Load: 10 reads of 43 ms a second at 9 plain servers in three domains; one read of a hundred takes ten times as long, wherever it runs.
for (const seed of [1, 2, 3]) {
  test(`hedges halve the slowest response times for at most two of a hundred more arrivals, seed ${seed}`, (t) => {
    const slowReads = { perSecond: 10, requests: 20_000, seed, duration: (random: () => number) => (random() < 0.01 ? 430 : 43) * (0.8 + 0.4 * random()) }
    const without = new HedgeLoad({ ...slowReads, maxRatio: null }).run()
    const hedged = new HedgeLoad({ ...slowReads, maxRatio: RATIO }).run()
    t.log(`p99.9 ${Math.round(without.quantile(0.999))} -> ${Math.round(hedged.quantile(0.999))} ms, ${hedged.hedges} hedges of ${hedged.requests} requests`)
    t.true(hedged.quantile(0.999) <= 0.5 * without.quantile(0.999))
    t.true(hedged.hedges <= RATIO * hedged.requests)
  })

  // Load: the same rate; from 60 s on, all servers of the first domain are four times slower. Guards against hedges that double the load of such a fault.
  test(`a domain that is slow as a whole does not raise the arrivals above the operator's limit, seed ${seed}`, (t) => {
    const result = new HedgeLoad({
      perSecond: 40, requests: 12_000, seed, maxRatio: RATIO, duration: (random, { failureDomain }, now) => (failureDomain === 'd1' && now > 60_000 ? 172 : 43) * (0.8 + 0.4 * random())
    }).run()
    t.log(`${result.hedges} hedges of ${result.requests} requests, ${result.hedgesIn('d1')} in the slow domain`)
    t.true(result.hedges > 0)
    t.true(result.largestShare <= RATIO)
    t.true(result.hedgesIn('d1') <= 0.1 * result.hedges)
  })

  // Load: three quarters of what the servers can answer. Guards against hedges that turn a high load into an overload.
  test(`no hedges are sent while most slots are in use, seed ${seed}`, (t) => {
    const result = new HedgeLoad({ perSecond: 940, requests: 4_000, seed, maxRatio: 1, duration: (random) => 43 * (0.8 + 0.4 * random()) }).run()
    t.is(result.hedgesUnderLoad, 0)
  })
}

test('the delay leaves as many requests above it as may be hedged, within bounds', (t) => {
  t.deepEqual([0.001, 0.02, 0.05, 1].map(hedgeQuantile), [0.99, 0.99, 0.975, 0.9])
})

// Guards against hedges on a guess: the first requests after a start, or after a minute without any.
test('with few recent answers there is no delay', (t) => {
  const delays = new HedgeDelays()
  const count = minHedgeSamples(RATIO)
  for (let answer = 1; answer < count; answer += 1) delays.observe('reads', 40, true, RATIO, 0)
  t.is(delays.delay('reads', RATIO, 300), null)
  delays.observe('reads', 40, true, RATIO, 300)
  t.is(delays.delay('reads', RATIO, 600), 40)
  t.is(delays.delay('writes', RATIO, 600), null)
  t.is(delays.delay('reads', RATIO, 61_000), null)
})

// Guards against a delay that sinks with each hedge, because the slow attempts it gives up are never seen to end.
test('an attempt that is given up counts if it was late, and not if it was early', (t) => {
  const delays = new HedgeDelays()
  for (let answer = 0; answer < 100; answer += 1) delays.observe('reads', 40, true, RATIO, 0)
  for (let failure = 0; failure < 50; failure += 1) delays.observe('reads', 1, false, RATIO, 300)
  delays.observe('reads', 90, false, RATIO, 300)
  delays.observe('reads', 90, false, RATIO, 300)
  t.is(delays.delay('reads', RATIO, 600), 90)
})

const LOADS = new FleetAssignments('n1' as NodeId).serverLoads(0)

// Guards against hedges of a process that has just started, beyond the share of what it has seen.
test('the budget starts empty, and saves up few hedges', (t) => {
  const servers = [server('e0'), server('e1')]
  const admission = new HedgeAdmission()
  const isRefused = (): boolean => admission.refusal('s', servers, LOADS) === HedgeRefusal.Ratio
  for (let request = 0; request < 50; request += 1) {
    t.true(isRefused())
    admission.countRequest('s', RATIO)
  }
  t.false(isRefused())
  for (let request = 0; request < WARM_UP; request += 1) admission.countRequest('s', RATIO)
  let hedges = 0
  for (; !isRefused(); hedges += 1) admission.take('s')
  t.is(hedges, 5)
})

// Guards against a hedge that queues behind other requests, or goes to where the first attempt is slow with all others.
test('a hedge gets a free server, outside a slow domain if there is one', (t) => {
  const admission = new HedgeAdmission()
  const domains = ['d1', 'd2'] as FailureDomain[]
  const candidates = domains.map((failureDomain) => ({ server: server(`e-${failureDomain}`, { failureDomain, slots: 1 }), slowdown: 1 }))
  const chosen = (loads = LOADS): string[] => admission.candidates('s', candidates, loads, 300).map(({ server: { id } }) => id)
  t.deepEqual(chosen(), ['e-d1', 'e-d2'])
  for (let answer = 0; answer < 8; answer += 1) {
    for (const domain of domains) admission.observe({ service: 's', domain, took: domain === 'd1' ? 172 : 43, isComplete: true }, RATIO, 0)
  }
  t.deepEqual(admission.candidates('s', candidates, LOADS, 600).map(({ server: { id } }) => id), ['e-d2'])
  const assignments = new FleetAssignments('n1' as NodeId)
  assignments.start({ server: 'e-d2' as RunnerId, helpers: [], reservations: [], prompt: 0, answer: 0, prefillTime: 0, sentAt: 0, isPrefilled: false, pauseObjective: null, dueAt: 0, isDeferred: false })
  t.deepEqual(admission.candidates('s', candidates, assignments.serverLoads(600), 600).map(({ server: { id } }) => id), ['e-d1'])
})

// Guards against a third server, and against a refusal that says that a request has not run while one of two attempts goes on.
test('two attempts side by side both count, and the request may have run until both say that it has not', (t) => {
  const [first, hedge] = ['e0', 'e1'] as RunnerId[]
  const history = new AttemptHistory({ ...ROUTE, maxAttempts: 2 })
  history.start(first!)
  history.keepBeside(first!)
  history.start(hedge!)
  t.true(history.isExhausted)
  t.true(history.mayHaveRun)
  t.false(history.end(hedge!, AttemptEnd.NotRun))
  t.true(history.mayHaveRun)
  t.false(history.end(first!, AttemptEnd.NotRun))
  t.false(history.mayHaveRun)
})
