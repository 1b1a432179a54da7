import fc from 'fast-check'
import test from 'ava'

import { MAX_EVENT_BYTES } from '../src/forward/backend/answerLimits.js'
import { EventSplitter } from '../src/forward/backend/EventSplitter.js'

const SEED = 26
const LINE_END = Buffer.from('\n')

/** Splits a stream as a whole, without chunks. */
const split = (text: string): string[] => text.match(/[^]*?\n\r?\n/g) ?? []

test('pattern: events do not depend on the chunks in which they arrive', (t) => {
  const texts = fc.array(fc.constantFrom('a', 'id: 7', '\r', '\n', '\n\n', '\r\n'), { maxLength: 40 }).map((parts) => parts.join(''))
  fc.assert(fc.property(texts, fc.integer({ min: 1, max: 5 }), (text, size) => {
    const splitter = new EventSplitter()
    const bytes = Buffer.from(text)
    const events: string[] = []
    for (let start = 0; start < bytes.length; start += size) {
      for (const event of splitter.push(bytes.subarray(start, start + size)) ?? []) events.push(event.bytes.toString())
    }
    t.deepEqual(events, split(text))
    t.is(splitter.pendingBytes, text.length - split(text).join('').length)
  }), { seed: SEED, numRuns: 2_000 })
})

test('the longest event is complete, and a longer one is not accepted', (t) => {
  const longest = Buffer.alloc(MAX_EVENT_BYTES - 2, 'x')
  const splitter = new EventSplitter()
  t.is(splitter.push(longest)?.length, 0)
  t.is(splitter.push(Buffer.from('\n\n'))?.[0]?.bytes.length, MAX_EVENT_BYTES)
  t.is(splitter.push(Buffer.concat([longest, LINE_END, LINE_END, LINE_END]))?.length, 1)
  t.is(splitter.push(Buffer.alloc(MAX_EVENT_BYTES, 'x')), null)
  t.is(new EventSplitter().push(Buffer.concat([longest, Buffer.from('xx\n\n')])), null)
})

// Guards against copying an incomplete event with each of its chunks: the time then grows with the square of its length.
test('an event in many small chunks takes time in proportion to its length', (t) => {
  const timeFor = (chunks: number): number => {
    const splitter = new EventSplitter()
    const chunk = Buffer.from('data: xx')
    const from = process.cpuUsage()
    for (let count = 0; count < chunks; count += 1) splitter.push(chunk)
    const { user, system } = process.cpuUsage(from)
    return user + system
  }
  timeFor(10_000)
  t.true(timeFor(120_000) < 40 * Math.max(1_000, timeFor(12_000)))
})
