import test from 'ava'
import type { ExecutionContext } from 'ava'

import { DEFAULT_LOAD_OPTIONS, lengthClassOf, LoadRun, makeReport, makeSchedule, meanLength, proveByLedgers, readLedgers } from '../src/load/index.js'
import type { LoadOptions, LoadReport, RequestRecord } from '../src/load/index.js'
import { PromptMaker } from '../src/load/PromptMaker.js'
import { post, startEngine } from './helpers.js'
import type { RunningEngine } from './helpers.js'

const OPTIONS: LoadOptions = {
  ...DEFAULT_LOAD_OPTIONS,
  organisations: [{ name: 'one', apiKey: 'k1', weight: 3 }, { name: 'two', apiKey: 'k2', weight: 1 }],
  model: 'm',
  seed: 42
}

const runAgainst = async ({ address }: RunningEngine, options: Partial<LoadOptions>): Promise<LoadReport> => {
  const run = await new LoadRun({ ...OPTIONS, targets: [address], perSecond: 100, durationMs: 200, cutTokens: 2_000, retries: 0, ...options }).run()
  return makeReport(run, OPTIONS.nominal, proveByLedgers(await readLedgers([address]), run.records))
}

const faulty = async (t: ExecutionContext, faults: Record<string, unknown>): Promise<RunningEngine> => {
  const running = await startEngine(t)
  await post(running.address, '/faults', faults)
  return running
}

test('a schedule follows from its seed and has the mix of the users', (t) => {
  const options = { ...OPTIONS, perSecond: 1_000, durationMs: 20_000 }
  const schedule = makeSchedule(options)
  t.deepEqual(makeSchedule(options), schedule)
  t.notDeepEqual(makeSchedule({ ...options, seed: 43 }), schedule)
  const longShare = schedule.filter(({ promptTokens }) => promptTokens > 100_000).length / schedule.length
  t.true(longShare > 0.017 && longShare < 0.023, String(longShare))
  const tokens = schedule.reduce((sum, { promptTokens }) => sum + promptTokens, 0)
  t.true(Math.abs(tokens / schedule.length / meanLength() - 1) < 0.05)
  const long = schedule.reduce((sum, { promptTokens }) => sum + (promptTokens > 100_000 ? promptTokens : 0), 0)
  t.true(long / tokens > 0.5)
})

test('leaving out long prompts leaves the others as they are', (t) => {
  const options = { ...OPTIONS, perSecond: 100, bursts: [{ atMs: 500, count: 5, minTokens: 200_000, maxTokens: 300_000 }] }
  const schedule = makeSchedule(options)
  const short = makeSchedule({ ...options, longestTokens: 4_000 })
  t.deepEqual(short, schedule.filter(({ promptTokens }) => promptTokens <= 4_000))
  t.is(schedule.filter(({ atMs }) => atMs === 500).length, 5)
})

test('prompts have their length, differ, and share a prefix within an organisation', (t) => {
  const maker = new PromptMaker(7)
  const [one, , , , fifth] = makeSchedule({ ...OPTIONS, perSecond: 100 }).map((arrival) => ({ ...arrival, organisation: 0, promptTokens: 2_000 }))
  const [first, second] = [maker.make({ ...one!, id: 0 }), maker.make({ ...fifth!, id: 4 })]
  t.is(first.length, 8_000)
  t.not(first, second)
  t.is(first.slice(0, 768 * 4), second.slice(0, 768 * 4))
  t.is(maker.make({ ...one!, id: 0 }), first)
})

test('length classes contain their upper bound', (t) => {
  t.deepEqual([4_000, 4_001, 100_000, 100_001].map(lengthClassOf), ['under_4k', '4k_32k', '32k_100k', '100k_1m'])
})

test('a healthy engine answers everything', async (t) => {
  const report = await runAgainst(await startEngine(t), {})
  t.true(report.offered > 5)
  t.is(report.answered, report.offered)
  t.is(report.lost + report.refused + report.failed, 0)
  t.is(report.ledgers!.heldTokens, 0)
})

test('crossed, cut and silent answers count as lost', async (t) => {
  const crossed = await runAgainst(await faulty(t, { crossed: 1 }), { minAnswerTokens: 100 })
  t.true(crossed.wrong >= 1)
  t.is(crossed.lost, crossed.wrong)
  const cut = await runAgainst(await faulty(t, { cutMidStream: 2 }), {})
  t.is(cut.broken, 2)
  t.is(cut.lost, 2)
  const silent = await runAgainst(await faulty(t, { stallStreams: 1 }), { deadlineMs: 1_000, graceMs: 200 })
  t.is(silent.late, 1)
  t.is(silent.lost, 1)
})

test('a broken call is sent again and the repetition shows in the ledger', async (t) => {
  const report = await runAgainst(await faulty(t, { cutMidStream: 2 }), { retries: 1 })
  t.is(report.lost, 0)
  t.is(report.sentAgain, 2)
  t.is(report.ledgers!.repeatedRuns, 2)
})

test('the ledgers show doubled orders and untruthful refusals', (t) => {
  const arrival = { id: 0, kind: 'order', atMs: 0, organisation: 0, promptTokens: 0, maxTokens: 0, twice: false } as const
  const record = (key: string, outcome: RequestRecord['outcome']): RequestRecord => ({ arrival, outcome, digest: null, key, sends: 1 })
  const answered = { type: 'answered', firstTokenMs: 1, totalMs: 1, tokens: 0 } as const
  const refused = { type: 'refused', code: 'overloaded', retryAfterMs: 1, totalMs: 1 } as const
  const records = [record('a', answered), record('b', refused), record('c', answered), record('d', refused)]
  const proof = proveByLedgers([{ executions: { a: 1, b: 1 } }, { executions: { a: 1 } }], records)
  t.is(proof.doubled, 1)
  t.is(proof.untruthful, 1)
  t.is(proof.phantom, 1)
})
