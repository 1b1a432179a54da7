import test from 'ava'
import fc from 'fast-check'

import { RetryBudget } from '../src/index.js'

const OPTIONS = { ratio: 0.2, capacity: 10, perSecond: 5 }

test('a spent budget refills over time without any request', (t) => {
  const budget = new RetryBudget(OPTIONS)
  while (budget.withdraw(0)) { /* withdraw all retries */ }
  t.false(budget.withdraw(100))
  t.true(budget.withdraw(400))
})

test('retries never exceed the sum of capacity, share of the requests and rate', (t) => {
  const step = fc.record({ after: fc.nat(500), retry: fc.boolean() })
  fc.assert(fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
    const budget = new RetryBudget(OPTIONS)
    let now = 0
    let requests = 0
    let retries = 0
    for (const { after, retry } of steps) {
      now += after
      if (retry) retries += budget.withdraw(now) ? 1 : 0
      else { requests += 1; budget.deposit(now) }
    }
    return retries <= OPTIONS.capacity + requests * OPTIONS.ratio + now * OPTIONS.perSecond / 1_000
  }), { seed: 41, numRuns: 1_000 })
  t.pass()
})

test('a smaller capacity discards retries, and a larger one does not restore them', (t) => {
  const budget = new RetryBudget({ ratio: 0, capacity: 10, perSecond: 0 })
  budget.resize(3)
  t.is(budget.available, 3)
  budget.resize(10)
  t.is(budget.available, 3)
})
