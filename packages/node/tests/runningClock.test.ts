import test from 'ava'

import { MAX_TICK_INTERVAL, RunningClock, TICK_PERIOD } from '../src/clock/RunningClock.js'

test('the clock goes with the monotonic clock while the process runs', (t) => {
  let monotonic = 1_000
  const clock = new RunningClock(() => monotonic)
  for (let ticks = 1; ticks <= 50; ticks += 1) {
    monotonic += TICK_PERIOD
    clock.tick()
    t.is(clock.now(), 1_000 + ticks * TICK_PERIOD)
  }
  monotonic += TICK_PERIOD / 2
  t.is(clock.now(), 1_000 + 50.5 * TICK_PERIOD)
})

test('the clock stands still while the process is held up, whether it has ticked since or not', (t) => {
  let monotonic = 0
  const clock = new RunningClock(() => monotonic)
  monotonic = 60_000
  t.is(clock.now(), MAX_TICK_INTERVAL)
  t.is(clock.now(), MAX_TICK_INTERVAL)
  clock.tick()
  t.is(clock.now(), MAX_TICK_INTERVAL)
  monotonic += 30
  t.is(clock.now(), MAX_TICK_INTERVAL + 30)
})

test('a started clock ticks', async (t) => {
  const clock = new RunningClock(() => performance.now())
  t.teardown(() => clock.dispose())
  clock.start()
  const from = clock.now()
  while (clock.now() - from <= 2 * MAX_TICK_INTERVAL) await new Promise((resolve) => { setImmediate(resolve) })
  t.pass()
})
