import test from 'ava'
import fc from 'fast-check'

import { placeModels, PlacementPlan, divideRunners } from '../src/index.js'
import type { LeaseTimings, PlannedRunner, RunnerId, WantedModel } from '../src/index.js'
import { PlacementGroup } from './placementGroup.js'

const SEED = 20_261_203
const SETTLE_BOUND = 90_000

const wantedModel = (model: string, warmCopies: number, change: Partial<WantedModel> = {}): WantedModel =>
  ({ model, version: 'v1', adapters: [], role: 'mixed', warmCopies, urgency: 1, weightBytes: 500_000_000, ...change })

const runnerOf = (index: number, model: string | null, streams = 0): PlannedRunner =>
  ({ runner: `r${index}` as RunnerId, loaded: model === null ? null : { model, version: 'v1' }, loading: null, adapters: [], role: 'mixed', streams, leaving: false, draining: false })

const isPlaced = (group: PlacementGroup, wants: readonly WantedModel[]): boolean =>
  wants.every((wanted) => group.serving(wanted) === wanted.warmCopies) &&
  group.engines.every(({ loaded, adapters }) => loaded === null || sameAdapters(adapters, wants.find(({ model }) => model === loaded.model)?.adapters ?? []))

const sameAdapters = (a: readonly string[], b: readonly string[]): boolean => [...a].sort().join() === [...b].sort().join()

const faultArbitrary = fc.record({
  kind: fc.constantFrom('pause', 'pause_holder', 'store_down', 'swap'),
  index: fc.nat(2),
  length: fc.integer({ min: 300, max: 30_000 }),
  gap: fc.integer({ min: 500, max: 15_000 })
})
type Fault = { readonly kind: string, readonly index: number, readonly length: number, readonly gap: number }

const WANTS = [[wantedModel('a', 3, { adapters: ['x'] }), wantedModel('b', 2)], [wantedModel('a', 2), wantedModel('c', 3, { adapters: ['y', 'z'] })]] as const

const runFaults = (seed: number, faults: readonly Fault[], checksFencing: boolean, lease: Partial<LeaseTimings> = {}, skipsCheck = false): { unleased: number, settled: boolean, orders: number } => {
  const group = new PlacementGroup({ seed, engines: 6, candidates: 3, enginesCheckFencing: checksFencing, faults: 0.15, maxDelay: 4_000, lease, skipsLeaseCheck: skipsCheck })
  let wants: readonly WantedModel[] = WANTS[0]
  group.handleAll({ type: 'wants_changed', wantedModels: wants })
  group.run(20_000)
  for (const { kind, index, length, gap } of faults) {
    if (kind === 'pause') group.pause(index, length)
    if (kind === 'pause_holder' && group.leaderIndex() >= 0) group.pause(group.leaderIndex(), length)
    if (kind === 'store_down') group.storeDown = !group.storeDown
    if (kind === 'swap') {
      wants = wants === WANTS[0] ? WANTS[1] : WANTS[0]
      group.handleAll({ type: 'wants_changed', wantedModels: wants })
    }
    group.run(gap)
  }
  group.faults = 0.05
  group.storeDown = false
  group.run(30_000)
  const settled = group.runUntil(() => isPlaced(group, wants), SETTLE_BOUND) !== null
  return { unleased: group.unleasedCommands, settled, orders: group.commands }
}

const seedArbitrary = fc.integer({ min: 1, max: 1_000_000 })
const faultsArbitrary = fc.array(faultArbitrary, { maxLength: 10 })

for (const checksFencing of [true, false]) {
  test(`leaders act only under their lease and the runners end with the wanted models, fencing check ${checksFencing ? 'on' : 'off'}`, (t) => {
    t.notThrows(() => fc.assert(fc.property(seedArbitrary, faultsArbitrary, (seed, faults) => {
      const { unleased, settled } = runFaults(seed, faults, checksFencing)
      return unleased === 0 && settled
    }), { seed: SEED, numRuns: 60, endOnFailure: true }))
  })
}

test('without margin and pause detection, a leader acts after its lease has expired', (t) => {
  const lease = { margin: -8_000, pauseThreshold: Infinity }
  const result = fc.check(fc.property(seedArbitrary, faultsArbitrary, (seed, faults) => runFaults(seed, faults, false, lease).unleased === 0), { seed: SEED, numRuns: 60, endOnFailure: true })
  t.true(result.failed)
})

