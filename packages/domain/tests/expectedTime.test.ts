/** Plain services under load, placed by expected time in virtual time without a network. */
import test from 'ava'

import { EngineTimingModel, ExpectedTimePlacement, FleetAssignments, LeastOutstanding, ServiceTimes } from '../src/index.js'
import type { BackendServer, Millis, NodeId, PlacementPolicy, RunnerId } from '../src/index.js'
import { FIGURES, server } from './forwardingFixtures.js'
import { seededRandom } from './random.js'

const NODE = 'n1' as NodeId
/** Work of a request of the target workload, and the objective of its writes. */
const WORK: Millis = 43
const OBJECTIVE: Millis = 251
const SLOTS = 6
const PERIOD: Millis = 3_000

interface Load {
  readonly policy: 'expected' | 'least'
  readonly perSecond: number
  readonly time: Millis
  /** Time of a request at a server, at a number of requests in progress there. */
  readonly workOf: (index: number, inProgress: number, now: Millis) => Millis
  readonly servers: number
  readonly seed?: number
  readonly warmthOf?: (index: number, now: Millis) => number
}

interface Answered {
  readonly at: Millis
  readonly index: number
  readonly took: Millis
}

const indexOf = ({ id }: { readonly id: RunnerId }): number => Number(id.slice(1))

/** Lets requests arrive at random times and be answered; requests beyond the slots wait for a slot. */
const run = ({ policy: kind, perSecond, time, workOf, servers: count, warmthOf = () => 1, seed = 5 }: Load): Answered[] => {
  const servers = Array.from({ length: count }, (_, index) => server(`e${index}`, { slots: SLOTS }))
  const expected = new ExpectedTimePlacement({ node: NODE, warmthOf: (one, now) => warmthOf(indexOf(one), now) })
  const policy: PlacementPolicy = kind === 'expected' ? expected : new LeastOutstanding(NODE)
  const assignments = new FleetAssignments(NODE)
  const random = seededRandom(seed)
  const freeAt = servers.map(() => Array<Millis>(SLOTS).fill(0))
  const ends: Array<{ at: Millis, end: () => void }> = []
  const answered: Answered[] = []
  const begin = (now: Millis): void => {
    const choice = policy.choose({ size: { prompt: 0, mostAnswer: 0 }, objective: OBJECTIVE, timeLeft: OBJECTIVE, pauseObjective: null, candidates: servers.map((one) => ({ server: one, slowdown: 1 })), timing: new EngineTimingModel(FIGURES), loads: assignments.serverLoads(now), arrivalsPerSecond: 0, now })!
    const chosen: BackendServer = choice.server
    const index = indexOf(chosen)
    const requestsBefore = assignments.serverLoads(now).get(chosen.id).requests.length
    const assignment = assignments.start({ server: chosen.id, helpers: [], reservations: [], prompt: 0, answer: 0, prefillTime: 0, sentAt: now, isPrefilled: false, pauseObjective: null, dueAt: now + OBJECTIVE, isDeferred: false })
    const slots = freeAt[index]!.sort((a, b) => a - b)
    slots[0] = Math.max(now, slots[0]!) + workOf(index, requestsBefore + 1, now)
    const doneAt = slots[0]
    const end = (): void => {
      expected.observe(chosen, { time: doneAt - now, requestsBefore }, doneAt)
      assignments.end(assignment, doneAt)
      answered.push({ at: now, index, took: doneAt - now })
    }
    ends.push({ at: doneAt, end })
  }
  for (let now = 0, next = 0; now < time;) {
    ends.sort((a, b) => a.at - b.at)
    const [first] = ends
    if (first !== undefined && first.at <= next) {
      ends.shift()
      first.end()
      continue
    }
    now = next
    begin(now)
    next = now - 1_000 / perSecond * Math.log(1 - random())
  }
  return answered
}

const lateShare = (answers: readonly Answered[]): number => answers.filter(({ took }) => took > OBJECTIVE).length / answers.length
const meanTime = (answers: readonly Answered[]): Millis => answers.reduce((sum, { took }) => sum + took, 0) / answers.length
const shareOf = (answers: readonly Answered[], index: number): number => answers.filter((answer) => answer.index === index).length / answers.length

test('load 100 a second, one of three servers four times as slow: it gets few requests, and more again soon after it recovers', (t) => {
  const recovery = 30_000
  const answers = run({ policy: 'expected', perSecond: 100, time: 60_000, servers: 3, workOf: (index, _, now) => index === 0 && now < recovery ? 4 * WORK : WORK })
  const slow = answers.filter(({ at }) => at > 1_000 && at < recovery)
  t.true(shareOf(slow, 0) <= 0.05, `${shareOf(slow, 0)}`)
  t.true(meanTime(slow) <= 1.15 * WORK, `${meanTime(slow)}`)
  const recovered = answers.filter(({ at }) => at > recovery + 15_000)
  t.true(shareOf(recovered, 0) >= 0.25, `${shareOf(recovered, 0)}`)
})

test('load 9.5 a second, one of three servers four times as slow: a slow server is found at a low rate too', (t) => {
  const answers = run({ policy: 'expected', perSecond: 9.5, time: 60_000, servers: 3, workOf: (index) => index === 0 ? 4 * WORK : WORK })
  t.true(shareOf(answers, 0) <= 0.05, `${shareOf(answers, 0)}`)
})

