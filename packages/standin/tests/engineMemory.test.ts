import test from 'ava'
import fc from 'fast-check'

import { BlockMemory } from '../src/engine/BlockMemory.js'
import type { Allocation } from '../src/engine/BlockMemory.js'

const BLOCK = 4
const BLOCKS = 16
const SEED = 20_261_203

const silent = { stored: () => {}, removed: () => {}, cleared: () => {} }

const prefix = (family: number, length: number): string[] =>
  Array.from({ length }, (_, index) => `${family}:${index}`)

interface Held {
  readonly allocation: Allocation
  readonly hashes: string[]
}

const action = fc.oneof(
  fc.record({ type: fc.constant('take' as const), family: fc.nat(2), blocks: fc.integer({ min: 1, max: 10 }), extra: fc.nat(20) }),
  fc.record({ type: fc.constant('compute' as const), index: fc.nat(20), count: fc.nat(10) }),
  fc.record({ type: fc.constant('free' as const), index: fc.nat(20) })
)

test('block memory is never given out twice and comes back whole', (t) => {
  fc.assert(fc.property(fc.array(action, { maxLength: 80 }), (actions) => {
    const memory = new BlockMemory(BLOCKS, BLOCK, silent)
    const held: Held[] = []
    for (const step of actions) {
      if (step.type === 'take') {
        const hashes = prefix(step.family, step.blocks)
        const promptTokens = step.blocks * BLOCK + 1
        const allocation = memory.allocate(promptTokens + step.extra, hashes, promptTokens)
        if (allocation) held.push({ allocation, hashes })
      } else if (held.length > 0) {
        const index = step.index % held.length
        const { allocation, hashes } = held[index]!
        if (step.type === 'compute') memory.share(allocation, hashes.slice(allocation.shared.length).slice(0, step.count))
        else memory.free(held.splice(index, 1)[0]!.allocation)
      }
      const exclusive = held.reduce((sum, { allocation }) => sum + allocation.exclusive, 0)
      const shared = new Set(held.flatMap(({ allocation }) => allocation.shared))
      if (memory.usedBlocks > BLOCKS) return false
      if (memory.heldBlocks !== exclusive + shared.size) return false
      for (const hash of shared) {
        const holders = held.filter(({ allocation }) => allocation.shared.includes(hash)).length
        if (memory.holders(hash) !== holders) return false
      }
    }
    for (const { allocation } of held) memory.free(allocation)
    return memory.heldBlocks === 0 && memory.freeTokens === BLOCKS * BLOCK
  }), { seed: SEED, numRuns: 2_000 })
  t.pass()
})

test('the oldest idle blocks are evicted, held ones never', (t) => {
  const removed: string[] = []
  const memory = new BlockMemory(4, BLOCK, { ...silent, removed: (hashes) => removed.push(...hashes) })
  const first = memory.allocate(4, ['a'], 5)!
  memory.share(first, ['a'])
  const second = memory.allocate(4, ['b'], 5)!
  memory.share(second, ['b'])
  const third = memory.allocate(4, ['c'], 5)!
  memory.share(third, ['c'])
  memory.free(first)
  memory.free(second)
  t.truthy(memory.allocate(8, [], 8))
  t.deepEqual(removed, ['a'])
  t.is(memory.holders('c'), 1)
  t.is(memory.allocate(12, [], 12), null)
})
