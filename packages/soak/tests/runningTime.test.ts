import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { processorWaitOf, ProcessorWaits } from '../src/ProcessorWaits.js'
import { DelayRecord, runningTime } from '../src/runningTime.js'

const PID = 1

const recordOf = (...delays: ReadonlyArray<readonly [number, number]>): DelayRecord => {
  const record = new DelayRecord()
  for (const [from, until] of delays) record.add(from, until)
  return record
}

test('delays of several processes count once', (t) => {
  const records = [recordOf([100, 200], [500, 600]), recordOf([150, 300], [120, 180])]
  t.is(runningTime(0, 1_000, records), 700)
  t.is(runningTime(160, 250, records), 0)
  t.is(runningTime(300, 500, records), 200)
  t.is(runningTime(0, Infinity, records), Infinity)
})

test('short delays do not count', (t) => {
  t.is(runningTime(0, 100, [recordOf([10, 39])]), 100)
})

test('a wait for a processor ends when it is counted', (t) => {
  let [now, waited] = [0, 0]
  const waits = new ProcessorWaits(() => waited, () => now)
  waits.follow(PID)
  const observe = (at: number, total: number): void => {
    [now, waited] = [at, total]
    waits.observe(PID)
  }
  observe(50, 0)
  observe(100, 10)
  observe(1_150, 910)
  observe(1_200, 910)
  waits.dispose()
  t.deepEqual(waits.record.delays, [{ from: 250, until: 1_150 }])
})

test('nothing is recorded where waits are not known', (t) => {
  const waits = new ProcessorWaits(() => null, () => 0)
  waits.follow(PID)
  waits.observe(PID)
  waits.dispose()
  t.deepEqual(waits.record.delays, [])
})

// Guards against a format that is misread: waits that are not numbers would excuse nothing, and too large ones everything.
test('the wait that the system counts for a process does not grow faster than time', async (t) => {
  const from = performance.now()
  const before = processorWaitOf(process.pid)
  await sleep(50)
  const waited = before === null ? 0 : processorWaitOf(process.pid)! - before
  t.true(waited >= 0 && waited <= performance.now() - from, String(waited))
  t.is(processorWaitOf(0), null)
})
