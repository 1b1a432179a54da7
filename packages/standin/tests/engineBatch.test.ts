import test from 'ava'
import fc from 'fast-check'

import { BatchScheduler } from '../src/engine/BatchScheduler.js'
import { BlockMemory } from '../src/engine/BlockMemory.js'
import { Sequence } from '../src/engine/Sequence.js'
import { SequenceState } from '../src/engine/types.js'

const SEED = 20_261_204
const OPTIONS = { slots: 4, chunkTokens: 64, maxWaiting: 8, stepMs: 5, newTokenMs: 0.1, contextTokenMs: 0.001 }

const silent = { stored: () => {}, removed: () => {}, cleared: () => {} }

const make = (): { memory: BlockMemory, scheduler: BatchScheduler } => {
  const memory = new BlockMemory(64, 16, silent)
  return { memory, scheduler: new BatchScheduler(OPTIONS, memory) }
}

const spec = (id: string, promptTokens: number, maxTokens: number, priority = 0) =>
  ({ id, promptTokens, maxTokens, priority, hashes: [], readyTokens: 0, outsideTokens: 0, isResident: false })

const submit = (scheduler: BatchScheduler, ...args: Parameters<typeof spec>): Sequence => {
  const sequence = scheduler.submit(spec(...args))
  if (!(sequence instanceof Sequence)) throw new Error(sequence)
  return sequence
}

const stepOnce = (scheduler: BatchScheduler): Sequence[] => {
  const step = scheduler.plan()
  return step ? scheduler.commit(step) : []
}

test('every accepted sequence ends with its tokens and its memory returned', (t) => {
  const sizes = fc.array(fc.record({ prompt: fc.integer({ min: 1, max: 600 }), max: fc.integer({ min: 0, max: 30 }), priority: fc.nat(2), cancelled: fc.boolean() }), { maxLength: 12 })
  fc.assert(fc.property(sizes, (requests) => {
    const { memory, scheduler } = make()
    const accepted: Sequence[] = []
    for (const [index, { prompt, max, priority, cancelled }] of requests.entries()) {
      const sequence = scheduler.submit(spec(String(index), prompt, max, priority))
      if (!(sequence instanceof Sequence)) continue
      accepted.push(sequence)
      stepOnce(scheduler)
      if (cancelled) scheduler.remove(sequence)
    }
    for (let steps = 0; (steps === 0 || !scheduler.isIdle) && steps < 10_000; steps++) {
      stepOnce(scheduler)
      for (const sequence of accepted) if (sequence.state === SequenceState.Done) scheduler.remove(sequence)
    }
    const whole = accepted.every(({ spec: { id, maxTokens }, generated }) => requests[Number(id)]!.cancelled || generated === maxTokens)
    return whole && scheduler.isIdle && memory.heldBlocks === 0
  }), { seed: SEED, numRuns: 500 })
  t.pass()
})

test('a step takes a + b x new tokens + c x context tokens', (t) => {
  const { scheduler } = make()
  submit(scheduler, 'long', 200, 4)
  submit(scheduler, 'short', 10, 4)
  const first = scheduler.plan()!
  t.is(first.durationMs, 5 + 0.1 * 64)
  scheduler.commit(first)
  t.is(scheduler.plan()!.durationMs, 5 + 0.1 * 64 + 0.001 * 64)
})

test('a smaller priority number is prefilled first unless priorities are ignored', (t) => {
  for (const ignorePriorities of [false, true]) {
    const { scheduler } = make()
    scheduler.ignorePriorities = ignorePriorities
    const long = submit(scheduler, 'long', 600, 1, 5)
    stepOnce(scheduler)
    const urgent = submit(scheduler, 'urgent', 20, 1, 0)
    stepOnce(scheduler)
    t.is(urgent.state === SequenceState.Done, !ignorePriorities)
    t.is(long.state, SequenceState.Prefill)
  }
})

test('a prompt above the memory and a full queue are refused', (t) => {
  const { scheduler } = make()
  t.is(scheduler.submit(spec('huge', 1_025, 0)), 'too_long')
  for (let index = 0; index < 8; index++) submit(scheduler, String(index), 10, 1)
  t.is(scheduler.submit(spec('more', 10, 1)), 'no_capacity')
})

test('a sequence whose segments are held here does not wait behind one that waits for their memory', (t) => {
  const { memory, scheduler } = make()
  const segment = submit(scheduler, 'segment', 800, 0)
  while (segment.state !== SequenceState.Done) stepOnce(scheduler)
  const blocked = submit(scheduler, 'blocked', 400, 1, 0)
  const owner = scheduler.submit({ ...spec('owner', 1, 10, 5), outsideTokens: 800, isResident: true })
  stepOnce(scheduler)
  t.is(blocked.state, SequenceState.Waiting)
  t.is((owner as Sequence).state, SequenceState.Decode)
  scheduler.remove(segment)
  stepOnce(scheduler)
  t.is(blocked.state, SequenceState.Prefill)
  t.true(memory.heldBlocks <= memory.totalBlocks)
})
