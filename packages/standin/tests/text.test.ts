import test from 'ava'
import fc from 'fast-check'

import { answerSeed, answerText, blockHashes, preparePrompt } from '../src/text.js'

const SEED = 20_261_205

const whole = (prompt: string, count: number): string => answerText(answerSeed(preparePrompt(prompt).bytes), 0, count)

test('a continuation goes on where the first answer stopped', (t) => {
  fc.assert(fc.property(fc.string({ unit: 'binary' }), fc.integer({ min: 1, max: 40 }), fc.nat(40), (prompt, first, rest) => {
    const begun = whole(prompt, first)
    return begun + whole(prompt + begun, rest) === whole(prompt, first + rest)
  }), { seed: SEED, numRuns: 500 })
  t.pass()
})

test('different prompts have different answers', (t) => {
  t.not(whole('one order', 4), whole('another order', 4))
  t.regex(whole('one order', 2), /^ [0-9a-f]{8}\.0 [0-9a-f]{8}\.1$/)
})

test('block hashes are chained and cover whole blocks only', (t) => {
  const bytes = Buffer.from('a'.repeat(64) + 'b'.repeat(64) + 'c'.repeat(10))
  const hashes = blockHashes(bytes, 16)
  t.is(hashes.length, 2)
  t.deepEqual(blockHashes(bytes.subarray(0, 64), 16), hashes.slice(0, 1))
  const swapped = blockHashes(Buffer.from('b'.repeat(64) + 'a'.repeat(64)), 16)
  t.not(swapped[1], hashes[0])
})

test('a prompt counts a token for each four bytes', (t) => {
  t.is(preparePrompt('12345').tokens, 2)
  t.is(preparePrompt([1, 2, 3]).tokens, 3)
})
