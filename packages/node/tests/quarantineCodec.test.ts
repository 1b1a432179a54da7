/** Evidence on prompt parts that crash engines, in the messages between nodes. */
import test from 'ava'
import fc from 'fast-check'

import type { Assignment, CrashReport, NodeId, QuarantineFacts, RunnerId } from '@bluebellhill/domain'
import { fleetWire } from '@bluebellhill/protocol'

import { encodeDatagram } from '../src/forward/peers/datagramCodec.js'
import { decodeFacts, encodeFacts } from '../src/forward/peers/quarantineCodec.js'
import { decodeState, encodeState } from '../src/forward/peers/stateCodec.js'
import { FactKind, FactQueue } from '../src/forward/quarantine/FactQueue.js'

/** Datagrams stay below the usual packet size. */
const MAX_DATAGRAM_BYTES = 1_400

const crashOf = (index: number, parts: readonly string[] = ['48720f3588ea']): CrashReport =>
  ({ server: `i-36e3019f${index}` as RunnerId, startedAt: 1_700_000_000_000 + index, reportedBy: 'edge-saham-hall-2' as NodeId, at: 900, suspects: 2, parts })

const FACTS: QuarantineFacts = {
  crashes: [crashOf(1), { ...crashOf(2), startedAt: null, suspects: 0, parts: [] }],
  survivals: [{ server: 'i-3' as RunnerId, startedAt: null, at: 950 }],
  sounds: [{ part: 'e0fe3802d42b', at: 400 }],
  trials: [{ part: '48720f3588ea', at: 1_000, grantedBy: 'n2' as NodeId }]
}

const NOTHING: QuarantineFacts = { crashes: [], survivals: [], sounds: [], trials: [] }

const countOf = ({ crashes, survivals, sounds, trials }: QuarantineFacts): number => crashes.length + survivals.length + sounds.length + trials.length

const encodedBytes = (facts: QuarantineFacts): number => fleetWire.QuarantineFacts.encode(encodeFacts(facts, 1_000)).finish().length

const assignments = (count: number, helpers: readonly RunnerId[] = []): Assignment[] => Array.from({ length: count }, (_, index) => ({
  id: `n1/${index}`, server: `i-36e3019fc${index}` as RunnerId, helpers, reservations: [], prompt: 5_000, answer: 1_500, prefillTime: 20, sentAt: 900, isPrefilled: false, pauseObjective: 200, dueAt: 1_300, isDeferred: false
}))

test('decoded evidence equals the encoded one, with times on the clock of the receiver', (t) => {
  const bytes = fleetWire.QuarantineFacts.encode(encodeFacts(FACTS, 1_000)).finish()
  const received = decodeFacts(fleetWire.QuarantineFacts.decode(bytes), 51_000)
  const moved = <Each extends { readonly at: number }>(each: Each): Each => ({ ...each, at: each.at + 50_000 })
  t.deepEqual(received, { crashes: FACTS.crashes.map(moved), survivals: FACTS.survivals.map(moved), sounds: FACTS.sounds.map(moved), trials: FACTS.trials.map(moved) })
})

test('facts that name nothing, and ids beyond the limit, are left out', (t) => {
  const wire = encodeFacts({ ...FACTS, sounds: [{ part: '', at: 0 }, { part: 'a'.repeat(65), at: 0 }], crashes: [{ ...crashOf(1), server: '' as RunnerId }, crashOf(2, ['', 'b'.repeat(65), 'c'])] }, 1_000)
  const { sounds, crashes } = decodeFacts(wire, 1_000)
  t.deepEqual(sounds, [])
  t.deepEqual(crashes.map(({ parts }) => parts), [['c']])
})

test('random bytes decode to evidence or throw an Error', (t) => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    try {
      return countOf(decodeFacts(fleetWire.QuarantineFacts.decode(bytes), 0)) >= 0
    } catch (error) {
      return error instanceof Error
    }
  }), { seed: 8, numRuns: 2_000 })
  t.pass()
})

test('a datagram of an earlier build carries no evidence', (t) => {
  const earlier = fleetWire.NodeState.encode(fleetWire.NodeState.fromPartial({ node: 'old', startedAt: 5n, sequence: 1, parts: 1 })).finish()
  t.deepEqual(decodeFacts(decodeState(earlier, 0).quarantine, 0), NOTHING)
  t.deepEqual(decodeFacts(undefined, 0), NOTHING)
})

test('fields of a later build are skipped, as earlier builds skip the evidence', (t) => {
  const state = fleetWire.NodeState.encode(fleetWire.NodeState.fromPartial({ node: 'new', startedAt: 5n, sequence: 1, parts: 1 }))
  const datagram = state.uint32(99 << 3 | 2).bytes(new Uint8Array([1, 2, 3])).finish()
  t.is(decodeState(datagram, 0).node, 'new' as NodeId)
})

