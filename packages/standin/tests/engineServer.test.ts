import test from 'ava'

import { answerSeed, answerText, preparePrompt } from '../src/text.js'
import { get, post, startEngine, stream, until } from './helpers.js'
import type { RunningEngine } from './helpers.js'

const expected = (prompt: string, count: number): string => answerText(answerSeed(preparePrompt(prompt).bytes), 0, count)

const heldTokens = async ({ address }: RunningEngine): Promise<number> => (await get(address, '/ledger')).json['heldTokens'] as number

const fault = async ({ address }: RunningEngine, faults: Record<string, unknown>): Promise<void> => {
  await post(address, '/faults', faults)
}

test('an answer is whole and its memory is free afterwards', async (t) => {
  const running = await startEngine(t)
  const answers = await Promise.all(Array.from({ length: 20 }, async (_, index) =>
    await stream(running.address, { prompt: `order ${index}`, max_tokens: 30, request_id: `r${index}` })))
  for (const [index, answer] of answers.entries()) {
    t.is(answer.text, expected(`order ${index}`, 30))
    t.true(answer.done)
    t.true(answer.ids.length > 0 && answer.ids.every((id) => id === `r${index}`))
  }
  t.is(await heldTokens(running), 0)
})

test('a cut stream resumes at its offset and gives the same text', async (t) => {
  const running = await startEngine(t)
  await fault(running, { cutMidStream: 1, cutAfterTokens: 5 })
  const first = await stream(running.address, { prompt: 'p', max_tokens: 40, request_id: 'a' })
  t.true(first.broken)
  t.false(first.done)
  t.is(first.text, expected('p', 5))
  const rest = await stream(running.address, { request_id: 'a', resume: { offset: 5 } })
  t.true(rest.done)
  t.is(first.text + rest.text, expected('p', 40))
  t.is(await heldTokens(running), 0)
})

test('a stream that nobody resumes is freed after the window, or held for ever where set so', async (t) => {
  const freeing = await startEngine(t, { resumeWindowMs: 50 })
  const holding = await startEngine(t, { resumeWindowMs: 50, onDisconnect: 'hold' })
  for (const running of [freeing, holding]) {
    await fault(running, { closeAfterHeaders: 1 })
    await stream(running.address, { prompt: 'p', max_tokens: 3, request_id: 'a' })
  }
  await until(async () => await heldTokens(freeing) === 0)
  t.true(await heldTokens(holding) > 0)
  t.deepEqual((await post(holding.address, '/v1/cancel', { request_id: 'a' })).json, { cancelled: true })
  t.is(await heldTokens(holding), 0)
})

test('a cancel stops the stream and frees its memory', async (t) => {
  const running = await startEngine(t)
  const answer = stream(running.address, { prompt: 'p', max_tokens: 100_000, request_id: 'a' })
  await until(async () => await heldTokens(running) > 0)
  t.deepEqual((await post(running.address, '/v1/cancel', { request_id: 'a' })).json, { cancelled: true })
  t.false((await answer).done)
  t.is(await heldTokens(running), 0)
})

test('a refused request says that it did not start, and did not', async (t) => {
  const running = await startEngine(t, { memoryTokens: 2_560 })
  const wrong = await post(running.address, '/v1/completions', { prompt: 'p', model: 'other', request_id: 'a' })
  t.is(wrong.status, 409)
  t.deepEqual(wrong.json, { error: { code: 'wrong_model', started: false } })
  const long = await post(running.address, '/v1/completions', { prompt: 'p'.repeat(20_000), model: 'm', request_id: 'b' })
  t.is(long.status, 413)
  await fault(running, { cutHalfBody: 1, closeBeforeHeaders: 1 })
  t.true((await stream(running.address, { prompt: 'p'.repeat(5_000), request_id: 'c' })).broken)
  t.true((await stream(running.address, { prompt: 'p', request_id: 'd' })).broken)
  t.deepEqual((await get(running.address, '/ledger')).json['runs'], [])
})