test('a leader that resumes after its lease has expired sends no command and steps down', (t) => {
  const group = new PlacementGroup({ seed: 1, engines: 4, candidates: 2, enginesCheckFencing: false, faults: 0, maxDelay: 100 })
  group.handleAll({ type: 'wants_changed', wantedModels: [wantedModel('a', 2)] })
  t.not(group.runUntil(() => group.serving(wantedModel('a', 2)) === 2, SETTLE_BOUND), null)
  const first = group.leaderIndex()
  group.pause(first, 40_000)
  group.handleAll({ type: 'wants_changed', wantedModels: [wantedModel('b', 2)] })
  t.not(group.runUntil(() => group.serving(wantedModel('b', 2)) === 2, SETTLE_BOUND), null)
  t.not(group.leaderIndex(), first)
  group.run(45_000)
  t.is(group.unleasedCommands, 0)
  t.is(group.serving(wantedModel('b', 2)), 2)
  t.not(group.leaderIndex(), first)
})

// The leader is paused while its commands are in flight; engines ignore fencing numbers.
const countStaleCommands = (seed: number, waits: boolean): number => {
  const group = new PlacementGroup({ seed, engines: 4, candidates: 2, enginesCheckFencing: false, plansAssumeFencing: !waits, faults: 0, maxDelay: 16_000 })
  group.handleAll({ type: 'wants_changed', wantedModels: [wantedModel('a', 4)] })
  group.runUntil(() => group.commands > 1, SETTLE_BOUND)
  group.pause(group.leaderIndex(), 60_000)
  group.handleAll({ type: 'wants_changed', wantedModels: [wantedModel('b', 4)] })
  group.run(120_000)
  return group.serving(wantedModel('b', 4)) === 4 ? group.staleCommands : Infinity
}

const countStaleCommandsOverSeeds = (waits: boolean): number =>
  Array.from({ length: 20 }, (_, seed) => countStaleCommands(seed + 1, waits)).reduce((sum, count) => sum + count, 0)

test('a new leader waits until the commands of the previous one have arrived', (t) => {
  t.is(countStaleCommandsOverSeeds(true), 0)
})

test('without the wait, commands of the previous leader arrive after new ones, and their effect is corrected', (t) => {
  const overtaken = countStaleCommandsOverSeeds(false)
  t.true(overtaken > 0 && overtaken < Infinity)
})

test('a version change keeps at least 6 of 8 runners serving and interrupts no stream', (t) => {
  const group = new PlacementGroup({ seed: 2, engines: 8, candidates: 2, enginesCheckFencing: true, faults: 0.05, maxDelay: 200 })
  group.handleAll({ type: 'wants_changed', wantedModels: [wantedModel('a', 8)] })
  t.not(group.runUntil(() => group.serving(wantedModel('a', 8)) === 8, SETTLE_BOUND), null)
  for (const engine of group.engines) engine.streams = 1
  group.handleAll({ type: 'wants_changed', wantedModels: [wantedModel('a', 8, { version: 'v2' })] })
  let least = 8
  const finishStreams = (): void => {
    for (const engine of group.engines) engine.streams = engine.draining ? 0 : 1
    least = Math.min(least, group.engines.filter(({ draining, loading, loaded }) => !draining && loading === null && loaded !== null).length)
  }
  t.not(group.runUntil(() => group.serving(wantedModel('a', 8, { version: 'v2' })) === 8, 4 * SETTLE_BOUND, finishStreams), null)
  t.true(least >= 6, `only ${least} of 8 served`)
  t.is(group.interruptedStreams, 0)
})

test('idle models are replaced while traffic needs the runners, and return to their warm copies', (t) => {
  const group = new PlacementGroup({ seed: 3, engines: 6, candidates: 1, enginesCheckFencing: true, faults: 0, maxDelay: 100, limits: { idleAfter: 20_000 } })
  const wants = [wantedModel('a', 1), wantedModel('b', 1)]
  group.handleAll({ type: 'wants_changed', wantedModels: wants })
  const traffic = (runners: number) => (): void => { if (group.now % 1_000 === 0) group.handleAll({ type: 'traffic_reported', model: 'a', runners }) }
  t.not(group.runUntil(() => group.serving(wantedModel('a', 1)) === 5 && group.serving(wantedModel('b', 1)) === 1, SETTLE_BOUND, traffic(5)), null)
  t.not(group.runUntil(() => group.engines.filter(({ loaded }) => loaded !== null).length === 2, SETTLE_BOUND, traffic(0)), null)
})

