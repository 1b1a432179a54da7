import test from 'ava'
import fc from 'fast-check'

import { DISPATCHERS, ENTRIES, MemoryHistory, RUNNERS } from './memoryHistory.js'
import { seededRandom } from './random.js'

const SEED = 20_261_203
const DURATION = 30_000

const step = fc.record({ at: fc.integer({ min: 100, max: DURATION }), kind: fc.nat(99), which: fc.nat(999), duration: fc.integer({ min: 10, max: 20_000 }) })

const runHistory = (seed: number, steps: readonly { readonly at: number, readonly kind: number, readonly which: number, readonly duration: number }[]): MemoryHistory => {
  const history = new MemoryHistory(seededRandom(seed), DURATION)
  const pick = (names: readonly string[], which: number): string => names[which % names.length]!
  for (const { at, kind, which, duration } of steps) {
    history.schedule(at, () => {
      if (kind < 70) history.order(pick(ENTRIES, which), pick(RUNNERS, which >> 2), duration)
      else if (kind < 80) history.disconnectCaller(which)
      else if (kind < 86) history.crashEntry(pick(ENTRIES, which))
      else if (kind < 92) history.crashDispatcher(pick(DISPATCHERS, which))
      else history.suspectWrongly(pick(DISPATCHERS, which), pick(DISPATCHERS, which >> 3), duration % 3_000)
    })
  }
  return history.run()
}

test('within 10 s after a crash only live attempts use memory, and no live attempt is cancelled', (t) => {
  let cancelled = 0
  fc.assert(fc.property(fc.integer(), fc.noBias(fc.array(step, { minLength: 20, maxLength: 80, size: 'max' })), (seed, steps) => {
    const history = runHistory(seed, steps)
    cancelled += history.cancelled
    if (history.violations.length > 0) throw new Error(history.violations.slice(0, 3).join('; '))
  }), { seed: SEED, numRuns: 300, endOnFailure: true })
  t.true(cancelled > 300, `${cancelled} attempts were freed`)
})
