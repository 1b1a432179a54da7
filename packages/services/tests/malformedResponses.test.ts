import test from 'ava'
import fc from 'fast-check'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

import { decodeConfigurationValue, encodeConfigurationValue, HttpKeyValueService, HttpModelEngine, HttpPool, HttpVmList } from '../src/index.js'
import type { CallFailure, ConfigurationValue, EditId, Result } from '../src/index.js'

/** Starts a server that sends the status and body of `answer` to every request. */
const openFixedResponseServer = async (): Promise<{ address: string, answer: { status: number, body: string | Uint8Array }, close: () => void }> => {
  const answer: { status: number, body: string | Uint8Array } = { status: 200, body: '' }
  const server = createServer((request, response) => {
    request.resume().once('end', () => {
      response.statusCode = answer.status
      response.end(answer.body)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, answer, close: () => { server.closeAllConnections(); server.close() } }
}

const STATUS = {
  model: 'm',
  version: 'v',
  adapters: [],
  role: 'mixed',
  loading: null,
  capacity: { tokens: 1, slots: 1, blockTokens: 16, chunkTokens: 512 },
  load: { asOf: 0, running: 0, waiting: 0, freeTokens: 0, pendingPrefillTokens: 0, prefillTokensPerSecond: 0, decodeTokensPerSecond: 0 },
  streams: [{ request_id: 'r', promptTokens: 1, generated: 0, heldTokens: 1, ageMs: 1 }],
  segments: []
}
const RANGE = { header: { revision: '3' }, kvs: [{ key: 'YQ==', value: 'Yg==', mod_revision: '2', create_revision: '1', version: '1', lease: '0' }], more: false }
const TRANSACTION = { header: { revision: '3' }, succeeded: true, responses: [{ response_range: RANGE }, { response_put: {} }] }
const VMS = { vms: [{ name: 'a', address: '10.0.0.1', failureDomain: 'd', role: 'backend', state: 'live', kind: 'engine', service: null, port: 80 }], asOf: 1 }

/** Replaces one random part of a JSON value by another value. */
const withRandomReplacement = (value: unknown): fc.Arbitrary<unknown> => fc.tuple(fc.nat(40), fc.jsonValue()).map(([place, replacement]) => {
  let count = 0
  return JSON.parse(JSON.stringify(value, (_key, inner: unknown) => {
    count += 1
    return count === place ? replacement : inner
  }) ?? 'null')
})

const FAILURES = new Set(['malformed', 'rejected', 'not_started', 'interrupted'])

test('a client does not throw on any response', async (t) => {
  const server = await openFixedResponseServer()
  const pool = new HttpPool()
  t.teardown(async () => {
    await pool.dispose()
    server.close()
  })
  const engine = new HttpModelEngine(pool, server.address)
  const keyValue = new HttpKeyValueService(pool, [server.address])
  const vmList = new HttpVmList(pool, [server.address])
  const calls: Record<string, { sample: unknown, run: () => Promise<Result<unknown, CallFailure>> }> = {
    status: { sample: STATUS, run: async () => await engine.status() },
    events: { sample: { from: 0, next: 1, events: [{ seq: 0, kind: 'stored', blocks: ['aa'] }] }, run: async () => await engine.cacheEvents(0, 0) },
    range: { sample: RANGE, run: async () => await keyValue.range({ key: 'a' }) },
    transact: { sample: TRANSACTION, run: async () => await keyValue.transact({ compare: [], success: [], failure: [] }) },
    lease: { sample: { ID: '7', TTL: '60' }, run: async () => await keyValue.grantLease(60) },
    vms: { sample: VMS, run: async () => await vmList.read() }
  }
  let accepted = 0
  for (const [name, { sample, run }] of Object.entries(calls)) {
    server.answer.status = 200
    server.answer.body = JSON.stringify(sample)
    t.true((await run()).ok, name)
    const bodies = fc.oneof(withRandomReplacement(sample).map((value) => JSON.stringify(value)), fc.string(), fc.uint8Array({ maxLength: 100 }))
    await fc.assert(fc.asyncProperty(bodies, fc.constantFrom(200, 200, 200, 400, 429, 503), async (body, status) => {
      Object.assign(server.answer, { body, status })
      const result = await run()
      if (result.ok) accepted += 1
      return result.ok ? status === 200 : FAILURES.has(result.failure.type)
    }), { seed: 61, numRuns: 150 })
  }
  t.true(accepted > 0)
})

test('a watch reports its end after any response', async (t) => {
  const server = await openFixedResponseServer()
  const pool = new HttpPool()
  t.teardown(async () => {
    await pool.dispose()
    server.close()
  })
  const keyValue = new HttpKeyValueService(pool, [server.address])
  const event = JSON.stringify({ result: { header: { revision: '4' }, created: true, events: [{ type: 'PUT', kv: RANGE.kvs[0] }] } })
  await fc.assert(fc.asyncProperty(fc.array(fc.oneof(fc.constant(event), fc.string()), { maxLength: 5 }), async (lines) => {
    Object.assign(server.answer, { body: lines.join('\n'), status: 200 })
    let changes = 0
    const failure = await new Promise<CallFailure>((resolve) => {
      keyValue.watch({ key: 'a' }, { opened: () => {}, changed: () => { changes += 1 }, closed: resolve })
    })
    return FAILURES.has(failure.type) && changes <= lines.length
  }), { seed: 62, numRuns: 200 })
  t.pass()
})

test('a stored value is decoded as it was encoded, and other bytes do not throw', (t) => {
  const value: ConfigurationValue = { name: 'fleet', revision: 3, edit: 'e' as EditId, author: 'a', editedAt: 1, removed: false, text: 'kind: fleet\n', history: [] }
  t.deepEqual(decodeConfigurationValue(encodeConfigurationValue(value)), value)
  const bytes = fc.oneof(fc.uint8Array({ maxLength: 200 }), withRandomReplacement({ format: 1, ...value }).map((changed) => Buffer.from(JSON.stringify(changed) ?? '')))
  fc.assert(fc.property(bytes, (stored) => {
    const decoded = decodeConfigurationValue(stored)
    return decoded === null || (typeof decoded.text === 'string' && decoded.revision >= 1)
  }), { seed: 63, numRuns: 2_000 })
})