test('the rate of loads stays within that of the weight store', (t) => {
  const group = new PlacementGroup({ seed: 4, engines: 10, candidates: 1, enginesCheckFencing: true, faults: 0, maxDelay: 60, limits: { weightStoreRate: 100_000_000, concurrentLoads: 10 } })
  group.handleAll({ type: 'wants_changed', wantedModels: [wantedModel('a', 10)] })
  const starts: number[] = []
  const seen = new Set<RunnerId>()
  group.run(80_000, () => {
    for (const { runner, loading } of group.engines) {
      if (loading === null || seen.has(runner)) continue
      seen.add(runner)
      starts.push(group.now)
    }
  })
  t.is(starts.length, 10)
  // Each load of 500 MB takes 5 s at the limited rate.
  const gaps = starts.slice(1).map((start, index) => start - (starts[index] ?? 0))
  t.true(Math.min(...gaps) >= 4_800, gaps.join())
})

test('a completed placement is not changed again, whatever models the runners have', (t) => {
  const heldArbitrary = fc.array(fc.constantFrom('a', 'b', 'c', null), { minLength: 1, maxLength: 12 })
  const wantsArbitrary = fc.tuple(fc.nat(6), fc.nat(6)).map(([a, b]) => [wantedModel('a', a), wantedModel('b', b)])
  t.notThrows(() => fc.assert(fc.property(heldArbitrary, wantsArbitrary, (held, wants) => {
    const runners = held.map((model, index) => runnerOf(index, model))
    const shares = divideRunners(wants, () => 0, runners.length)
    const first = placeModels(shares, runners, 1)
    const moved = runners.map((runner) => {
      const next = first.get(runner.runner)
      return next === undefined ? runner : { ...runner, loaded: next === null ? null : { model: next.model, version: next.version } }
    })
    const second = placeModels(shares, moved, 1)
    const unchanged = moved.every((runner) => (second.get(runner.runner)?.model ?? null) === (runner.loaded?.model ?? null))
    return unchanged && shares.every(({ want: { model }, copies }) => moved.filter(({ loaded }) => loaded?.model === model).length === copies)
  }), { seed: SEED, numRuns: 500 }))
})

test('a leader that has not received the wanted models unloads nothing', (t) => {
  const group = new PlacementGroup({ seed: 5, engines: 4, candidates: 1, enginesCheckFencing: true, faults: 0, maxDelay: 60 })
  group.handleAll({ type: 'wants_changed', wantedModels: [wantedModel('a', 4)] })
  t.not(group.runUntil(() => group.serving(wantedModel('a', 4)) === 4, SETTLE_BOUND), null)
  const plan = new PlacementPlan({ name: 'new', enginesCheckFencing: true })
  plan.handle({ type: 'candidacy_changed', isCandidate: true }, 0)
  const [acquire] = plan.handle({ type: 'ticked' }, 0).filter((effect) => effect.type === 'acquire_lease')
  plan.handle({ type: 'lease_granted', token: acquire?.token ?? '', revision: 9, sentAt: 0 }, 10)
  const orders = [500, 1_000, 1_500, 2_000, 4_000, 7_000, 9_000].flatMap((now) => {
    for (const { runner } of group.engines) plan.handle({ type: 'runner_reported', runner: { ...runnerOf(0, 'a'), runner } }, now)
    return plan.handle({ type: 'ticked' }, now).filter((effect) => effect.type === 'order')
  })
  t.deepEqual(orders, [])
})

test('a new leader unloads an idle model only after the time for which traffic counts', (t) => {
  const group = new PlacementGroup({ seed: 6, engines: 3, candidates: 1, enginesCheckFencing: true, faults: 0, maxDelay: 60, limits: { idleAfter: 20_000 } })
  group.handleAll({ type: 'wants_changed', wantedModels: [wantedModel('a', 3)] })
  t.not(group.runUntil(() => group.serving(wantedModel('a', 3)) === 3, SETTLE_BOUND), null)
  group.handleAll({ type: 'wants_changed', wantedModels: [wantedModel('a', 1)] })
  group.run(15_000)
  t.is(group.serving(wantedModel('a', 3)), 3)
  t.not(group.runUntil(() => group.serving(wantedModel('a', 3)) === 1, SETTLE_BOUND), null)
})
