import test from 'ava'
import * as fc from 'fast-check'

import { Quarantine, QuarantineStatus } from '../src/index.js'
import type { CrashReport, Millis, NodeId, Trial, QuarantineFacts, RunnerId, ServerSurvival, SoundAnswer } from '../src/index.js'
import { SoundAnswers } from '../src/forwarding/quarantine/SoundAnswers.js'

const SEED = 26
const PARTS = ['a', 'b', 'c', 'd', 'e']
const END: Millis = 60_000

/** Facts of one kind about the same thing are apart by more than the tolerances: closer ones are taken for the same. */
const GRID: Millis = 2_500

const time = fc.integer({ min: 0, max: 20 }).map((step) => step * GRID)

/** Differs from the times of other kinds. */
const offset = (at: Millis, by: Millis): Millis => at + by

const start = fc.record({ server: fc.integer({ min: 0, max: 5 }).map((index) => `e${index}` as RunnerId), startedAt: fc.integer({ min: 1, max: 3 }) })

const crash: fc.Arbitrary<CrashReport> = fc.record({
  start,
  reportedBy: fc.constantFrom('n0' as NodeId, 'n1' as NodeId),
  at: time,
  suspects: fc.integer({ min: 0, max: 3 }),
  parts: fc.uniqueArray(fc.constantFrom(...PARTS), { maxLength: 4 })
}).map(({ start, suspects, parts, ...rest }) => ({ ...start, ...rest, suspects, parts: suspects === 0 ? [] : parts }))

const sound: fc.Arbitrary<SoundAnswer> = fc.record({ part: fc.constantFrom(...PARTS, 'other'), at: time.map((at) => offset(at, 400)) })

const survival: fc.Arbitrary<ServerSurvival> = fc.record({ start, at: time.map((at) => offset(at, 800)) }).map(({ start, at }) => ({ ...start, at }))

const trial: fc.Arbitrary<Trial> =
  fc.record({ part: fc.constantFrom(...PARTS), at: time.map((at) => offset(at, 1_200)), grantedBy: fc.constant('n0' as NodeId) })

type Fact = (quarantine: Quarantine) => boolean

const fact: fc.Arbitrary<Fact> = fc.oneof(
  { weight: 4, arbitrary: crash.map((each): Fact => (quarantine) => quarantine.recordCrash(each)) },
  { weight: 3, arbitrary: sound.map((each): Fact => (quarantine) => quarantine.recordSound(each)) },
  { weight: 1, arbitrary: survival.map((each): Fact => (quarantine) => quarantine.recordSurvival(each)) },
  { weight: 1, arbitrary: trial.map((each): Fact => (quarantine) => quarantine.recordTrial(each)) }
)

const facts = fc.array(fact, { minLength: 1, maxLength: 40, size: 'max' })

const afterFacts = (all: readonly Fact[]): Quarantine => {
  const quarantine = new Quarantine()
  for (const record of all) record(quarantine)
  return quarantine
}

const verdicts = (quarantine: Quarantine) => PARTS.map((part) => quarantine.verdict([part, 'own'], END))

/** Facts and verdicts, comparable. */
const stateOf = (quarantine: Quarantine): string => {
  const shared: QuarantineFacts = quarantine.facts(END)
  const sorted = Object.values(shared).map((kind: readonly unknown[]) => kind.map((each) => JSON.stringify(each)).sort())
  return JSON.stringify([sorted, verdicts(quarantine)])
}

const holds = (property: fc.IPropertyWithHooks<unknown>, numRuns = 400): void => { fc.assert(property as fc.IRawProperty<unknown>, { seed: SEED, numRuns }) }

test('facts give the same verdicts in whatever order they arrive', (t) => {
  const orders = facts.chain((all) => fc.tuple(fc.constant(all), fc.shuffledSubarray([...all.keys()], { minLength: all.length })))
  t.notThrows(() => { holds(fc.property(orders, ([all, order]) => stateOf(afterFacts(all)) === stateOf(afterFacts(order.map((index) => all[index]!))))) })
})

test('facts that arrive again change nothing', (t) => {
  t.notThrows(() => {
    holds(fc.property(facts, (all) => {
      const quarantine = afterFacts(all)
      const before = stateOf(quarantine)
      quarantine.merge(quarantine.facts(END))
      for (const record of all) record(quarantine)
      return stateOf(quarantine) === before
    }))
  })
})

