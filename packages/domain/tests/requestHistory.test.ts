import test from 'ava'
import fc from 'fast-check'

import { OutcomeKind, Ran } from '../src/index.js'
import { RequestHistory } from './requestHistory.js'

const SEED = 20_261_203
const HISTORIES = 10_000

const check = (predicate: (history: RequestHistory, idempotent: boolean, total: number) => boolean): void => {
  const choices = fc.noBias(fc.array(fc.nat(99_999), { minLength: 20, maxLength: 240, size: 'max' }))
  fc.assert(fc.property(choices, fc.boolean(), fc.integer({ min: 1, max: 9 }), (steps, idempotent, total) =>
    predicate(new RequestHistory(steps, idempotent, total).run(), idempotent, total)
  ), { seed: SEED, numRuns: HISTORIES })
}

test('every history ends with exactly one outcome by the deadline', (t) => {
  check((history) => history.finishes.length === 1 && history.finishes.every(({ at }) => at <= 10_000) && history.violations.length === 0)
  t.pass()
})

test('the caller receives only its own tokens, in order, and all of them if the request is answered', (t) => {
  let answered = 0
  check((history, _idempotent, total) => {
    const own = history.delivered.every((token, index) => token === `${history.request.spec.id}:${index}`)
    const whole = history.finishes[0]?.outcome.kind === OutcomeKind.Answered
    if (whole) answered += 1
    return own && (!whole || history.delivered.length === total)
  })
  t.true(answered > HISTORIES / 20, `${answered} histories were answered`)
})

test('a non-idempotent request is executed by at most one server', (t) => {
  check((history, idempotent) => idempotent || history.executions.filter((execution) => !execution.reportedNotStarted).length <= 1)
  t.pass()
})

test('ran is no only if no byte was sent or every server reported that it did not start', (t) => {
  let claimed = 0
  check((history) => {
    if (history.finishes[0]?.outcome.ran !== Ran.No) return true
    claimed += 1
    return history.executions.every((execution) => execution.reportedNotStarted)
  })
  t.true(claimed > HISTORIES / 20, `${claimed} histories ended with ran no`)
})

test('every granted attempt is completed or cancelled', (t) => {
  check((history) => {
    const answered = history.finishes[0]?.outcome.kind === OutcomeKind.Answered
    const open = [...history.grantedAttempts].filter((attempt) => !history.closedAttempts.has(attempt))
    return open.length <= (answered ? 1 : 0)
  })
  t.pass()
})
