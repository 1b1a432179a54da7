import test from 'ava'
import fc from 'fast-check'

import { Dispatcher, LeastReportedLoad, LengthAware, RoundRobin, Router, RunnerBand } from '../src/index.js'
import type { DispatchEffect, DispatchSummary, RoutingPolicy } from '../src/index.js'
import { FailureDomainView } from '../src/dispatch/FailureDomainView.js'
import { DispatchSimulation, ENGINE } from './dispatchSimulation.js'
import type { Trace } from './dispatchSimulation.js'
import { attempt, DOMAIN, node, order, report, runner } from './fixtures.js'
import { exponentialGap, percentile, seededRandom } from './random.js'

const SEED = 20_261_203

const summaryOf = (name: string, runners: number, changes: Partial<DispatchSummary> = {}): DispatchSummary => ({
  model: 'm', node: node(name), runners, freeTokens: 0, freeSlots: 0, largestPrompt: 0, queueDelay: [0, 0, 0, 0], prefillRate: runners * 80_000, demand: [8_000, 8_000, 0, 60_000], ...changes
})

const bandsOf = (summaries: readonly DispatchSummary[], longWeight = 0.5): ReadonlyMap<string, RunnerBand> => {
  const bands = new Map<string, RunnerBand>()
  for (const own of summaries) {
    const view = new FailureDomainView()
    view.updatePeers(summaries.filter((summary) => summary !== own))
    const demand = own.demand ?? []
    demand.forEach((rate, index) => view.recordOrder('m', (rate ?? 0) * 10, 0) ?? index)
    const runnerIds = Array.from({ length: own.runners }, (_, index) => runner(`${own.node}-${index}`))
    for (const [id, band] of view.bands('m', { node: own.node!, runnerIds, prefillRate: own.prefillRate }, { longWeight }, 0)) bands.set(id, band)
  }
  return bands
}

const countOf = (bands: ReadonlyMap<string, RunnerBand>, band: RunnerBand): number =>
  [...bands.values()].filter((each) => each === band).length

test('all dispatchers of a failure domain assign the same bands, with runners for long and for short prompts', (t) => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 16 }), { minLength: 1, maxLength: 8 }), (sizes) => {
    const bands = bandsOf(sizes.map((size, index) => summaryOf(`n${index}`, size, { demand: [1_000, 1_000, 0, 4_000] })))
    const total = sizes.reduce((sum, size) => sum + size, 0)
    if (total < 2) return bands.size === 0
    return bands.size === total && countOf(bands, RunnerBand.Long) >= 1 && countOf(bands, RunnerBand.Short) >= 1
  }), { seed: SEED, numRuns: 300 })
  t.pass()
})

test('runners stay in the short band while the demand for short prompts grows', (t) => {
  const sizes = [3, 3, 2]
  const shortBandAt = (demand: number): ReadonlySet<string> => {
    const bands = bandsOf(sizes.map((size, index) => summaryOf(`n${index}`, size, { demand: [demand, 1_000, 0, 60_000] })))
    return new Set([...bands].filter(([, band]) => band === RunnerBand.Short).map(([id]) => id))
  }
  let before = shortBandAt(1_000)
  for (let demand = 2_000; demand < 120_000; demand += 2_000) {
    const now = shortBandAt(demand)
    t.true([...before].every((id) => now.has(id)), `at ${demand} a runner left the short band while demand grew`)
    before = now
  }
  t.true(before.size > 1)
})

test('a larger long weight shrinks the short band', (t) => {
  const summaries = [summaryOf('a', 8, { demand: [60_000, 0, 0, 60_000] }), summaryOf('b', 8, { demand: [60_000, 0, 0, 60_000] })]
  t.true(countOf(bandsOf(summaries, 0), RunnerBand.Short) > countOf(bandsOf(summaries, 1), RunnerBand.Short))
})

