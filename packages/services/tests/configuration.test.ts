import test from 'ava'
import fc from 'fast-check'

import { checkReferences, Configuration, formatProblem, parseConfiguration, renderPrompt } from '../src/index.js'
import type { Fleet, Organisation } from '../src/index.js'

const FLEET = `kind: fleet
models:
  - name: order-assistant
    versions: [{name: v1}, {name: v2}]
    current: v2
    adapters: [orders-mn]
services:
  - name: order-stock
defaults:
  deadline: 20s
`

const HASH = 'a'.repeat(64)

const ORGANISATION = `kind: organisation
name: bayangol
keys:
  - {name: app, sha256: ${HASH}}
templates:
  - name: enquiry
    request: {shape: chat, maxTokens: 200}
    model: order-assistant
    adapter: orders-mn
    urgency: 1
    idempotent: true
  - name: place-order
    request: {shape: service}
    service: order-stock
    methods: [POST]
    pathPrefix: /orders
    idempotent: false
  - name: any-call
    request: {shape: service}
    service: order-stock
    idempotent: true
`

const parseOrThrow = <File>(text: string): File => {
  const result = parseConfiguration(text, 'file.yaml')
  if (!result.ok) throw new Error(result.failure.map(formatProblem).join('\n'))
  return result.value as unknown as File
}

const problemsIn = (text: string): string[] => {
  const result = parseConfiguration(text, 'file.yaml')
  return result.ok ? [] : result.failure.map((problem) => `${problem.line} ${problem.field}`)
}

test('a template gets the defaults of the fleet and the model', (t) => {
  const configuration = new Configuration(parseOrThrow<Fleet>(FLEET), [parseOrThrow<Organisation>(ORGANISATION)])
  const organisation = configuration.organisationByKeyHash(HASH)!
  const template = configuration.templateFor(organisation, 'order-assistant')
  t.like(template, { name: 'enquiry', version: 'v2', deadline: 20_000, maxTokens: 200, idempotent: true })
  t.is(configuration.templateFor(organisation, 'enquiry'), template)
  t.is(configuration.templateFor(organisation, 'order-stock'), null)
})

test('a service call matches the template with the longest path prefix', (t) => {
  const configuration = new Configuration(parseOrThrow<Fleet>(FLEET), [parseOrThrow<Organisation>(ORGANISATION)])
  const organisation = configuration.organisationByKeyHash(HASH)!
  const nameOf = (method: string, path: string): string | undefined => configuration.serviceTemplateFor(organisation, 'order-stock', method, path)?.name
  t.is(nameOf('POST', '/orders/7'), 'place-order')
  t.is(nameOf('POST', '/orders'), 'place-order')
  t.is(nameOf('POST', '/orderstock'), 'any-call')
  t.is(nameOf('GET', '/orders'), 'any-call')
})

test('a key that two organisations list identifies neither of them', (t) => {
  const first = parseOrThrow<Organisation>(ORGANISATION)
  const second = parseOrThrow<Organisation>(ORGANISATION.replace('name: bayangol', 'name: khan-uul'))
  t.is(new Configuration(null, [first, second]).organisationByKeyHash(HASH), null)
  t.deepEqual(checkReferences(parseOrThrow<Fleet>(FLEET), [first, second]).map(({ organisation, field }) => [organisation, field]), [['khan-uul', 'keys[0].sha256']])
})

test('names that the fleet does not list are reported', (t) => {
  const text = ORGANISATION.replace('orders-mn', 'orders-kk').replace('service: order-stock', 'service: stock')
  const problems = checkReferences(parseOrThrow<Fleet>(FLEET), [parseOrThrow<Organisation>(text)])
  t.deepEqual(problems.map((problem) => problem.field), ['templates[0].adapter', 'templates[1].service'])
})

test('problems are reported with line and field', (t) => {
  t.deepEqual(problemsIn(ORGANISATION.replace('    model: order-assistant\n', '')), ['6 templates[0].model'])
  t.deepEqual(problemsIn(ORGANISATION.replace('shape: chat', 'shape: talk')), ['7 templates[0].request.shape'])
  t.deepEqual(problemsIn(ORGANISATION.replace('urgency: 1', 'urgency: 11')), ['10 templates[0].urgency'])
  t.deepEqual(problemsIn(FLEET.replace('current: v2', 'current: v3')), ['5 models[0].current'])
  t.deepEqual(problemsIn(FLEET.replace('deadline: 20s', 'deadline: 20')), ['10 defaults.deadline'])
  t.deepEqual(problemsIn('kind: other'), ['1 kind'])
})

test('the placeholders of a prompt are replaced in one pass', (t) => {
  const text = ORGANISATION.replace('    urgency: 1\n', '    prompt: "To {{who}}, {{n}}: {{input}}"\n    parameters: [{name: who}, {name: n, type: number, default: 3}]\n')
  const template = parseOrThrow<Organisation>(text).templates[0]!
  t.deepEqual(renderPrompt(template, { who: '{{input}}' }, 'hello {{who}}'), { ok: true, value: 'To {{input}}, 3: hello {{who}}' })
  t.false(renderPrompt(template, {}, '').ok)
  t.false(renderPrompt(template, { who: 1 }, '').ok)
  t.false(renderPrompt(template, { who: 'a', other: 'b' }, '').ok)
  t.false(renderPrompt(template, JSON.parse('{"who":"a","__proto__":"x"}'), '').ok)
})

test('a placeholder without a parameter is a problem', (t) => {
  t.deepEqual(problemsIn(ORGANISATION.replace('    urgency: 1\n', '    prompt: "{{whom}}"\n')), ['10 templates[0].prompt'])
})

test('the decoder does not throw on randomly edited files', (t) => {
  const lines = `${FLEET}\n${ORGANISATION}`.split('\n')
  const edit = fc.record({ line: fc.nat(lines.length - 1), text: fc.oneof(fc.string(), fc.constantFrom('', ' ', '- ', 'name:', '  <<: *x', '{}', '? [a]')), keep: fc.boolean() })
  fc.assert(fc.property(fc.constantFrom(FLEET, ORGANISATION), fc.array(edit, { maxLength: 4 }), (base, edits) => {
    const changed = base.split('\n')
    for (const { line, text, keep } of edits) changed.splice(line % changed.length, keep ? 0 : 1, text)
    const result = parseConfiguration(changed.join('\n'), 'f')
    if (!result.ok) return result.failure.length > 0 && result.failure.every((problem) => problem.line >= 1)
    const organisations = result.value.kind === 'organisation' ? [result.value] : []
    checkReferences(parseOrThrow<Fleet>(FLEET), organisations)
    return new Configuration(null, organisations).organisations.length === organisations.length
  }), { seed: 32, numRuns: 2_000 })
  t.pass()
})
