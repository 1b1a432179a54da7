import test from 'ava'
import fc from 'fast-check'

import { GossipBoard, MAX_DATAGRAM_BYTES, valueBytes } from '../src/index.js'
import type { GossipValue, NodeId } from '../src/index.js'
import { MemberGroup } from './memberGroup.js'

const SEED = 20_261_203

const VOLATILE = { scope: 'fleet', durable: false } as const
const DURABLE = { scope: 'fleet', durable: true } as const
const NEIGHBOURS_ONLY = { scope: 'failure_domain', durable: false } as const

const board = (node: string, relayBudget = 1_000_000): GossipBoard =>
  new GossipBoard({ node: node as NodeId, startedAt: 1, relayBudget })

const value = (version: number, startedAt = 1): GossipValue =>
  ({ node: 'a' as NodeId, topic: 't', scope: 'fleet', durable: true, startedAt, version, bytes: Uint8Array.of(version, startedAt) })

const sameDomainReceiver = { node: 'x' as NodeId, isSameDomain: true, audienceSize: 9 }

test('the greatest version wins in any order of arrival', (t) => {
  const values = fc.array(fc.record({ version: fc.integer({ min: 1, max: 9 }), startedAt: fc.integer({ min: 1, max: 3 }) }), { minLength: 1 })
  t.notThrows(() => fc.assert(fc.property(values, (claims) => {
    const reader = board('reader')
    for (const { version, startedAt } of claims) reader.receive(value(version, startedAt), 0)
    const best = Math.max(...claims.map(({ version, startedAt }) => startedAt * 10 + version))
    const held = reader.get('a' as NodeId, 't')
    return held !== undefined && held.startedAt * 10 + held.version === best
  }), { seed: SEED, numRuns: 500 }))
})

test('a value that was replaced before it was sent is not sent', (t) => {
  const writer = board('w')
  for (let version = 1; version <= 50; version += 1) writer.publish('t', Uint8Array.of(version), VOLATILE, 0)
  const sent = writer.selectRelayed(1_000, sameDomainReceiver, 0)
  t.deepEqual(sent.map(({ bytes }) => [...bytes]), [[50]])
})

test('an unchanged value is not published again', (t) => {
  const writer = board('w')
  t.not(writer.publish('t', Uint8Array.of(1), VOLATILE, 0), null)
  t.is(writer.publish('t', Uint8Array.of(1), VOLATILE, 0), null)
})

test('sent values stay within the byte budget and the datagram size', (t) => {
  const budget = 2_000
  const writer = board('w', budget)
  let bytes = 0
  const seconds = 60
  for (let now = 0; now < seconds * 1_000; now += 50) {
    for (let topic = 0; topic < 40; topic += 1) writer.publish(`t${topic}`, Uint8Array.of(now % 251, topic, now % 7), NEIGHBOURS_ONLY, 0)
    while (writer.canSendRelayed(now)) {
      const sent = writer.selectRelayed(MAX_DATAGRAM_BYTES, sameDomainReceiver, now)
      if (sent.length === 0) break
      const size = sent.reduce((sum, entry) => sum + valueBytes(entry), 0)
      t.true(size <= MAX_DATAGRAM_BYTES)
      bytes += size
    }
  }
  t.true(bytes <= budget * seconds + 2 * MAX_DATAGRAM_BYTES)
  t.true(bytes > budget * seconds / 2)
})

test('values that were sent least often go first', (t) => {
  const writer = board('w')
  for (let topic = 0; topic < 60; topic += 1) writer.publish(`t${topic}`, new Uint8Array(40), VOLATILE, 0)
  const first = writer.selectRelayed(1_000, sameDomainReceiver, 0).map(({ topic }) => topic)
  const second = writer.selectRelayed(1_000, sameDomainReceiver, 0).map(({ topic }) => topic)
  t.deepEqual(first.filter((topic) => second.includes(topic)), [])
})

test('a value for the failure domain is not sent to other failure domains', (t) => {
  const writer = board('w')
  writer.publish('t', Uint8Array.of(1), NEIGHBOURS_ONLY, 0)
  t.deepEqual(writer.selectRelayed(1_000, { ...sameDomainReceiver, isSameDomain: false }, 0), [])
  t.is(writer.selectRelayed(1_000, sameDomainReceiver, 0).length, 1)
})

test('a value that does not fit a datagram, or is durable but not for the whole fleet, is refused', (t) => {
  t.throws(() => board('w').publish('t', new Uint8Array(MAX_DATAGRAM_BYTES), VOLATILE, 0), { instanceOf: RangeError })
  t.throws(() => board('w').publish('t', Uint8Array.of(1), { scope: 'failure_domain', durable: true }, 0), { instanceOf: RangeError })
})

// One failure domain receives nothing while the value is distributed, for too short a time to be noticed.
const timeToReachIsolated = (antiEntropyPeriod: number): number | null => {
  const group = new MemberGroup({ seed: 11, size: 9, maxLatency: 10, timings: { antiEntropyPeriod } })
  group.run(8_000)
  group.partitionWhere((from, to) => from !== to && to === 'fd2')
  group.applyEffects(3, group.at(3).membership.publish('revision', Uint8Array.of(7), DURABLE, group.now))
  group.run(1_200)
  group.partitionWhere(() => false)
  return group.runUntil(() => group.participants.every(({ membership }) => membership.board.values('revision').length === 1), 60_000)
}

test('members that received nothing for a moment get the durable values that they missed', (t) => {
  t.not(timeToReachIsolated(5_000), null)
})

test('without anti-entropy, members do not get the durable values that they missed', (t) => {
  t.is(timeToReachIsolated(Infinity), null)
})

test('a member that was paused catches up without waiting for anti-entropy', (t) => {
  const group = new MemberGroup({ seed: 11, size: 9, maxLatency: 10, timings: { antiEntropyPeriod: Infinity } })
  group.run(8_000)
  group.pause(8, 15_000)
  group.applyEffects(3, group.at(3).membership.publish('revision', Uint8Array.of(7), DURABLE, group.now))
  group.run(15_000)
  t.not(group.runUntil(() => group.at(8).membership.board.values('revision').length === 1, 500), null)
})

test('a durable value reaches all members within 500 ms if no message is lost', (t) => {
  const group = new MemberGroup({ seed: 12, size: 40, domains: 4, maxLatency: 5 })
  group.run(8_000)
  group.handle(3, { type: 'ticked' })
  const effects = group.at(3).membership.publish('leaving/r1', Uint8Array.of(1), DURABLE, group.now)
  group.applyEffects(3, effects)
  t.not(group.runUntil(() => group.participants.every(({ membership }) => membership.board.values('leaving/r1').length === 1), 500), null)
})

test('a node that joins later gets the values published before', (t) => {
  const group = new MemberGroup({ seed: 13, size: 9 })
  group.run(4_000)
  group.crash(8)
  group.applyEffects(3, group.at(3).membership.publish('revision', Uint8Array.of(7), DURABLE, group.now))
  group.run(20_000)
  group.restart(8)
  t.not(group.runUntil(() => group.at(8).membership.board.values('revision').length === 1, 1_000), null)
})

test('a restarted node does not keep the values of its earlier process', (t) => {
  const group = new MemberGroup({ seed: 14, size: 9 })
  group.run(4_000)
  group.applyEffects(8, group.at(8).membership.publish('load', Uint8Array.of(7), VOLATILE, group.now))
  group.run(2_000)
  t.is(group.at(1).membership.board.values('load').length, 1)
  group.crash(8)
  group.restart(8)
  group.run(3_000)
  t.is(group.at(1).membership.board.values('load').length, 0)
})
