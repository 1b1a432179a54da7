import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { SilenceTimer } from '../src/forward/SilenceTimer.js'
import type { OpenAttempt } from '../src/forward/types.js'

// Guards against a node that is busy with the timers of requests whose time cannot be predicted: a longer wait than a timer can measure ends at once.
test('a silence without an end is not noticed at once', async (t) => {
  let noticed = 0
  const timer = new SilenceTimer(async () => { noticed += 1 })
  timer.restart({} as OpenAttempt, Infinity)
  await sleep(50)
  timer.clear()
  t.is(noticed, 0)
})
