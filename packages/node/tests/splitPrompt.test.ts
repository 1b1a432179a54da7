import test from 'ava'
import fc from 'fast-check'

import { splitPrompt } from '../src/requests/GroupAttempt.js'

test('the joined segments equal the prompt, and no character is split', (t) => {
  const text = fc.string({ unit: 'binary', minLength: 1, maxLength: 300 })
  fc.assert(fc.property(text, fc.array(fc.integer({ min: 1, max: 400_000 }), { minLength: 1, maxLength: 8 }), (prompt, shares) => {
    const segments = splitPrompt(prompt, shares)
    const bytes = segments.reduce((sum, segment) => sum + Buffer.byteLength(segment), 0)
    return segments.length === shares.length && segments.join('') === prompt && bytes === Buffer.byteLength(prompt)
  }), { seed: 61, numRuns: 2_000 })
  t.pass()
})

test('the lengths of the segments are proportional to the shares', (t) => {
  const lengths = splitPrompt('x'.repeat(1_000), [400, 400, 200]).map((segment) => segment.length)
  t.deepEqual(lengths, [400, 400, 200])
})
