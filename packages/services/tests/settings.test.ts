import test from 'ava'
import fc from 'fast-check'

import { formatProblem, loadSettings } from '../src/index.js'

const GOOD = `name: bayangol-1
region: ulaanbaatar
failureDomain: bayangol
listen:
  caller: 127.0.0.1:0
  peer: 127.0.0.1:0
  gossip: 127.0.0.1:0
  admin: 127.0.0.1:0
secrets:
  peer: [abcdefghijklmnopqrst]
`

const problemsIn = (text: string): string[] => {
  const result = loadSettings(text, 'node.yaml')
  return result.ok ? [] : result.failure.map(formatProblem)
}

test('settings with only the required fields get the defaults', (t) => {
  const result = loadSettings(GOOD, 'node.yaml')
  if (!result.ok) return t.fail(result.failure.map(formatProblem).join('\n'))
  t.is(result.value.limits.bodyBytes, 16 * 1024 * 1024)
  t.is(result.value.limits.drainGrace, 5_000)
  t.is(result.value.policy.name, 'length_aware')
  t.deepEqual(result.value.platform, { keyValue: [], vmList: [], weightStore: [] })
})

test('every problem names file, line, field and what is allowed', (t) => {
  const text = GOOD.replace('127.0.0.1:0', 'localhost:80').replace('region: ulaanbaatar\n', '') + 'limits:\n  bodyBytes: 5\n  bodySize: 2MiB\npolicy:\n  name: fastest\n'
  t.deepEqual(problemsIn(text).map((line) => line.replace(/the fields bodyBytes.*/, 'the fields ...')), [
    'node.yaml:1: region is missing; allowed: a name of at most 63 letters, digits, "." "_" "-" that begins with a letter or a digit',
    'node.yaml:4: listen.caller must not be "localhost:80"; allowed: an IP address and a port, such as 10.0.0.1:7400; port 0 selects a free port',
    'node.yaml:11: limits.bodyBytes must not be 5; allowed: a size from 1KiB to 256MiB, such as 512KiB or 8MiB',
    'node.yaml:12: limits.bodySize is not a known field; allowed: the fields ...',
    'node.yaml:14: policy.name must not be "fastest"; allowed: one of round_robin, least_reported_load, length_aware'
  ])
})

test('the message about an invalid secret does not contain it', (t) => {
  const [problem] = problemsIn(GOOD.replace('abcdefghijklmnopqrst', 'hunter2'))
  t.regex(problem ?? '', /^node.yaml:10: secrets.peer\[0\] is not as it has to be; allowed: /)
})

test('a service name belongs to plain services only', (t) => {
  const runner = (rest: string): string => `${GOOD}runners:\n  - {name: r1, address: "10.0.0.1:80", failureDomain: a, ${rest}}\n`
  t.deepEqual(problemsIn(runner('kind: plain, service: orders')), [])
  t.is(problemsIn(runner('kind: plain')).length, 1)
  t.is(problemsIn(runner('kind: engine, service: orders')).length, 1)
})

test('a repeated runner is reported at its line', (t) => {
  const entry = '  - {name: r1, address: "10.0.0.1:80", failureDomain: a, kind: engine}\n'
  t.deepEqual(problemsIn(`${GOOD}runners:\n${entry}${entry}`), ['node.yaml:13: runners[1] repeats the name "r1"; allowed: each name once'])
})

test('a key retention below the longest deadline plus one minute is a problem', (t) => {
  t.is(problemsIn(`${GOOD}limits: {longestDeadline: 10m, keyRetention: 5m}\n`).length, 1)
  t.deepEqual(problemsIn(`${GOOD}limits: {longestDeadline: 4m, keyRetention: 5m}\n`), [])
})

test('invalid YAML is reported with its line', (t) => {
  t.regex(problemsIn(`${GOOD}limits: {`)[0] ?? '', /^node.yaml:\d+: the file is not valid YAML/)
  t.regex(problemsIn('')[0] ?? '', /^node.yaml:1: the file must not be null/)
})

test('no text crashes the decoder', (t) => {
  const pieces = fc.constantFrom(...GOOD.split('\n'), '- ', '&a', '*a', '<<: *a', '? :', '{', '[', '__proto__: 1', '"', '|', '!!binary x', '\t', '---', 'name: &n [*n]')
  const texts = fc.oneof(fc.string({ maxLength: 200 }), fc.array(pieces, { maxLength: 20 }).map((lines) => lines.join('\n')))
  fc.assert(fc.property(texts, (text) => {
    const result = loadSettings(text, 'f')
    return result.ok || result.failure.every((problem) => problem.line >= 1 && problem.allowed !== '')
  }), { seed: 31, numRuns: 3_000 })
  t.pass()
})

test('deep nesting and exponential alias expansion are reported as problems', (t) => {
  t.true(problemsIn('['.repeat(20_000)).length > 0)
  const bomb = ['a: &a [x,x,x,x,x,x,x,x,x]', ...'bcdefgh'.split('').map((name, index) => `${name}: &${name} [${Array(9).fill(`*${'abcdefg'[index]}`).join(',')}]`)].join('\n')
  t.true(problemsIn(bomb).length > 0)
})