/** Each copy tells each other one what it knows, in the given order, twice: sound answers are told once the crash is known. */
const exchange = (all: ReadonlyArray<readonly Fact[]>, order: readonly number[]): string[] => {
  const copies = all.map(afterFacts)
  for (const from of [...order, ...order]) {
    for (const to of order) if (to !== from) copies[to]!.merge(copies[from]!.facts(END))
  }
  return copies.map((copy) => JSON.stringify(verdicts(copy)))
}

test('copies that tell each other their facts agree, whoever begins', (t) => {
  t.notThrows(() => {
    holds(fc.property(facts, facts, facts, (...all) => {
      const results = [...exchange(all, [0, 1, 2]), ...exchange(all, [2, 0, 1]), ...exchange(all, [1, 2, 0])]
      return new Set(results).size === 1
    }))
  })
})

test('a fresh copy that gets the facts reaches the same verdicts', (t) => {
  t.notThrows(() => {
    holds(fc.property(facts, (all) => {
      const quarantine = afterFacts(all)
      const fresh = new Quarantine()
      fresh.merge(quarantine.facts(END))
      return JSON.stringify(verdicts(fresh)) === JSON.stringify(verdicts(quarantine))
    }))
  })
})

test('a sound answer after the last crash always lifts', (t) => {
  t.notThrows(() => {
    holds(fc.property(facts, fc.constantFrom(...PARTS), (all, part) => {
      const quarantine = afterFacts(all)
      quarantine.recordSound({ part, at: END - 1 })
      return quarantine.verdict([part, 'own'], END).status === QuarantineStatus.Clear
    }))
  })
})

test('times that seem later by the time under way do not move with each exchange', (t) => {
  t.notThrows(() => {
    holds(fc.property(facts, fc.integer({ min: 1, max: 900 }), (all, delay) => {
      const [here, there] = [afterFacts(all), new Quarantine()]
      const later = <Each extends { readonly at: Millis }>(each: Each): Each => ({ ...each, at: each.at + delay })
      const tell = (from: Quarantine, to: Quarantine): void => {
        const { crashes, sounds, survivals, trials } = from.facts(END)
        to.merge({ crashes: crashes.map(later), sounds: sounds.map(later), survivals: survivals.map(later), trials: trials.map(later) })
      }
      const before = verdicts(here).map(({ status }) => status).join()
      for (let round = 0; round < 20; round++) {
        tell(here, there)
        tell(there, here)
      }
      return verdicts(here).map(({ status }) => status).join() === before
    }), 100)
  })
})

test('what is kept and told stays bounded', (t) => {
  const quarantine = new Quarantine()
  for (let index = 0; index < 3_000; index++) {
    const at = index * 10
    const server = `e${index}` as RunnerId
    quarantine.recordCrash({ server, startedAt: 1, reportedBy: 'n0' as NodeId, at, suspects: 1, parts: [`p${index % 700}`] })
    quarantine.recordSound({ part: `p${index % 500}`, at: at + 5 })
    quarantine.recordSurvival({ server, startedAt: 1, at: at + 200 * (index % 2) })
    quarantine.recordTrial({ part: `p${index}`, at, grantedBy: 'n0' as NodeId })
  }
  const { crashes, sounds, survivals, trials } = quarantine.facts(30_000)
  const { crashesKnown, crashesRefuted, factsDropped } = quarantine.counts(30_000)
  t.true(crashes.length <= 64 && sounds.length <= 256 && survivals.length <= 64 && trials.length <= 64)
  t.true(crashesKnown + crashesRefuted <= 256)
  t.true(factsDropped > 2_500)
})

test('facts expire, unless they are the evidence of a quarantine that goes on', (t) => {
  const quarantine = new Quarantine()
  const report = (at: Millis): CrashReport => ({ server: `e${at}` as RunnerId, startedAt: 1, reportedBy: 'n0' as NodeId, at, suspects: 1, parts: ['a'] })
  quarantine.recordSound({ part: 'other', at: 5_000 })
  for (const at of [0, 1_000, 500_000]) quarantine.recordCrash(report(at))
  t.is(quarantine.facts(900_000).crashes.length, 3)
  t.is(quarantine.facts(1_200_000).crashes.length, 0)
})

test('the parts that were sound longest ago are forgotten first', (t) => {
  const sounds = new SoundAnswers(3)
  for (const [index, part] of PARTS.entries()) sounds.record({ part, at: index * 1_000 })
  t.is(sounds.trim((part) => part === 'a'), 2)
  t.deepEqual(PARTS.filter((part) => sounds.find(part) !== null), ['a', 'd', 'e'])
})
