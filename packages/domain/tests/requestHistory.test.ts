import test from 'ava'
import fc from 'fast-check'

import { OutcomeKind, Ran } from '../src/index.js'
import { RequestHistory } from './requestHistory.js'

const SEED = 20_261_203
const HISTORIES = 10_000

const check = (predicate: (history: RequestHistory, idempotent: boolean, total: number) => boolean): void => {
  const tape = fc.noBias(fc.array(fc.nat(99_999), { minLength: 20, maxLength: 240, size: 'max' }))
  fc.assert(fc.property(tape, fc.boolean(), fc.integer({ min: 1, max: 9 }), (steps, idempotent, total) =>
    predicate(new RequestHistory(steps, idempotent, total).run(), idempotent, total)
  ), { seed: SEED, numRuns: HISTORIES })
}

test('every history ends in exactly one outcome within the limit', (t) => {
  check((history) => history.finishes.length === 1 && history.finishes.every(({ at }) => at <= 10_000) && history.faults.length === 0)
  t.pass()
})

test('the caller gets only its own tokens, in order, and all of them when answered', (t) => {
  let answered = 0
  check((history, _idempotent, total) => {
    const own = history.delivered.every((token, index) => token === `${history.request.spec.id}:${index}`)
    const whole = history.finishes[0]?.outcome.kind === OutcomeKind.Answered
    if (whole) answered += 1
    return own && (!whole || history.delivered.length === total)
  })
  t.true(answered > HISTORIES / 20, `${answered} histories were answered`)
})

test('a non-idempotent request reaches at most one server that started it', (t) => {
  check((history, idempotent) => idempotent || history.executions.filter((execution) => !execution.denied).length <= 1)
  t.pass()
})

test('ran is no only where no byte left or every server said that it did not start', (t) => {
  let claimed = 0
  check((history) => {
    if (history.finishes[0]?.outcome.ran !== Ran.No) return true
    claimed += 1
    return history.executions.every((execution) => execution.denied)
  })
  t.true(claimed > HISTORIES / 20, `${claimed} histories claimed it`)
})

test('every granted attempt is completed or cancelled', (t) => {
  check((history) => {
    const answered = history.finishes[0]?.outcome.kind === OutcomeKind.Answered
    const open = [...history.granted].filter((attempt) => !history.settled.has(attempt))
    return open.length <= (answered ? 1 : 0)
  })
  t.pass()
})
