import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { ReadTurns, TURN_TIME } from '../src/forward/ReadTurns.js'

const LONG = 10 * TURN_TIME

test('long turns follow each other with pauses in which all other work is done', async (t) => {
  const turns = new ReadTurns()
  const began: Array<[name: string, at: number]> = []
  const startedAt = performance.now()
  for (const name of ['a', 'b', 'c']) turns.plan(LONG, () => { began.push([name, performance.now() - startedAt]) })
  t.is(turns.waitingCount, 3)
  while (began.length < 3) await sleep(5)
  t.deepEqual(began.map(([name]) => name), ['a', 'b', 'c'])
  t.true(began[0]![1] >= 3 * LONG - 1, `${began[0]![1]}`)
})

test('a connection that takes long again comes behind the others', async (t) => {
  const turns = new ReadTurns()
  const began: string[] = []
  const plan = (name: string): void => {
    turns.plan(LONG, () => {
      began.push(name)
      // Two more, so that no fifth one can begin before the test looks.
      if (began.length < 3) plan(name)
    })
  }
  for (const name of ['a', 'b']) plan(name)
  while (began.length < 4) await sleep(5)
  t.deepEqual(began, ['a', 'b', 'a', 'b'])
})

test('a usual turn does not wait for long ones', async (t) => {
  const turns = new ReadTurns()
  const began: string[] = []
  turns.plan(50 * TURN_TIME, () => { began.push('long') })
  turns.plan(TURN_TIME, () => { began.push('usual') })
  while (began.length < 2) await sleep(1)
  t.deepEqual(began, ['usual', 'long'])
})

test('a turn that was cancelled does not begin, and a hold-up of the process counts as a tenth of a second', async (t) => {
  const turns = new ReadTurns()
  const began: string[] = []
  const cancelled = [turns.plan(LONG, () => { began.push('cancelled') }), turns.plan(0, () => { began.push('cancelled') })]
  for (const turn of cancelled) turn.cancel()
  turns.plan(60_000, () => { began.push('held up') })
  while (began.length === 0) await sleep(10)
  t.deepEqual(began, ['held up'])
})
