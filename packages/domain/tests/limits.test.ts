import test from 'ava'
import fc from 'fast-check'

import { OrganisationLimit, shareOfConcurrency } from '../src/index.js'
import type { LimitDemand, OrganisationId } from '../src/index.js'
import { node } from './fixtures.js'
import { seededRandom } from './random.js'

const SEED = 20_261_203
const ORG = 'o' as OrganisationId

const fleetOf = (size: number, concurrent: number | null, tokensPerSecond: number | null) => {
  const names = Array.from({ length: size }, (_, index) => node(`n${index}`))
  const limits = names.map((name) => new OrganisationLimit(ORG, name, { concurrent, tokensPerSecond }, 0))
  /** Runs one round of gossip. Demands for which `isDelivered` is false are not passed on and count as zero at the receiver. */
  const gossip = (now: number, isDelivered: (from: number, to: number) => boolean = () => true): void => {
    const demands = limits.map((limit) => limit.demand(now))
    limits.forEach((limit, to) => {
      limit.setPublishedDemand(demands[to]!, now)
      limit.update(names, demands.filter((_, from) => from === to || isDelivered(from, to)), now)
    })
  }
  const inTransit: { readonly demand: LimitDemand, readonly to: number, readonly at: number }[] = []
  const views = names.map(() => new Map<string, LimitDemand>())
  /** Publishes one node's demand, which reaches each other node after a delay of less than a second. */
  const gossipWithDelay = (from: number, now: number): void => {
    const demand = limits[from]!.demand(now)
    limits[from]!.setPublishedDemand(demand, now)
    names.forEach((_, to) => { if (to !== from) inTransit.push({ demand, to, at: now + (from * 7 + to * 3) % 10 * 100 }) })
    for (const message of inTransit.splice(0)) {
      if (message.at > now) inTransit.push(message)
      else views[message.to]!.set(message.demand.node, message.demand)
    }
    limits.forEach((limit, to) => limit.update(names, [...views[to]!.values()], now))
  }
  return { limits, gossip, gossipWithDelay }
}

test('the shares of all nodes with the same view add up to the bound', (t) => {
  const demands = fc.array(fc.nat(500), { minLength: 1, maxLength: 40 })
  fc.assert(fc.property(demands, fc.integer({ min: 0, max: 300 }), (wanted, bound) => {
    const nodes = wanted.map((demand, index) => ({ node: node(`n${index}`), demand, held: Math.floor(Math.min(demand, bound / wanted.length)) }))
    return nodes.reduce((sum, each) => sum + shareOfConcurrency(bound, each.node, nodes, 'o'), 0) === bound
  }), { seed: SEED, numRuns: 500 })
  t.pass()
})

/** Guards against an excess that keeps itself alive: nodes that had more in progress than the bound kept shares for all of it. */
test('the shares add up to the bound even if more requests are in progress', (t) => {
  const heldByNode = fc.array(fc.nat(20), { minLength: 1, maxLength: 40 })
  t.notThrows(() => fc.assert(fc.property(heldByNode, fc.integer({ min: 0, max: 60 }), (held, bound) => {
    const nodes = held.map((count, index) => ({ node: node(`n${index}`), demand: count + index % 3, held: count }))
    return nodes.reduce((sum, each) => sum + shareOfConcurrency(bound, each.node, nodes, 'o'), 0) === bound
  }), { seed: SEED, numRuns: 500 }))
})

test('concurrent requests never exceed the bound while demand changes at all nodes and gossip is delayed', (t) => {
  const steps = fc.array(fc.record({ which: fc.nat(8), ends: fc.nat(3), after: fc.nat(400) }), { minLength: 50, maxLength: 300, size: 'max' })
  fc.assert(fc.property(fc.integer({ min: 1, max: 9 }), fc.integer({ min: 1, max: 60 }), steps, (size, bound, played) => {
    const { limits, gossip, gossipWithDelay } = fleetOf(size, bound, null)
    gossip(0)
    let now = 0
    for (const { which, ends, after } of played) {
      now += after
      const limit = limits[which % size]!
      if (ends === 0 && limit.inProgress > 0) limit.release(0, now)
      else limit.admit(10, now)
      if (limits.reduce((sum, each) => sum + each.inProgress, 0) > bound) return false
      gossipWithDelay(which % size, now)
    }
    return true
  }), { seed: SEED, numRuns: 150, endOnFailure: true })
  t.pass()
})

