/** Load: every node of a large fleet asks the store for the same changes. */
import test from 'ava'
import fc from 'fast-check'

import { CLOSE_FOLLOWERS, followsClosely } from '@bluebellhill/domain'
import type { NodeId } from '@bluebellhill/domain'

const fleet = (size: number): NodeId[] => Array.from({ length: size }, (_, index) => `edge-${index}` as NodeId)

const closeOf = (nodes: readonly NodeId[]): NodeId[] =>
  nodes.filter((node) => followsClosely(node, nodes.filter((other) => other !== node)))

test('few nodes of a large fleet follow the store closely', (t) => {
  t.is(closeOf(fleet(78)).length, CLOSE_FOLLOWERS)
})

test('a small fleet follows it as a whole, and so does a node that hears nobody', (t) => {
  t.is(closeOf(fleet(CLOSE_FOLLOWERS)).length, CLOSE_FOLLOWERS)
  t.true(followsClosely('edge-1' as NodeId, []))
})

test('in each part of a fleet that was cut in two, some follow it closely', (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 1, max: 60 }), (one, other) => {
    const nodes = fleet(one + other)
    return [nodes.slice(0, one), nodes.slice(one)].every((part) => closeOf(part).length === Math.min(part.length, CLOSE_FOLLOWERS))
  }), { seed: 11, numRuns: 200 })
  t.pass()
})
