/** Load: every node of a large fleet asks the store for the same changes. */
import test from 'ava'
import fc from 'fast-check'

import { STORE_WATCHERS, isStoreWatcher } from '@bluebellhill/domain'
import type { NodeId } from '@bluebellhill/domain'

const fleet = (size: number): NodeId[] => Array.from({ length: size }, (_, index) => `edge-${index}` as NodeId)

const storeWatchersOf = (nodes: readonly NodeId[]): NodeId[] =>
  nodes.filter((node) => isStoreWatcher(node, nodes.filter((other) => other !== node)))

test('few nodes of a large fleet follow the store closely', (t) => {
  t.is(storeWatchersOf(fleet(78)).length, STORE_WATCHERS)
})

test('a small fleet follows it as a whole, and so does a node that hears nobody', (t) => {
  t.is(storeWatchersOf(fleet(STORE_WATCHERS)).length, STORE_WATCHERS)
  t.true(isStoreWatcher('edge-1' as NodeId, []))
})

test('in each part of a fleet that was cut in two, some follow it closely', (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 1, max: 60 }), (one, other) => {
    const nodes = fleet(one + other)
    return [nodes.slice(0, one), nodes.slice(one)].every((part) => storeWatchersOf(part).length === Math.min(part.length, STORE_WATCHERS))
  }), { seed: 11, numRuns: 200 })
  t.pass()
})
