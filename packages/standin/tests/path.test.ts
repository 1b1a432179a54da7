import test from 'ava'
import OpenAI from 'openai'

import { DEFAULT_FLEET_PLAN, Fleet, MODEL } from '../src/index.js'
import { call, complete, executions, expectedText, order, streamedText, until } from './calls.js'

const fleet = new Fleet({ ...DEFAULT_FLEET_PLAN, engines: 3, configurationFromFiles: false })

test.before(async () => { await fleet.start() })
test.after.always(async () => { await fleet.dispose() })

const address = (index: number): string => fleet.callerAddresses[index] ?? ''

const client = (index: number): OpenAI =>
  new OpenAI({ baseURL: `http://${address(index)}/v1`, apiKey: DEFAULT_FLEET_PLAN.organisations[0]!.apiKey, maxRetries: 0 })

test.serial('the official client completes, whole and streamed', async (t) => {
  const prompt = 'when do pellets arrive'
  const whole = await client(0).completions.create({ model: MODEL, prompt, max_tokens: 12 })
  t.is(whole.choices[0]?.text, expectedText(prompt, 12))
  t.is(whole.usage?.completion_tokens, 12)
  let text = ''
  const stream = await client(1).completions.create({ model: MODEL, prompt, max_tokens: 12, stream: true })
  for await (const chunk of stream) text += chunk.choices[0]?.text ?? ''
  t.is(text, expectedText(prompt, 12))
})

test.serial('the official client chats, whole and streamed', async (t) => {
  const messages = [{ role: 'user' as const, content: 'how much is a sack' }]
  const whole = await client(2).chat.completions.create({ model: MODEL, messages, max_tokens: 6 })
  const content = whole.choices[0]?.message.content ?? ''
  t.is(content.trim().split(' ').length, 6)
  let text = ''
  const stream = await client(0).chat.completions.create({ model: MODEL, messages, max_tokens: 6, stream: true, stream_options: { include_usage: true } })
  let usage = 0
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? ''
    usage = chunk.usage?.completion_tokens ?? usage
  }
  t.is(text, content)
  t.is(usage, 6)
})

test.serial('the official client lists models and reads errors', async (t) => {
  const models = await client(0).models.list()
  t.true(models.data.some((model) => model.id === MODEL))
  await t.throwsAsync(client(0).completions.create({ model: 'stray', prompt: 'x' }), { instanceOf: OpenAI.NotFoundError })
})

const GOOD = JSON.stringify({ model: MODEL, prompt: 'x', max_tokens: 1 })

const BAD_INPUT = [
  ['no key', { apiKey: null, body: GOOD }, 401, 'unauthorised'],
  ['wrong key', { apiKey: 'stray', body: GOOD }, 401, 'unauthorised'],
  ['unknown model', { body: JSON.stringify({ model: 'stray', prompt: 'x' }) }, 404, 'unknown_model'],
  ['malformed JSON', { body: '{"model":' }, 400, 'bad_request'],
  ['wrong type', { body: JSON.stringify({ model: MODEL, prompt: 7 }) }, 400, 'bad_request'],
  ['no prompt', { body: JSON.stringify({ model: MODEL }) }, 400, 'bad_request'],
  ['deadline in the past', { headers: { 'x-deadline-ms': '-5' }, body: GOOD }, 504, 'deadline_passed'],
  ['garbage deadline', { headers: { 'x-deadline-ms': 'soon' }, body: GOOD }, 400, 'bad_request'],
  ['garbage key', { headers: { 'idempotency-key': 'a b' }, body: GOOD }, 400, 'bad_request'],
  ['body over the limit', { body: Buffer.alloc(33 * 1_048_576, 'x') }, 413, 'too_large']
] as const

for (const [name, options, status, code] of BAD_INPUT) {
  test.serial(`bad input: ${name}`, async (t) => {
    const result = await call(address(0), '/v1/completions', options)
    t.is(result.status, status)
    t.is(result.error?.code, code)
    t.is(result.error?.ran, 'no')
    t.true((result.error?.number ?? 0) >= 1_000)
    t.true((result.error?.message.length ?? 0) > 20)
  })
}

test.serial('bad input: unknown route and service', async (t) => {
  t.is((await call(address(0), '/v2/stray', { body: GOOD })).error?.code, 'unknown_route')
  t.is((await call(address(0), '/services/stray/x', { body: GOOD })).error?.code, 'unknown_route')
})

test.serial('one key at two nodes runs once, and the second gets the answer again', async (t) => {
  const first = await order(address(0), 'twice')
  const second = await order(address(1), 'twice')
  t.is(first.status, 200)
  t.is(second.text, first.text)
  t.is(await executions(fleet.plains, 'twice'), 1)
})

