import test from 'ava'
import fc from 'fast-check'
import { OutcomeKind } from '@bluebellhill/domain'
import { listCodes } from '@bluebellhill/protocol'

import { API_KEY, sendRaw, startNode } from './fuzzDaemon.js'
import type { RawAnswer } from './fuzzDaemon.js'

const CODE_BY_NUMBER = new Map(listCodes().map((code) => [code.number, code]))

/** Returns why an answer shows a fault of the node, or null if it is a success or a valid numbered error. */
const findFault = (answer: RawAnswer, method: string): string | null => {
  if (answer.status === 0) return 'the connection was closed without an answer'
  if (answer.status < 400 || method === 'HEAD') return null
  try {
    const { error } = JSON.parse(answer.body)
    const code = CODE_BY_NUMBER.get(error.number)
    if (code === undefined || code.name !== error.code || code.status !== answer.status) return `no numbered error: ${answer.body}`
    if (!code.ran.includes(error.ran)) return `${error.code} carries ran ${error.ran}`
    return error.code === OutcomeKind.Internal ? `internal error: ${answer.headers}` : null
  } catch {
    return `status ${answer.status} without a JSON error: ${answer.body.slice(0, 200)}`
  }
}

const PATHS = ['/v1/completions', '/v1/chat/completions', '/v1/models', '/services/orders/place', '/services/', '/healthz', '/readyz', '/metrics', '/', 'toString', '//', '/v1/%00', '/services/__proto__/x']

const method = fc.constantFrom('GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'HEAD', 'OPTIONS')
const path = fc.oneof(
  { weight: 5, arbitrary: fc.constantFrom(...PATHS) },
  fc.webPath().filter((text) => text.startsWith('/')),
  fc.webQueryParameters().map((query) => `/v1/models?${query}`)
)
const printable = fc.stringMatching(/^[ -~]{0,60}$/)
const headerValue = fc.oneof(printable, fc.stringMatching(/^[\x80-\xff]{1,20}$/), fc.constantFrom('-1', '0', '1e9', '999999999999', 'NaN', `Bearer ${API_KEY}`, 'a'.repeat(300)))
const headers = fc.dictionary(fc.constantFrom('x-deadline-ms', 'idempotency-key', 'content-type', 'expect', 'accept', 'x-request-id', 'content-encoding', 'connection'), headerValue, { maxKeys: 4 })
const authorization = fc.oneof({ weight: 4, arbitrary: fc.constant(`Bearer ${API_KEY}`) }, headerValue)

const field = fc.oneof(fc.jsonValue({ maxDepth: 2 }), fc.constantFrom('enquiry', 'ask', 'slip', 'order', '__proto__', 1, -1, 1e308, true, null))
const nearlyValid = fc.record({
  model: field,
  prompt: field,
  messages: fc.oneof(field, fc.array(fc.record({ role: field, content: field }, { requiredKeys: [] }), { maxLength: 3 })),
  max_tokens: field,
  stream: field,
  temperature: field,
  stop: field,
  n: field,
  parameters: field
}, { requiredKeys: [] })
const plausible = fc.record({
  model: fc.constantFrom('enquiry', 'ask', 'slip'),
  prompt: fc.string({ minLength: 1, maxLength: 200, unit: 'binary' }),
  messages: fc.constant([{ role: 'user', content: 'x' }]),
  stream: fc.boolean()
}, { requiredKeys: ['model'] })
const body = fc.oneof(
  plausible.map((value) => Buffer.from(JSON.stringify(value))),
  nearlyValid.map((value) => Buffer.from(JSON.stringify(value))),
  fc.uint8Array({ maxLength: 300 }).map((bytes) => Buffer.from(bytes)),
  fc.constantFrom(Buffer.alloc(0), Buffer.from('['.repeat(20_000)), Buffer.from('{"a":'.repeat(5_000)), Buffer.alloc(70_000, 'x'))
)

const encode = (head: string, content: Buffer): Buffer => Buffer.concat([Buffer.from(head, 'latin1'), content])

test('any HTTP request gets a success or a numbered error, and the node keeps serving', async (t) => {
  const node = await startNode()
  t.teardown(() => node.stop())
  const { caller } = node.addresses
  await fc.assert(fc.asyncProperty(method, path, authorization, headers, body, async (verb, target, key, extra, content) => {
    const lines = Object.entries(extra).filter(([name]) => name !== 'connection').map(([name, value]) => `${name}: ${value}\r\n`).join('')
    const head = `${verb} ${target} HTTP/1.1\r\nhost: node\r\nauthorization: ${key}\r\n${lines}connection: close\r\ncontent-length: ${content.length}\r\n\r\n`
    const answer = await sendRaw(caller, encode(head, content))
    // the readiness probe of the load balancer answers 503 without a numbered error
    if (target === '/readyz' && answer.status === 503) return
    const fault = findFault(answer, verb)
    if (fault !== null) throw new Error(`${verb} ${target}: ${fault}`)
  }), { seed: 701, numRuns: 600 })
  t.is((await sendRaw(caller, Buffer.from('GET /healthz HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n'))).status, 200)
})

test('bytes that are not HTTP get a numbered error', async (t) => {
  const node = await startNode()
  t.teardown(() => node.stop())
  const { caller } = node.addresses
  const garbage = fc.oneof(
    fc.uint8Array({ minLength: 1, maxLength: 200 }).map((bytes) => Buffer.from(bytes)),
    fc.constantFrom(
      'GET / HTTP/9.9\r\n\r\n',
      'GET /healthz HTTP/1.1\r\nhost node\r\n\r\n',
      'POST /v1/completions HTTP/1.1\r\nhost: node\r\ncontent-length: x\r\n\r\n',
      'POST /v1/completions HTTP/1.1\r\nhost: node\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\nzzz',
      `GET / HTTP/1.1\r\nhost: node\r\nx: ${'a'.repeat(40_000)}\r\n\r\n`
    ).map((text) => Buffer.from(text))
  ).map((bytes) => Buffer.concat([bytes, Buffer.from('\r\n\r\n')]))
  await fc.assert(fc.asyncProperty(garbage, async (bytes) => {
    const fault = findFault(await sendRaw(caller, bytes), '')
    if (fault !== null) throw new Error(fault)
  }), { seed: 702, numRuns: 300 })
  t.is((await sendRaw(caller, Buffer.from('GET /healthz HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n'))).status, 200)
})
