/** Guards against overload of the store, which occurs if every node of a large fleet requests the same changes from it. */
import test from 'ava'
import fc from 'fast-check'

import { STORE_WATCHERS, isStoreWatcher } from '@bluebellhill/domain'
import type { NodeId } from '@bluebellhill/domain'

const fleet = (size: number): NodeId[] => Array.from({ length: size }, (_, index) => `edge-${index}` as NodeId)

const storeWatchersOf = (nodes: readonly NodeId[]): NodeId[] =>
  nodes.filter((node) => isStoreWatcher(node, nodes.filter((other) => other !== node)))

test('only a few nodes of a large fleet are store watchers', (t) => {
  t.is(storeWatchersOf(fleet(78)).length, STORE_WATCHERS)
})

test('all nodes of a small fleet are store watchers, and so is a node without peers', (t) => {
  t.is(storeWatchersOf(fleet(STORE_WATCHERS)).length, STORE_WATCHERS)
  t.true(isStoreWatcher('edge-1' as NodeId, []))
})

test('both halves of a partitioned fleet have store watchers', (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 1, max: 60 }), (one, other) => {
    const nodes = fleet(one + other)
    return [nodes.slice(0, one), nodes.slice(one)].every((part) => storeWatchersOf(part).length === Math.min(part.length, STORE_WATCHERS))
  }), { seed: 11, numRuns: 200 })
  t.pass()
})
