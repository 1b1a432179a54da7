import test from 'ava'
import fc from 'fast-check'

import type { FailureDomain, MembershipTimings, NodeId } from '../src/index.js'
import { MemberGroup } from './memberGroup.js'

const SEED = 20_261_203
const SIZE = 9
const DETECTION_BOUND = 3_000
const AGREEMENT_BOUND = 20_000
const HEALING_BOUND = 12_000

const awaitAgreement = (group: MemberGroup): void => {
  if (group.runUntil(() => group.isConsistent(), AGREEMENT_BOUND) === null) throw new Error('the members did not agree')
}

const pauseArbitrary = fc.record({ index: fc.nat(SIZE - 1), length: fc.integer({ min: 300, max: 8_000 }), gap: fc.integer({ min: 50, max: 2_500 }) })
const pausesArbitrary = fc.array(pauseArbitrary, { minLength: 4, maxLength: 14 })
const seedArbitrary = fc.integer({ min: 1, max: 1_000_000 })

// A member that has been running for at least this time can only be declared unreachable on outdated observations.
const MIN_RUNNING_MS = 2_600

const countWrongClaims = (seed: number, pauses: readonly { index: number, length: number, gap: number }[], timings: Partial<MembershipTimings> = {}): number => {
  const group = new MemberGroup({ seed, size: SIZE, duplication: 0.1, maxLatency: 40, timings })
  awaitAgreement(group)
  let wrong = 0
  let checked = 0
  const check = (): void => {
    for (const claim of group.claims.slice(checked)) {
      const about = group.participants.find(({ node }) => node === claim.about)
      if (about !== undefined && claim.at - about.lastPaused > MIN_RUNNING_MS) wrong += 1
    }
    checked = group.claims.length
  }
  for (const { index, length, gap } of pauses) {
    group.pause(index, length)
    for (let step = 0; step < gap; step += 50) {
      group.run(50)
      check()
    }
  }
  for (let step = 0; step < 200; step += 1) {
    group.run(50)
    check()
  }
  return wrong
}

test('paused members never declare running members unreachable', (t) => {
  t.notThrows(() => fc.assert(fc.property(seedArbitrary, pausesArbitrary, (seed, pauses) => countWrongClaims(seed, pauses) === 0), { seed: SEED, numRuns: 60, endOnFailure: true }))
})

test('without pause detection, a paused member declares running members unreachable', (t) => {
  const result = fc.check(fc.property(seedArbitrary, pausesArbitrary, (seed, pauses) => countWrongClaims(seed, pauses, { pauseThreshold: Infinity }) === 0), { seed: SEED, numRuns: 60, endOnFailure: true })
  t.true(result.failed)
})

const faultArbitrary = fc.oneof(
  fc.record({ kind: fc.constant('pause' as const), index: fc.integer({ min: 1, max: SIZE - 1 }), length: fc.integer({ min: 100, max: 6_000 }) }),
  fc.record({ kind: fc.constant('crash' as const), index: fc.integer({ min: 1, max: SIZE - 1 }), length: fc.constant(0) }),
  fc.record({ kind: fc.constant('restart' as const), index: fc.integer({ min: 1, max: SIZE - 1 }), length: fc.constant(0) }),
  fc.record({ kind: fc.constant('leave' as const), index: fc.integer({ min: 1, max: SIZE - 1 }), length: fc.constant(0) })
)
type Fault = { readonly kind: 'pause' | 'crash' | 'restart' | 'leave', readonly index: number, readonly length: number }

const applyFault = (group: MemberGroup, { kind, index, length }: Fault): void => {
  if (kind === 'pause') group.pause(index, length)
  else if (kind === 'crash') group.crash(index)
  else if (kind === 'restart') group.restart(index)
  else if (group.at(index).isRunning) group.handle(index, { type: 'leave' })
}

const agreementTime = (seed: number, faults: readonly Fault[], timings: Partial<MembershipTimings> = {}): number | null => {
  const group = new MemberGroup({ seed, size: SIZE, loss: 0.15, duplication: 0.1, maxLatency: 80, timings })
  group.run(5_000)
  for (const fault of faults) {
    applyFault(group, fault)
    group.run(700)
  }
  group.loss = 0.05
  const lastPause = Math.max(0, ...group.participants.map(({ pausedUntil }) => pausedUntil - group.now))
  group.run(lastPause)
  return group.runUntil(() => group.isConsistent(), AGREEMENT_BOUND)
}

test('all live members agree within 20 s of the last change', (t) => {
  t.notThrows(() => fc.assert(fc.property(seedArbitrary, fc.array(faultArbitrary, { maxLength: 12 }), (seed, faults) => agreementTime(seed, faults) !== null), { seed: SEED, numRuns: 60, endOnFailure: true }))
})

test('without anti-entropy and reconnection, members keep disagreeing', (t) => {
  const timings = { antiEntropyPeriod: Infinity, reconnectPeriod: Infinity }
  const result = fc.check(fc.property(seedArbitrary, fc.array(faultArbitrary, { maxLength: 12 }), (seed, faults) => agreementTime(seed, faults, timings) !== null), { seed: SEED, numRuns: 60, endOnFailure: true })
  t.true(result.failed)
})

const isUnreachableEverywhere = (group: MemberGroup, index: number): boolean =>
  group.running().every(({ membership }) => membership.member(group.at(index).node)?.state === 'unreachable')