/** Submits prompts of mixed lengths, of which one in fifty exceeds 100 000 tokens, to eight runners of three dispatchers. */
const mixedTraces = (policy: () => RoutingPolicy, load: number, shape = ENGINE): readonly Trace[] => {
  const random = seededRandom(SEED)
  const drive = new DispatchSimulation(new Router({ random: seededRandom(SEED + 1) }))
  const owned = [['r0', 'r1', 'r2'], ['r3', 'r4', 'r5'], ['r6', 'r7']]
  owned.forEach((runners, index) => drive.addDispatcher(new Dispatcher({ node: node(`n${index}`), policy: policy() }), runners, shape))
  const meanGap = 14_500 / (8 * 80.4 * load)
  for (let at = 0, index = 0; at < 30_000; at += exponentialGap(random, meanGap), index++) {
    const draw = random()
    const promptTokens = draw < 0.02 ? 100_000 + random() * 290_000 : draw < 0.08 ? 32_000 + random() * 68_000 : draw < 0.3 ? 4_000 + random() * 28_000 : 1_000 + random() * 3_000
    drive.submit(order(`q${index}`, { promptTokens: Math.floor(promptTokens), remaining: 60_000 }), at)
  }
  return [...drive.run().traces.values()]
}

const firstTokens = (traces: readonly Trace[], from: number, to: number): readonly number[] =>
  traces.filter(({ order: { promptTokens }, firstTokenAt }) => promptTokens >= from && promptTokens < to && firstTokenAt !== undefined)
    .map((trace) => trace.firstTokenAt! - trace.submittedAt)

for (const [name, shape, factor] of [['engines that schedule by priority', ENGINE, 5], ['engines that ignore priorities', { ...ENGINE, ranked: false }, 1.5], ['slow engines with large chunks', { ...ENGINE, newTokenMs: 0.012, chunkTokens: 8_192, loadLag: 1_000 }, 5]] as const) {
  test(`the shortest prompts start far earlier than under the baselines: ${name}`, (t) => {
    const p95 = (policy: () => RoutingPolicy): number => percentile(firstTokens(mixedTraces(policy, 0.6, shape), 0, 4_000), 0.95)
    const aware = p95(() => new LengthAware())
    t.true(aware * factor < p95(() => new RoundRobin()))
    t.true(aware * factor < p95(() => new LeastReportedLoad()))
  })
}

test('every admitted order is finished or refused', (t) => {
  const traces = mixedTraces(() => new LengthAware(), 0.8)
  t.true(traces.every((trace) => trace.endedAt !== undefined || trace.refusedAt !== undefined))
  t.true(traces.filter((trace) => trace.refusedAt !== undefined).length < traces.length / 100)
})

const twoRunners = (prefillRate = 80_000): { readonly dispatcher: Dispatcher, readonly effects: (event: Parameters<Dispatcher['handle']>[0], now: number) => readonly DispatchEffect[] } => {
  const dispatcher = new Dispatcher({ node: node('d'), policy: new LengthAware() })
  for (const name of ['a', 'b']) {
    dispatcher.handle({ type: 'runner_assigned', runner: runner(name), failureDomain: DOMAIN }, 0)
    dispatcher.handle({ type: 'runner_reported', runner: runner(name), report: report({ prefillRate }) }, 0)
  }
  return { dispatcher, effects: (event, now) => dispatcher.handle(event, now) }
}

test('a burst of long prompts leaves one runner to short ones, until a long prompt has waited for half its time', (t) => {
  const { effects } = twoRunners()
  const grants = [1, 2, 3].flatMap((index) => effects({ type: 'ordered', order: order(`l${index}.1`, { promptTokens: 100_000 }) }, index))
  t.is(grants.filter((effect) => effect.type === 'grant').length, 1)
  const late = effects({ type: 'ticked' }, 16_000)
  t.true(late.some((effect) => effect.type === 'grant'), 'a long prompt that has waited for half its time may use any runner')
})

test('a long prompt on a short-band runner is recalled early in its prefill, and only once', (t) => {
  const { effects } = twoRunners(30_000)
  const sent = (id: string, now: number) => effects({ type: 'progressed', attempt: attempt(id), runner: runner('a'), kind: 'sent', generated: 0, order: null }, now)
  effects({ type: 'ordered', order: order('l1.1', { promptTokens: 390_000 }) }, 0)
  sent('l1.1', 1)
  effects({ type: 'ordered', order: order('l2.1', { promptTokens: 200_000, remaining: 21_000 }) }, 1_000)
  for (const now of [3_000, 6_000, 9_000]) sent('l1.1', now)
  t.true(effects({ type: 'ticked' }, 11_501).some((effect) => effect.type === 'grant'))
  sent('l2.1', 11_502)
  const recalls = [1, 2].flatMap((index) => effects({ type: 'ordered', order: order(`s${index}.1`) }, 11_600 + index)).filter((effect) => effect.type === 'recall')
  t.deepEqual(recalls.map((effect) => effect.attempt), [attempt('l2.1')])
})
