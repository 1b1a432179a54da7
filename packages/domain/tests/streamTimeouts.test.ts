import test from 'ava'

import { callerWaitTime, firstEventTimeout, nextEventTimeout } from '../src/index.js'

/** A prompt of 467 k tokens, read by twelve engines of which one keeps part of it. */
const DIVIDED = { expected: 1_081, objective: 3_000, pauseObjective: 800, reading: 11_800, holdsMemory: true }

/** Time after the end of a request within which its memory has to be free. */
const RELEASE_BOUND = 4_000

test('pattern: memory that other engines hold is released soon if the engine goes dark without closing its connection', (t) => {
  t.true(firstEventTimeout(DIVIDED) < RELEASE_BOUND)
  t.true(firstEventTimeout(DIVIDED) > 2 * DIVIDED.expected)
})

test('a prompt without holders gets the time that reading it again would take', (t) => {
  t.true(firstEventTimeout({ ...DIVIDED, holdsMemory: false }) > RELEASE_BOUND)
})

test('a stream is given up before its caller leaves', (t) => {
  const short = { expected: 150, objective: 300, pauseObjective: 200, reading: 20, holdsMemory: false }
  t.true(firstEventTimeout(short) < callerWaitTime(short.objective))
  t.true(nextEventTimeout(short) < 2_000)
})
