import test from 'ava'
import { request } from 'undici'

import { createKeyValue } from '../src/keyValue/createKeyValue.js'
import { createPlain } from '../src/plain/createPlain.js'
import { VmList } from '../src/vmList/VmList.js'
import { createWeightStore } from '../src/weightStore/createWeightStore.js'
import { get, post, until } from './helpers.js'

const LOCAL = '127.0.0.1:0'
const UNLIMITED = { name: 'kv', writesPerSecond: 0, readsPerSecond: 0 }

const base64 = (text: string): string => Buffer.from(text).toString('base64')

test('a lost answer leaves the write in effect', async (t) => {
  const made = createKeyValue(UNLIMITED, LOCAL)
  t.teardown(async () => await made.dispose())
  const { address, control } = await made.server.start()
  await post(control, '/faults', { loseAnswers: 1 })
  await t.throwsAsync(post(address, '/v3/kv/put', { key: base64('k'), value: base64('v') }))
  const read = await post(address, '/v3/kv/range', { key: base64('k') })
  t.is((read.json['kvs'] as { value: string }[])[0]!.value, base64('v'))
})

test('a watch streams changes and ends when the service goes down', async (t) => {
  const made = createKeyValue(UNLIMITED, LOCAL)
  t.teardown(async () => await made.dispose())
  const { address, control } = await made.server.start()
  const watch = await request(`http://${address}/v3/watch`, { method: 'POST', body: JSON.stringify({ create_request: { key: base64('a'), range_end: base64('b') } }) })
  let lines = ''
  const ended = (async () => { for await (const part of watch.body) lines += String(part) })()
  await post(address, '/v3/kv/put', { key: base64('a1'), value: base64('v') })
  await post(address, '/v3/kv/put', { key: base64('z'), value: base64('v') })
  await until(() => lines.split('\n').length > 2)
  const results = lines.trim().split('\n').map((line) => (JSON.parse(line) as { result: { created?: boolean, events?: { kv: { key: string } }[] } }).result)
  t.true(results[0]!.created)
  t.deepEqual(results.slice(1).map(({ events }) => events![0]!.kv.key), [base64('a1')])
  await post(control, '/faults', { downMs: 200 })
  await t.throwsAsync(ended)
  await t.throwsAsync(get(address, '/health'))
  await until(async () => await get(address, '/health').then(() => true, () => false))
})

test('writes above the rate, outages and stale reads answer as set', async (t) => {
  const made = createKeyValue({ ...UNLIMITED, writesPerSecond: 5 }, LOCAL)
  t.teardown(async () => await made.dispose())
  const { address, control } = await made.server.start()
  const statuses = []
  for (let index = 0; index < 8; index++) statuses.push((await post(address, '/v3/kv/put', { key: base64('k'), value: base64(String(index)) })).status)
  t.deepEqual(statuses.slice(0, 5), [200, 200, 200, 200, 200])
  t.true(statuses.includes(429))
  await post(control, '/faults', { staleRevisions: 2, writesPerSecond: 0 })
  const { revision } = made.keyValue.store
  const stale = await post(address, '/v3/kv/range', { key: base64('k') })
  t.is((stale.json['header'] as { revision: string }).revision, String(revision - 2))
  await post(control, '/faults', { unavailable: true })
  t.is((await post(address, '/v3/kv/range', { key: base64('k') })).status, 503)
  t.is((await post(control, '/faults', { nonsense: true })).status, 400)
})

test('a plain service counts what ran, also when its answer is lost', async (t) => {
  const made = createPlain({ name: 'p', serviceMs: 0, honourIdempotencyKey: false }, LOCAL)
  t.teardown(async () => await made.dispose())
  const { address, control } = await made.server.start()
  await post(control, '/faults', { refuseNotStarted: 1 })
  t.is((await post(address, '/orders', { key: 'a' })).status, 503)
  await post(control, '/faults', { loseAnswers: 1 })
  await t.throwsAsync(post(address, '/orders', { key: 'a' }))
  await post(control, '/faults', { cutAnswers: 1 })
  await t.throwsAsync(post(address, '/orders', { key: 'b' }))
  t.deepEqual((await post(address, '/orders', {}, { 'x-request-key': 'b' })).json, { executed: 2, key: 'b' })
  t.deepEqual((await get(control, '/ledger')).json['executions'], { a: 1, b: 2 })
})

test('the VM list answers late, hides and invents as set', (t) => {
  const list = new VmList(1_000)
  const vm = { name: 'e1', address: '127.0.0.1', failureDomain: 'd1', role: 'entry', state: 'live', kind: null, service: null, port: 1 } as const
  list.replace([vm], 5_000)
  t.deepEqual(list.answer(5_500).vms, [])
  t.deepEqual(list.answer(6_000).vms, [vm])
  list.change('e1', 'leaving', 7_000)
  t.is(list.answer(7_900).vms[0]!.state, 'live')
  t.is(list.answer(8_000).vms[0]!.state, 'leaving')
  list.faults.ghosts = 'e1'
  list.change('e1', null, 9_000)
  t.is(list.answer(11_000).vms[0]!.name, 'e1')
  list.faults.ghosts = ''
  t.deepEqual(list.answer(11_000).vms, [])
})

test('the weight store sends whole weights and refuses more transfers than it may have', async (t) => {
  const made = createWeightStore({ name: 'w', bytesPerSecond: 4_000_000, modelBytes: 400_000, maxTransfers: 1 }, LOCAL)
  t.teardown(async () => await made.dispose())
  const { address } = await made.server.start()
  const first = await request(`http://${address}/v1/weights/m/1`)
  t.is((await request(`http://${address}/v1/weights/m/1`)).statusCode, 429)
  t.is((await first.body.arrayBuffer()).byteLength, 400_000)
})