test('the bound on concurrent requests is divided by demand and used up', (t) => {
  const { limits, gossip } = fleetOf(9, 30, null)
  gossip(0)
  for (let now = 0; now < 5_000; now += 100) {
    for (let tries = 0; tries < 5; tries++) limits[3]!.admit(10, now)
    if (now % 1_000 === 0) gossip(now)
  }
  t.true(limits[3]!.inProgress >= 27, `${limits[3]!.inProgress} of 30 requests at the only node with demand`)
})

test('two halves of a partitioned network admit at most twice the bound', (t) => {
  fc.assert(fc.property(fc.integer(), fc.integer({ min: 2, max: 9 }), fc.integer({ min: 1, max: 60 }), (seed, size, bound) => {
    const random = seededRandom(seed)
    const { limits, gossip } = fleetOf(size, bound, null)
    const half = (index: number): number => index % 2
    for (let now = 0; now < 20_000; now += 100) {
      limits[Math.floor(random() * size)]!.admit(10, now)
      if (now % 500 === 0) gossip(now, (from, to) => half(from) === half(to))
    }
    return limits.reduce((sum, limit) => sum + limit.inProgress, 0) <= 2 * bound
  }), { seed: SEED, numRuns: 100, endOnFailure: true })
  t.pass()
})

test('admitted tokens stay within the rate, plus one burst window and one request per node', (t) => {
  fc.assert(fc.property(fc.integer(), fc.integer({ min: 1, max: 9 }), (seed, size) => {
    const random = seededRandom(seed)
    const [rate, largest, seconds] = [50_000, 5_000, 20]
    const { limits, gossip } = fleetOf(size, null, rate)
    gossip(0)
    let admitted = 0
    for (let now = 0; now < seconds * 1_000; now += 5) {
      const tokens = 1 + Math.floor(random() * largest)
      const limit = limits[Math.floor(random() * random() * size)]!
      if (limit.admit(tokens, now) === null) {
        admitted += tokens
        limit.release(0, now)
      }
      if (now % 1_000 === 0) gossip(now)
    }
    const most = rate * (seconds + 1) + size * largest
    return admitted <= most && admitted >= 0.7 * rate * seconds
  }), { seed: SEED, numRuns: 60, endOnFailure: true })
  t.pass()
})

test('a request is admitted after the retry delay of its refusal', (t) => {
  const { limits } = fleetOf(1, 1, 1_000)
  limits[0]!.update([node('n0')], [], 3_000)
  t.is(limits[0]!.admit(3_000, 3_000), null)
  t.like(limits[0]!.admit(1, 3_001), { bound: 'concurrent' })
  limits[0]!.release(0, 3_002)
  const refusal = limits[0]!.admit(1, 3_003)
  t.is(refusal?.bound, 'tokens_per_second')
  t.is(limits[0]!.admit(1, 3_003 + refusal!.retryAfter), null)
})

/** Guards against nodes that each take themselves for the one with the most demand, because their own demand is the newest that they know. */
for (const delay of [200, 500, 900, 1_400]) {
  test(`concurrent requests never exceed the bound while demand rises at all nodes, which hear of it after ${delay} ms`, (t) => {
    const bound = 4
    const names = ['node-1', 'node-2', 'node-3'].map((name) => node(name))
    const limits = names.map((name) => new OrganisationLimit(ORG, name, { concurrent: bound, tokensPerSecond: null }, 0))
    const views = names.map(() => new Map<string, LimitDemand>())
    let inTransit: Array<{ readonly demand: LimitDemand, readonly to: number, readonly at: number }> = []
    const ends: Array<{ readonly which: number, readonly at: number }> = []
    let most = 0
    for (let now = 0; now < 12_000; now += 10) {
      for (const { demand, to } of inTransit.filter(({ at }) => at <= now)) views[to]!.set(demand.node, demand)
      inTransit = inTransit.filter(({ at }) => at > now)
      for (const end of ends.filter(({ at }) => at === now)) limits[end.which]!.release(0, now)
      limits.forEach((limit, which) => {
        if (now % 500 === which * 180) {
          const demand = limit.demand(now)
          limit.setPublishedDemand(demand, now)
          names.forEach((_, to) => { if (to !== which) inTransit.push({ demand, to, at: now + delay }) })
          limit.update(names, [...views[which]!.values()], now)
        }
        if (now % 200 === which * 10 && limit.admit(10, now) === null) ends.push({ which, at: now + 1_000 })
      })
      most = Math.max(most, limits.reduce((sum, { inProgress }) => sum + inProgress, 0))
    }
    t.true(most <= bound, `${most} at once`)
    t.true(most >= bound - 1, `${most} at once`)
  })
}

