import test from 'ava'

import { EventLoopDelays } from '../src/EventLoopDelays.js'

const delaysWith = (...observations: readonly number[]): EventLoopDelays => {
  let now = 0
  const delays = new EventLoopDelays(() => now)
  for (const at of observations) {
    now = at
    delays.observe()
  }
  delays.dispose()
  return delays
}

test('the time of a delay does not count as running time', (t) => {
  const delays = delaysWith(10, 20, 1_030, 1_040)
  t.is(delays.runningTime(0, 1_040), 40)
  t.is(delays.runningTime(500, 1_040), 10)
  t.is(delays.runningTime(0, 530), 30)
  t.is(delays.runningTime(1_030, 1_040), 10)
})

test('all time counts on a machine that is not busy', (t) => {
  const delays = delaysWith(10, 22, 45, 80, 90)
  t.is(delays.runningTime(0, 90), 90)
})

test('a delay that is not over counts', (t) => {
  let now = 0
  const delays = new EventLoopDelays(() => now)
  delays.dispose()
  now = 1_010
  t.is(delays.runningTime(0, 1_010), 10)
})
