import { readFileSync } from 'node:fs'

import test from 'ava'
import fc from 'fast-check'
import { OutcomeKind, Ran } from '@bluebellhill/domain'

import { RESULT_CODES, codeOf, errorBody, errorHeaders, findCode, isTruthful, listCodes, resultCodesDocument } from '../src/index.js'

const outcome = fc.record({
  kind: fc.constantFrom(...Object.values(OutcomeKind)),
  ran: fc.constantFrom(...Object.values(Ran)),
  retryAfter: fc.option(fc.double({ min: 0, max: 1e7, noNaN: true }), { nil: undefined }),
  detail: fc.option(fc.string({ maxLength: 1_000 }), { nil: undefined })
}).map(({ retryAfter, detail, ...rest }) => ({
  ...rest,
  ...(retryAfter === undefined ? {} : { retryAfter }),
  ...(detail === undefined ? {} : { detail })
}))

test('every outcome kind has one number, name and sentence', (t) => {
  const codes = Object.values(RESULT_CODES)
  t.deepEqual(codes.map((code) => code.name).sort(), Object.values(OutcomeKind).sort())
  t.is(new Set(codes.map((code) => code.number)).size, codes.length)
  t.true(codes.every((code) => code.sentence.endsWith('.') && code.operator.endsWith('.') && code.ran.length > 0))
  t.true(codes.every((code) => code.name === OutcomeKind.Answered ? code.status === 200 : code.status >= 400))
})

test('a code is found by number and by name', (t) => {
  for (const code of listCodes()) {
    t.is(findCode(String(code.number)), code)
    t.is(findCode(code.name), code)
  }
  t.is(findCode('9999'), undefined)
})

test('an error answer has the documented shape and names when to come back', (t) => {
  fc.assert(fc.property(outcome, (value) => {
    const { error } = errorBody(value, 'r1')
    const headers = errorHeaders(value, 'r1')
    const code = codeOf(value.kind)
    const retries = code.retry && value.retryAfter !== undefined
    return Object.keys(error).join() === 'message,type,code,number,ran,request_id,retry_after_ms' &&
      error.number === code.number && error.ran === value.ran &&
      (error.retry_after_ms !== null) === retries && ('retry-after' in headers) === retries &&
      Number(headers['retry-after'] ?? 0) * 1_000 >= (error.retry_after_ms ?? 0)
  }), { seed: 621, numRuns: 1_000 })
  t.pass()
})

test('a client is told to send again by itself only what did not run', (t) => {
  fc.assert(fc.property(outcome, (value) =>
    errorHeaders(value, 'r1')['x-should-retry'] !== 'true' || value.ran === Ran.No
  ), { seed: 622, numRuns: 1_000 })
  t.pass()
})

test('a key in progress is never claimed not to have run', (t) => {
  t.false(isTruthful({ kind: OutcomeKind.KeyInProgress, ran: Ran.No }))
  t.false(isTruthful({ kind: OutcomeKind.AnswerLost, ran: Ran.No }))
  t.true(isTruthful({ kind: OutcomeKind.Overloaded, ran: Ran.No }))
})

test('the page of result codes matches the table', (t) => {
  const page = readFileSync(new URL('../../../../docs/RESULT-CODES.md', import.meta.url), 'utf8')
  t.is(page, resultCodesDocument())
})