/** Gossips every 500 ms, and admits as many requests as it can at the given nodes, each of which lasts a second. */
const play = (fleet: ReturnType<typeof fleetOf>, from: number, to: number, busy: readonly number[], isDelivered?: (from: number, to: number) => boolean): void => {
  const ends: Array<{ readonly which: number, readonly at: number }> = []
  for (let now = from; now < to; now += 100) {
    for (const { which } of ends.filter(({ at }) => at === now)) fleet.limits[which]!.release(0, now)
    if (now % 500 === 0) fleet.gossip(now, isDelivered)
    for (const which of busy) while (fleet.limits[which]!.admit(10, now) === null) ends.push({ which, at: now + 1_000 })
  }
  for (const { which } of ends.filter(({ at }) => at >= to)) fleet.limits[which]!.release(0, to)
}

const limitsAt = ({ limits }: ReturnType<typeof fleetOf>, now: number): number[] => limits.map((limit) => limit.concurrencyLimit(now))

const sumOf = (numbers: readonly number[]): number => numbers.reduce((sum, each) => sum + each, 0)

test('a node that was paused admits nothing until it has heard of the others again', (t) => {
  const fleet = fleetOf(2, 4, null)
  play(fleet, 0, 10_000, [0, 1])
  t.deepEqual(limitsAt(fleet, 10_000), [2, 2])
  t.like(fleet.limits[0]!.admit(10, 13_500), { bound: 'concurrent' })
  fleet.limits[0]!.update([node('n0')], [], 13_500)
  t.like(fleet.limits[0]!.admit(10, 13_500), { bound: 'concurrent' })
})

test('the share of a node that is gone is used only after that node would have stopped by itself', (t) => {
  const fleet = fleetOf(2, 4, null)
  play(fleet, 0, 10_000, [0, 1])
  const [survivor] = fleet.limits
  const limitAfter = (since: number): number => {
    const now = 10_000 + since
    survivor!.setPublishedDemand(survivor!.demand(now), now)
    survivor!.update([node('n0')], [], now)
    return survivor!.concurrencyLimit(now)
  }
  const limits = Array.from({ length: 12 }, (_, index) => limitAfter(index * 500))
  t.deepEqual(limits.slice(0, 6), [2, 2, 2, 2, 2, 2])
  t.is(limits.at(-1), 4)
})

test('the limits of two halves that see each other again add up to the bound', (t) => {
  const fleet = fleetOf(6, 12, null)
  play(fleet, 0, 5_000, [0, 1, 2, 3, 4, 5])
  const half = (index: number): number => index % 2
  for (let now = 5_000; now < 15_000; now += 500) {
    const demands = fleet.limits.map((limit) => limit.demand(now))
    fleet.limits.forEach((limit, which) => {
      const heard = demands.filter((_, other) => half(other) === half(which))
      limit.setPublishedDemand(demands[which]!, now)
      limit.update(heard.map(({ node }) => node), heard, now)
      limit.admit(10, now)
    })
  }
  t.is(sumOf(limitsAt(fleet, 15_000)), 24)
  for (const limit of fleet.limits) while (limit.inProgress > 0) limit.release(0, 15_000)
  play(fleet, 15_000, 20_000, [0, 1, 2, 3, 4, 5])
  t.is(sumOf(limitsAt(fleet, 20_000)), 12)
})

test('equal demand at more nodes than the bound has places uses it up', (t) => {
  const bound = 4
  const fleet = fleetOf(9, bound, null)
  play(fleet, 0, 10_000, [0, 1, 2, 3, 4, 5, 6, 7, 8])
  t.is(sumOf(limitsAt(fleet, 10_000)), bound)
})

test('the bound is divided among nodes that announce no demand', (t) => {
  const fleet = fleetOf(3, 4, null)
  const names = [0, 1, 2].map((index) => node(`n${index}`))
  for (let now = 0; now <= 3_000; now += 500) {
    for (const limit of fleet.limits) {
      const demand = limit.demand(now)
      limit.setPublishedDemand(limit.isIdle(demand) ? null : demand, now)
      limit.update(names, [], now)
    }
  }
  t.deepEqual(limitsAt(fleet, 3_000).sort(), [1, 1, 2])
})
