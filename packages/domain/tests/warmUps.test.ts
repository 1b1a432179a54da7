import test from 'ava'
import * as fc from 'fast-check'

import { coldAllowance, ColdSenders, coldQuota, CLOCK_TOLERANCE, RequestQuotas, SchedulerDirectory, SenderRole, WarmUps } from '../src/index.js'
import type { FailureDomain, NodeId, RunnerId, SchedulerCandidate } from '../src/index.js'
import { server } from './forwardingFixtures.js'

const PERIOD = 3_000
const NOW = 50_000
const WALL = 1_700_000_000_000
const SERVER = 'e0' as RunnerId

const warmUps = (): WarmUps => new WarmUps((service) => service === 's' ? PERIOD : null)

test('an entry that states a warm-up counts from its arrival, once for each time that it is written', (t) => {
  const table = warmUps()
  const cold = server('e0', { warmUpLeft: 2_000, startedAt: WALL - 60_000 })
  t.true(table.entryArrived({ server: cold, revision: 5 }, NOW, WALL))
  t.false(table.entryArrived({ server: cold, revision: 5 }, NOW + 1_500, WALL + 1_500))
  t.is(table.left(cold, NOW + 1_500), 500)
  table.entryArrived({ server: { ...cold, warmUpLeft: 3_000 }, revision: 6 }, NOW + 9_000, WALL + 9_000)
  t.is(table.left(cold, NOW + 9_000), 3_000)
  table.entryArrived({ server: { ...cold, warmUpLeft: 0 }, revision: 7 }, NOW + 9_500, WALL + 9_500)
  t.is(table.left(cold, NOW + 9_500), 0)
})

test('without a statement a server is cold for the period after its start, also if wall clocks differ a little', (t) => {
  const leftAfter = (startedAgo: number | null): number => {
    const started = server('e0', { startedAt: startedAgo === null ? null : WALL - startedAgo })
    const table = warmUps()
    table.entryArrived({ server: started, revision: 1 }, NOW, WALL)
    return table.left(started, NOW)
  }
  t.deepEqual([null, 0, -20_000].map(leftAfter), [PERIOD, PERIOD, PERIOD])
  t.is(leftAfter(2_000), PERIOD - 2_000 + CLOCK_TOLERANCE)
  t.is(leftAfter(PERIOD + CLOCK_TOLERANCE), 0)
})

test('a server that returns under another start time or id is cold again', (t) => {
  const table = warmUps()
  const before = server('e0', { startedAt: WALL - 60_000 })
  table.entryArrived({ server: before, revision: 1 }, NOW, WALL)
  t.is(table.left(before, NOW), 0)
  for (const after of [server('e0', { startedAt: WALL }), server('e1', { startedAt: WALL })]) {
    table.entryArrived({ server: after, revision: 2 }, NOW, WALL)
    t.is(table.left(after, NOW), PERIOD)
  }
})

test('servers of a failure domain that returns are cold until an entry that is written later says otherwise', (t) => {
  const table = warmUps()
  const servers = [server('e0', { startedAt: WALL - 60_000 }), server('e1', { startedAt: WALL - 60_000 })]
  for (const known of servers) table.entryArrived({ server: known, revision: 1 }, NOW, WALL)
  t.deepEqual(table.domainReturned([...servers, server('x', { service: 'without' })], NOW + 1), servers)
  t.is(table.count(NOW + 1, ['s']), 2)
  table.entryArrived({ server: { ...servers[0]!, warmUpLeft: 500 }, revision: 2 }, NOW + 1, WALL + 1)
  t.deepEqual(servers.map((known) => table.left(known, NOW + 1)), [500, PERIOD])
})

test('a response lengthens a warm-up and never ends it, and unusable figures have no effect', (t) => {
  const table = warmUps()
  const known = server('e0', { startedAt: WALL })
  table.entryArrived({ server: known, revision: 1 }, NOW, WALL)
  t.deepEqual([0, Number.NaN, -1, Infinity, 1_000].map((left) => table.stated(known, left, NOW)), [false, false, false, false, false])
  t.is(table.left(known, NOW), PERIOD)
  t.false(table.stated(known, PERIOD, NOW + 100))
  t.is(table.left(known, NOW + 100), PERIOD)
  t.true(table.stated(known, PERIOD + 600, NOW + 100))
  table.entryArrived({ server: { ...known, warmUpLeft: Number.NaN }, revision: 2 }, NOW + 100, WALL)
  t.is(table.left(known, NOW + 100), PERIOD + 600)
})