test('the evidence of a node with many requests is sent in a datagram of its own', (t) => {
  const queue = new FactQueue(() => ({ ...NOTHING, crashes: Array.from({ length: 20 }, (_, index) => crashOf(index)) }))
  for (let index = 0; index < 20; index += 1) queue.markNew({ kind: FactKind.Crash, fact: crashOf(index) })
  const datagrams = encodeState({
    node: 'n1' as NodeId, startedAt: 5, sequence: 1, configurationVersion: 7, serversRevision: 41, stopping: false, storeLost: false, works: assignments(16), peers: [], notices: [], failureDomain: '', version: 1, processor: 0, quarantine: encodeFacts(queue.next(), 1_000)
  }, 1_000)
  t.is(datagrams.length, 2)
  t.true(Math.max(...datagrams.map(({ length }) => length)) < MAX_DATAGRAM_BYTES)
  const received = datagrams.map((datagram) => decodeState(datagram, 1_000))
  t.true(received.some(({ quarantine }) => (quarantine?.crashes.length ?? 0) > 3))
  t.is(received.flatMap(({ works: each }) => each).length, 16)
})

const NOTICES = Array.from({ length: 12 }, (_, index): fleetWire.ServerNotice => ({ server: `i-36e3019f${index}0`, serverStartedAt: 1_700_000_000_000n, requestLimit: 2.5, isLeaving: true, heardBy: 'edge-saham-hall-2', heardAgoMs: 100_000 }))

const queueOf = (count: number): FactQueue => {
  const crashes = Array.from({ length: count }, (_, index) => crashOf(index, ['48720f3588ea', 'a1979a9a31ef']))
  const queue = new FactQueue(() => ({ ...NOTHING, crashes }))
  for (const fact of crashes) queue.markNew({ kind: FactKind.Crash, fact })
  return queue
}

test('evidence and statements of servers fit into one announcement, and into the datagrams of a state', (t) => {
  const quarantine = encodeFacts(queueOf(20).next(), 1_000)
  const report = fleetWire.CandidateReport.fromPartial({ uptimeMs: 1_000_000n, configurationVersion: 1_000, serversRevision: 1_000n, notices: NOTICES, quarantine })
  const announcement = encodeDatagram('edge-saham-hall-2' as NodeId, 1_700_000_000_000, { $case: 'candidateReport', value: report })
  t.true(announcement.length < MAX_DATAGRAM_BYTES, `${announcement.length} bytes`)
  const state = encodeState({
    node: 'n1' as NodeId, startedAt: 5, sequence: 1, configurationVersion: 7, serversRevision: 41, stopping: false, storeLost: false, works: assignments(4, ['i-36e3019fd1', 'i-36e3019fd2'] as RunnerId[]), peers: [], notices: NOTICES, failureDomain: 'saham-hall', version: 1, processor: 1, quarantine
  }, 1_000)
  t.true(Math.max(...state.map(({ length }) => length)) < MAX_DATAGRAM_BYTES)
})

test('new facts are sent once and before all others, in messages of limited size', (t) => {
  const crashes = Array.from({ length: 40 }, (_, index) => crashOf(index, Array.from({ length: 32 }, (_, part) => `${index}ab${part}f0e1d2c3`)))
  const queue = new FactQueue(() => ({ ...NOTHING, crashes }))
  for (const fact of crashes.slice(30)) queue.markNew({ kind: FactKind.Crash, fact })
  const sent: CrashReport[] = []
  while (queue.hasNew) {
    const message = queue.next()
    t.true(encodedBytes(message) < 1_000, `${encodedBytes(message)} bytes`)
    sent.push(...message.crashes)
  }
  t.deepEqual(new Set(sent.slice(0, 10)), new Set(crashes.slice(30)))
})

test('a new fact that is no longer needed does not keep a queue from emptying', (t) => {
  const queue = new FactQueue(() => NOTHING)
  queue.markNew({ kind: FactKind.Crash, fact: crashOf(1) })
  t.is(countOf(queue.next()), 0)
  t.false(queue.hasNew)
})

test('facts that are not new are repeated in turn, a few in each message', (t) => {
  const crashes = Array.from({ length: 20 }, (_, index) => crashOf(index))
  const queue = new FactQueue(() => ({ ...NOTHING, crashes }))
  const seen = new Set<RunnerId>()
  let messages = 0
  for (; seen.size < 20 && messages < 50; messages += 1) {
    const message = queue.nextRepeated()
    t.true(encodedBytes(message) < 350)
    for (const { server } of message.crashes) seen.add(server)
  }
  t.is(seen.size, 20)
  t.true(messages <= 10)
})

test('a node that starts gets all facts, those about crashes first', (t) => {
  const sounds = Array.from({ length: 100 }, (_, index) => ({ part: `${index}ab56cd90ef`, at: 500 }))
  const queue = new FactQueue(() => ({ ...FACTS, sounds }))
  const messages = queue.everything()
  t.is(messages.reduce((sum, facts) => sum + countOf(facts), 0), 104)
  t.is(messages[0]?.crashes.length, 2)
  t.true(Math.max(...messages.map(encodedBytes)) < 1_000)
})