test('crossed streams carry each other\'s events and a wrong id shows', async (t) => {
  const running = await startEngine(t, { stepMs: 5 })
  await fault(running, { crossed: 3 })
  const [one, other] = await Promise.all(['a', 'b'].map(async (id) => await stream(running.address, { prompt: id, max_tokens: 60, request_id: id })))
  t.is(one!.ids.filter((id) => id === 'b').length, 3)
  t.is(other!.ids.filter((id) => id === 'a').length, 3)
  await fault(running, { wrongId: 1 })
  t.is((await stream(running.address, { prompt: 'c', request_id: 'c' })).ids[0], 'another-request')
})

test('an engine loads on orders and refuses older fencing numbers', async (t) => {
  const running = await startEngine(t, { model: null, version: null, loadMs: 20 })
  const load = { kind: 'load', model: 'm', version: '2' }
  t.is((await post(running.address, '/v1/engine/orders', { fencing: 7, order: load })).status, 202)
  t.is((await post(running.address, '/v1/engine/orders', { fencing: 7, order: load })).status, 202)
  await until(async () => (await get(running.address, '/v1/engine/status')).json['model'] === 'm')
  const stale = await post(running.address, '/v1/engine/orders', { fencing: 6, order: { kind: 'unload' } })
  t.is(stale.status, 409)
  t.deepEqual(stale.json, { error: { code: 'stale_fencing', current: 7 } })
  await fault(running, { ignoreFencing: true })
  t.is((await post(running.address, '/v1/engine/orders', { fencing: 6, order: { kind: 'unload' } })).status, 202)
  t.is((await get(running.address, '/v1/engine/status')).json['model'], null)
})

test('a prompt of 2.5 engines is prefilled in segments and answered whole', async (t) => {
  const engines = await Promise.all([1, 2, 3].map(async () => await startEngine(t, { memoryTokens: 4_096, newTokenMs: 0.001 })))
  const parts = ['a', 'b', 'c'].map((letter) => letter.repeat(3_400 * 4))
  const prompt = parts.join('')
  for (const [index, { address }] of engines.entries()) {
    const contexts = engines.slice(0, index).map((_, earlier) => `s${earlier}`)
    for (const [earlier, id] of contexts.entries()) {
      const segment = JSON.stringify(await exported(engines[earlier]!, id))
      await post(address, `/v1/kv/import?segment_id=${id}&request_id=a`, JSON.parse(segment))
    }
    const done = await post(address, '/v1/kv/prefill', { request_id: 'a', segment_id: `s${index}`, prompt: parts[index], context_segments: contexts, model: 'm', version: '1', priority: 0 })
    t.deepEqual(done.json, { tokens: 3_400 })
  }
  const last = engines[2]!
  const answer = await stream(last.address, { prompt, max_tokens: 20, request_id: 'a', group: { segments: ['s0', 's1', 's2'] } })
  t.is(answer.text, expected(prompt, 20))
  for (const running of engines) {
    t.true(await heldTokens(running) >= 3_400)
    await post(running.address, '/v1/kv/release', { request_id: 'a' })
    t.is(await heldTokens(running), 0)
    t.is((await get(running.address, '/ledger')).json['importedTokens'], 0)
  }
})

const exported = async ({ address }: RunningEngine, id: string): Promise<unknown> => (await post(address, '/v1/kv/export', { segment_id: id })).json

test('cached prefixes are published late and reused', async (t) => {
  const running = await startEngine(t, { eventDropRate: 0, eventLagMs: 30 })
  const prompt = 'x'.repeat(4 * 256 * 3 + 100)
  await stream(running.address, { prompt, max_tokens: 1, request_id: 'a' })
  const page = (await get(running.address, '/v1/engine/events?after=0&waitMs=5000')).json
  const events = page['events'] as { kind: string, blocks: string[] }[]
  t.deepEqual(events.map(({ kind, blocks }) => [kind, blocks.length]), [['stored', 3]])
  await stream(running.address, { prompt: `${prompt}y`, max_tokens: 1, request_id: 'b' })
  t.deepEqual((await get(running.address, `/v1/engine/events?after=${String(page['next'])}&waitMs=100`)).json['events'], [])
})