test('load 9.5 a second, one of three servers four times as slow for half of the time: its recovery is found although it is not needed', (t) => {
  const recovery = 30_000
  const answers = run({ policy: 'expected', perSecond: 9.5, time: 60_000, servers: 3, workOf: (index, _, now) => index === 0 && now < recovery ? 4 * WORK : WORK })
  const recovered = answers.filter(({ at }) => at > recovery + 15_000)
  t.true(shareOf(recovered, 0) >= 0.25, `${shareOf(recovered, 0)}`)
})

test('servers that slow down near full: the slow one takes load before the others are full, and fewer requests are late than with least outstanding', (t) => {
  const workOf = (index: number, inProgress: number): Millis => (index === 0 ? 2 : 1) * WORK * (inProgress >= SLOTS - 1 ? 2 : 1)
  const load = { perSecond: 150, time: 30_000, servers: 3, workOf }
  const byTime = run({ ...load, policy: 'expected' })
  const byCount = run({ ...load, policy: 'least' })
  t.true(lateShare(byTime) <= lateShare(byCount) && lateShare(byTime) <= 0.05, `${lateShare(byTime)}, ${lateShare(byCount)}`)
})

test('a server that has just started gets load in proportion to how far it is warm', (t) => {
  const warmthOf = (index: number, now: Millis): number => index === 0 ? Math.min(1, now / PERIOD) : 1
  const answers = run({ policy: 'expected', perSecond: 100, time: 2 * PERIOD, servers: 3, warmthOf, workOf: (index, _, now) => WORK * (index === 0 && now < PERIOD ? 3 : 1) })
  const shares = [0, 1, 2].map((third) => shareOf(answers.filter(({ at }) => at >= third * 1_000 && at < (third + 1) * 1_000), 0))
  for (const [third, share] of shares.entries()) t.true(Math.abs(share - (third + 0.5) / 3 / 3) <= 0.06, shares.join())
  t.true(shareOf(answers.filter(({ at }) => at > PERIOD), 0) >= 0.28)
})

test('equal servers get the same spread as with least outstanding', (t) => {
  const random = seededRandom(9)
  const spread = (policy: Load['policy']): number[] => {
    const answers = run({ policy, perSecond: 100, time: 60_000, servers: 3, workOf: () => WORK * (0.9 + 0.2 * random()) })
    return [0, 1, 2].map((index) => shareOf(answers, index))
  }
  const [byTime, byCount] = [spread('expected'), spread('least')]
  for (const index of [0, 1, 2]) t.true(Math.abs(byTime[index]! - byCount[index]!) <= 0.03, `${byTime.join()} ${byCount.join()}`)
})

/** Servers that take twice as long from the last slot but one on. */
const nearFull = (inProgress: number): number => inProgress >= SLOTS - 1 ? 2 : 1

const FOUR_SEEDS = [1, 2, 3, 4]

for (const perSecond of [50, 100, 130, 150, 160]) {
  test(`load ${perSecond} a second, one of three servers slower: no more requests late, and none slower in the mean, than with least outstanding`, (t) => {
    const loads: Record<string, (random: () => number) => Load['workOf']> = {
      'twice as slow, and slower near full': () => (index, inProgress) => (index === 0 ? 2 : 1) * WORK * nearFull(inProgress),
      'four times as slow': () => (index) => (index === 0 ? 4 : 1) * WORK,
      'twice as slow, times that vary': (random) => (index) => (index === 0 ? -2 : -1) * WORK * Math.log(1 - random())
    }
    for (const [name, workWith] of Object.entries(loads)) {
      const [byTime, byCount] = (['expected', 'least'] as const).map((policy) => FOUR_SEEDS.flatMap((seed) => run({ policy, perSecond, time: 30_000, servers: 3, seed, workOf: workWith(seededRandom(seed + 100)) })))
      t.true(lateShare(byTime!) <= lateShare(byCount!), `${name}: late ${lateShare(byTime!)}, ${lateShare(byCount!)}`)
      t.true(meanTime(byTime!) <= meanTime(byCount!), `${name}: mean ${meanTime(byTime!)}, ${meanTime(byCount!)}`)
      t.log(name, lateShare(byTime!), lateShare(byCount!), meanTime(byTime!), meanTime(byCount!))
    }
  })

  test(`load ${perSecond} a second, equal servers: each choice is that of least outstanding`, (t) => {
    const chosen = (policy: Load['policy']): number[] => run({ policy, perSecond, time: 30_000, servers: 3, workOf: (_, inProgress) => WORK * nearFull(inProgress) }).map(({ index }) => index)
    t.deepEqual(chosen('expected'), chosen('least'))
  })
}

test('a server whose answers are all as slow as those of the others, or unusable, does not differ; a removed one is forgotten', (t) => {
  const times = new ServiceTimes()
  const [slow, ...others] = [0, 1, 2].map((index) => server(`e${index}`, { slots: SLOTS }))
  for (const one of [slow!, ...others]) for (const time of [2 * WORK, Number.NaN, -1, Infinity]) times.observe(one, { time, requestsBefore: 0 }, 0)
  t.is(times.relative(slow!, 0), 1)
  for (const one of [...others, ...others, ...others]) times.observe(one, { time: WORK, requestsBefore: 0 }, 0)
  for (let answer = 0; answer < 10; answer += 1) for (const one of [slow!, ...others]) times.observe(one, { time: one === slow ? 4 * WORK : WORK, requestsBefore: 0 }, 0)
  t.true(times.relative(slow!, 0) > 2)
  for (let answer = 0; answer < 50; answer += 1) times.observe(others[0]!, { time: 1, requestsBefore: 0 }, 0)
  t.is(times.relative(others[0]!, 0), 0.5, 'a server that answers at once is not filled beyond its slots')
  times.remove(slow!.id)
  t.is(times.relative(slow!, 0), 1)
})
