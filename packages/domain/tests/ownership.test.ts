import test from 'ava'

import { hashText, ownerOf } from '../src/index.js'
import type { FailureDomain, Member, NodeId, RunnerId } from '../src/index.js'

const RUNNERS = Array.from({ length: 1_200 }, (_, index) => `runner-${index}` as RunnerId)

const member = (index: number, change: Partial<Member> = {}): Member => ({
  node: `node-${index}` as NodeId,
  failureDomain: 'fd0' as FailureDomain,
  peerAddress: '',
  gossipAddress: '',
  state: 'alive',
  leaving: false,
  incarnation: 0,
  startedAt: 1,
  ...change
})

const MEMBERS = Array.from({ length: 76 }, (_, index) => member(index))
const owners = (members: readonly Member[]): Array<NodeId | null> => RUNNERS.map((runner) => ownerOf(runner, members, hashText))
const replace = (index: number, change: Partial<Member>): Member[] => MEMBERS.map((other, at) => at === index ? { ...other, ...change } : other)

test('runners are distributed over all members', (t) => {
  const counts = new Map<NodeId | null, number>()
  for (const owner of owners(MEMBERS)) counts.set(owner, (counts.get(owner) ?? 0) + 1)
  t.is(counts.size, MEMBERS.length)
  t.true(Math.max(...counts.values()) <= 2.2 * RUNNERS.length / MEMBERS.length)
})

test('the order of the members does not matter', (t) => {
  t.deepEqual(owners([...MEMBERS].reverse()), owners(MEMBERS))
})

test('only the runners of an unreachable or leaving member get another dispatcher', (t) => {
  const before = owners(MEMBERS)
  for (const change of [{ state: 'unreachable' }, { state: 'left' }, { leaving: true }] as const) {
    const after = owners(replace(5, change))
    t.false(after.includes('node-5' as NodeId))
    t.true(before.every((owner, index) => owner === 'node-5' || owner === after[index]))
  }
})

test('a suspected member keeps its runners', (t) => {
  t.deepEqual(owners(replace(5, { state: 'suspect' })), owners(MEMBERS))
})

test('a runner has no dispatcher if no member accepts new work', (t) => {
  t.is(ownerOf('r' as RunnerId, [member(1, { leaving: true })], hashText), null)
})