test.serial('one key with another body is a conflict', async (t) => {
  await order(address(0), 'conflict')
  const other = await order(address(2), 'conflict', { key: 'conflict', sacks: 9 })
  t.is(other.error?.code, 'key_conflict')
  t.is(await executions(fleet.plains, 'conflict'), 1)
})

interface Boundary {
  readonly name: string
  readonly faults: Readonly<Record<string, unknown>>
  readonly status: number
  readonly ran: string | null
  readonly executions: number
}

const MANY = 1_000

const BOUNDARIES: readonly Boundary[] = [
  { name: 'connection refused', faults: { downMs: 4_000 }, status: 503, ran: 'no', executions: 0 },
  { name: 'the server says that it did not start', faults: { refuseNotStarted: MANY }, status: 503, ran: 'no', executions: 0 },
  { name: 'reset before the headers', faults: { closeBeforeHeaders: MANY }, status: 502, ran: 'unknown', executions: 0 },
  { name: 'half a body sent', faults: { cutHalfBody: MANY }, status: 502, ran: 'unknown', executions: 0 },
  { name: 'answer lost', faults: { loseAnswers: MANY }, status: 502, ran: 'unknown', executions: 1 },
  { name: 'answer cut in the middle', faults: { cutAnswers: MANY }, status: 502, ran: 'yes', executions: 1 }
]

for (const [index, boundary] of BOUNDARIES.entries()) {
  test.serial(`truth: ${boundary.name}`, async (t) => {
    const key = `truth-${index}`
    await Promise.all(fleet.plains.map(async ({ process }) => await fleet.setFaults(process, boundary.faults)))
    const result = await order(address(index % 3), key)
    const off = Object.fromEntries(Object.keys(boundary.faults).map((name) => [name, 0]))
    await Promise.all(fleet.plains.map(async ({ process }) => await fleet.setFaults(process, off)))
    for (const node of [0, 1, 2]) await until('orders run again', 15_000, async () => (await order(address(node), `${key}-after-${node}`)).status === 200)
    t.is(result.status, boundary.status)
    t.is(result.error?.ran ?? null, boundary.ran)
    t.is(await executions(fleet.plains, key), boundary.executions)
  })
}

test.serial('a call that did not run may be sent again with its key', async (t) => {
  await Promise.all(fleet.plains.map(async ({ process }) => await fleet.setFaults(process, { refuseNotStarted: MANY })))
  const refused = await order(address(0), 'again')
  await Promise.all(fleet.plains.map(async ({ process }) => await fleet.setFaults(process, { refuseNotStarted: 0 })))
  const answered = await order(address(1), 'again')
  t.is(refused.error?.ran, 'no')
  t.truthy(refused.headers['retry-after'])
  t.is(answered.status, 200)
  t.is(await executions(fleet.plains, 'again'), 1)
})

const ENGINE_FAULTS = [
  ['closed before the headers', { closeBeforeHeaders: 2 }],
  ['closed after the headers', { closeAfterHeaders: 2 }],
  ['cut in the middle', { cutMidStream: 2, cutAfterTokens: 3 }],
  ['half the body', { cutHalfBody: 2 }],
  ['a wrong request id', { wrongId: 1 }],
  ['two streams crossed', { crossed: 2 }]
] as const

for (const [name, faults] of ENGINE_FAULTS) {
  test.serial(`engine: ${name}`, async (t) => {
    const before = await crossedAnswers()
    await Promise.all(fleet.engines.map(async ({ process }) => await fleet.setFaults(process, faults)))
    const prompts = [0, 1, 2, 3].map((turn) => `${name} ${turn}`)
    const results = await Promise.all(prompts.map(async (prompt, turn) => await complete(address(turn % 3), prompt, 20)))
    const off = Object.fromEntries(Object.keys(faults).map((fault) => [fault, 0]))
    await Promise.all(fleet.engines.map(async ({ process }) => await fleet.setFaults(process, off)))
    for (const [turn, result] of results.entries()) t.is(streamedText(result), expectedText(prompts[turn] ?? '', 20), result.text.slice(-300))
    if ('wrongId' in faults || 'crossed' in faults) t.true(await crossedAnswers() > before)
  })
}

/** Answers of other requests that the nodes have dropped. */
const crossedAnswers = async (): Promise<number> => {
  const pages = await Promise.all([0, 1, 2].map(async (node) => (await call(address(node), '/metrics', { method: 'GET' })).text))
  const counts = pages.flatMap((page) => [...page.matchAll(/^bluebellhill_answers_dropped_total\{cause="crossed"\} (\d+)$/gm)].map((match) => Number(match[1])))
  return counts.reduce((sum, count) => sum + count, 0)
}