const slowestDetection = (size: number, domains: number, runs: number): number => {
  let slowest = 0
  for (let seed = 1; seed <= runs; seed += 1) {
    const group = new MemberGroup({ seed, size, domains, maxLatency: 5 })
    awaitAgreement(group)
    group.run(seed * 37)
    group.crash(seed % size)
    slowest = Math.max(slowest, group.runUntil(() => isUnreachableEverywhere(group, seed % size), 20_000) ?? Infinity)
  }
  return slowest
}

test('a crashed node is unreachable at all members within 3 s', (t) => {
  t.true(slowestDetection(SIZE, 3, 60) <= DETECTION_BOUND)
  t.true(slowestDetection(40, 4, 8) <= DETECTION_BOUND)
})

test('five of forty nodes that crash at once are unreachable at all members within 3 s', (t) => {
  for (const seed of [2, 7, 16, 19, 21, 22]) {
    const group = new MemberGroup({ seed, size: 40, domains: 4, maxLatency: 5 })
    awaitAgreement(group)
    const dead = [0, 1, 2, 3, 4].map((step) => (seed + step * 4) % 40)
    for (const index of dead) group.crash(index)
    const time = group.runUntil(() => dead.every((index) => isUnreachableEverywhere(group, index)), 20_000)
    t.true(time !== null && time <= DETECTION_BOUND, `seed ${seed}: ${time} ms`)
  }
})

const cutArbitrary = fc.record({ domain: fc.nat(2), length: fc.integer({ min: 4_000, max: 40_000 }), direction: fc.constantFrom('both', 'inbound', 'outbound') })

const healAfterPartition = (seed: number, { domain, length, direction }: { domain: number, length: number, direction: string }, timings: Partial<MembershipTimings> = {}): { hasRemovedMembers: boolean, healed: number | null } => {
  const group = new MemberGroup({ seed, size: SIZE, maxLatency: 10, timings })
  awaitAgreement(group)
  group.loss = 0.02
  const cut = `fd${domain}` as FailureDomain
  group.partitionWhere((from, to) => from !== to && ((from === cut && direction !== 'inbound') || (to === cut && direction !== 'outbound')))
  group.run(length)
  const forgotten = group.participants.some(({ membership }) => membership.members().length !== SIZE)
  group.partitionWhere(() => false)
  return { hasRemovedMembers: forgotten, healed: group.runUntil(() => group.isConsistent(), HEALING_BOUND) }
}

test('a partitioned failure domain is unreachable, is not removed, and members on both sides agree again within 12 s', (t) => {
  t.notThrows(() => fc.assert(fc.property(seedArbitrary, cutArbitrary, (seed, cut) => {
    const { hasRemovedMembers: forgotten, healed } = healAfterPartition(seed, cut)
    return !forgotten && healed !== null
  }), { seed: SEED, numRuns: 40, endOnFailure: true }))
})

test('without reconnection, members do not agree again after a long partition', (t) => {
  t.is(healAfterPartition(1, { domain: 1, length: 20_000, direction: 'both' }, { reconnectPeriod: Infinity }).healed, null)
})

test('both sides of a partition see the other as unreachable within 8 s', (t) => {
  const group = new MemberGroup({ seed: 3, size: SIZE })
  awaitAgreement(group)
  group.partitionWhere((from, to) => from !== to && (from === 'fd0' || to === 'fd0'))
  const separated = (): boolean => group.participants.every(({ membership, failureDomain }) =>
    membership.members().every((member) => (member.state === 'unreachable') === ((member.failureDomain === 'fd0') !== (failureDomain === 'fd0'))))
  t.not(group.runUntil(separated, 8_000), null)
})

test('only members that are unreachable and not in the VM list are removed', (t) => {
  const group = new MemberGroup({ seed: 5, size: SIZE })
  awaitAgreement(group)
  group.crash(8)
  group.run(4_000)
  const vms = group.participants.slice(0, 7).map(({ node }) => ({ node, leaving: false }))
  group.handle(0, { type: 'vm_listed', asOf: group.now, vms })
  group.run(2_000)
  t.deepEqual(group.at(3).membership.members().filter(({ state }) => state !== 'alive').map(({ node, state }) => [node, state]), [['n8', 'left']])
})

test('a VM that the list marks as leaving is leaving at all members, but its restarted process is not', (t) => {
  const group = new MemberGroup({ seed: 6, size: SIZE })
  awaitAgreement(group)
  const listed = { type: 'vm_listed', asOf: group.now, vms: group.participants.map(({ node }, index) => ({ node, leaving: index === 4 })) } as const
  group.handle(2, listed)
  group.run(500)
  t.true(group.participants.every(({ membership }) => membership.member('n4' as NodeId)?.leaving === true))
  group.crash(4)
  group.restart(4)
  group.run(2_000)
  group.handle(2, listed)
  group.run(500)
  t.true(group.participants.every(({ membership }) => membership.member('n4' as NodeId)?.leaving === false))
})

test('a process whose clock is behind that of its predecessor replaces it under the same name', (t) => {
  const group = new MemberGroup({ seed: 7, size: SIZE })
  awaitAgreement(group)
  group.crash(4)
  group.restart(4, 0)
  t.not(group.runUntil(() => group.isConsistent(), AGREEMENT_BOUND), null)
  t.is(group.at(1).membership.member('n4' as NodeId)?.startedAt, group.at(4).membership.me.startedAt)
})