test('a warm server stays limited while most servers of its failure domain are cold, for one period at most', (t) => {
  const table = warmUps()
  const servers = [0, 1, 2, 3].map((index) => server(`e${index}`, { failureDomain: 'd2' as FailureDomain, warmUpLeft: 1_000 + 500 * index, startedAt: WALL }))
  for (const cold of servers) table.entryArrived({ server: cold, revision: 1 }, NOW, WALL)
  const first = servers[0]!
  t.true(table.limitedFor(first, NOW + 1_100) > 0)
  t.is(table.limitedFor(first, NOW + 1_600), 0)
  t.is(table.left(first, NOW + 1_100), 0)
})

/** Bounds of the first fleet of the target workload, and bounds without any excess. */
const BOUNDS = [{ overage: 1.5, tolerance: 5 }, { overage: 1, tolerance: 0 }]

// Guards against a second above the bound after an idle time, and if requests that were placed one after the other are sent at the same moment.
test('nodes of all roles keep the bound together in every second, also if requests are sent up to 100 ms after they are placed', (t) => {
  const gaps = fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 20, maxLength: 200 })
  t.notThrows(() => fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), fc.constantFrom(...BOUNDS), gaps, (requestsPerSecond, bounds, steps) => {
    const figures = { period: PERIOD, requestsPerSecond }
    const times = steps.flatMap((step) => step > 300 ? [step] : [step / 40]).reduce<number[]>((all, step) => [...all, (all.at(-1) ?? 0) + step], [])
    const sent = Object.values(SenderRole).flatMap((role) => {
      const allowance = coldAllowance(figures, bounds, role, 1)
      if (allowance < 1) return []
      const quotas = new RequestQuotas()
      const quota = coldQuota(figures, allowance, 0)
      const placed = times.flatMap((at) => Array<number>(3).fill(at)).filter((at) => quotas.waitTime(SERVER, quota, at) === 0 && (quotas.take(SERVER, quota, at), true))
      return placed.map((at, index) => at + (index * 37) % 100)
    })
    const bound = requestsPerSecond * bounds.overage + bounds.tolerance
    return sent.every((from) => sent.filter((at) => at >= from && at < from + 1_000).length <= bound)
  }), { seed: 26, numRuns: 200 }))
})

test('nodes that decide alone send no more together than their part, however many they are', (t) => {
  const figures = { period: PERIOD, requestsPerSecond: 26 }
  const part = coldAllowance(figures, BOUNDS[0]!, SenderRole.Lone, 1)
  for (const count of [1, 3, 59, 380]) {
    const nodes = Array.from({ length: count }, (_, index): SchedulerCandidate => ({ node: `n${index}` as NodeId, address: `10.0.0.${index}:1`, failureDomain: 'd1' as FailureDomain, processor: 1 }))
    const allowances = nodes.map((self) => {
      const directory = new SchedulerDirectory(self, NOW)
      for (const other of nodes) directory.add(other)
      return new ColdSenders(self.node, directory).allowance(SERVER, figures, BOUNDS[0]!, 1, true, NOW)
    })
    const sum = allowances.reduce((total, allowance) => total + allowance)
    t.true(sum <= part && sum >= part - count, `${sum} of ${part}, ${count} nodes`)
  }
})

test('a node that was not heard for an hour takes no part of the requests any more', (t) => {
  const self: SchedulerCandidate = { node: 'n0' as NodeId, address: '10.0.0.0:1', failureDomain: 'd1' as FailureDomain, processor: 1 }
  const directory = new SchedulerDirectory(self, NOW)
  directory.add({ ...self, node: 'n1' as NodeId, address: '10.0.0.1:1' }, NOW)
  t.is(directory.heardShare(NOW), 0.5)
  directory.reportReceived('n1' as NodeId, NOW + 10_000)
  t.is(directory.heardShare(NOW + 10_000), 1)
  t.is(directory.heardShare(NOW + 3_600_000), 0.5)
  t.is(directory.heardShare(NOW + 2 * 3_600_000), 1)
})
