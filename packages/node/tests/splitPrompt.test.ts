import test from 'ava'
import fc from 'fast-check'

import { splitPrompt } from '../src/requests/GroupAttempt.js'

test('the parts joined are the prompt, and no character is cut in two', (t) => {
  const text = fc.string({ unit: 'binary', minLength: 1, maxLength: 300 })
  fc.assert(fc.property(text, fc.integer({ min: 1, max: 8 }), (prompt, count) => {
    const parts = splitPrompt(prompt, count)
    const bytes = parts.reduce((sum, part) => sum + Buffer.byteLength(part), 0)
    return parts.length === count && parts.join('') === prompt && bytes === Buffer.byteLength(prompt)
  }), { seed: 61, numRuns: 2_000 })
  t.pass()
})

test('the parts are of about the same length', (t) => {
  const lengths = splitPrompt('x'.repeat(1_001), 3).map((part) => part.length)
  t.deepEqual(lengths, [334, 334, 333])
})
