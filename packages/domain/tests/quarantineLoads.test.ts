import test from 'ava'
import type { ExecutionContext } from 'ava'

import type { Millis, PromptPart } from '../src/index.js'
import { QuarantineFleet } from './quarantineFleet.js'
import type { FleetLoad } from './quarantineFleet.js'

const SEEDS = [1, 2, 3, 4, 5]
const CONTACT: Millis = 3_000
const BUDGET_WINDOW: Millis = 60_000
const MAX_GUILTY_ARRIVALS = 3
const USUAL_SHARE = 0.9
const GUILTY_SHARE = 0.05

type Parts = readonly PromptPart[]

const pick = (random: () => number, name: string, count: number): PromptPart => `${name}${Math.floor(random() * count)}`

/** Three first parts, twenty in the middle and two hundred sessions; the last part is the request's own. */
const soundParts = (random: () => number, index: number): Parts =>
  [pick(random, 'first', 3), pick(random, 'middle', 20), pick(random, 'session', 200), `own${index}`]

/** Sound requests, and a share of those that the given function returns. */
const withGuilty = (guiltyParts: (random: () => number, index: number) => Parts, share = GUILTY_SHARE) =>
  (random: () => number, index: number): Parts => random() < share ? guiltyParts(random, index) : soundParts(random, index)

const GUILTY_FIRST = withGuilty((random, index) => ['guilty', ...soundParts(random, index).slice(1)])

const LOAD: FleetLoad = {
  seed: 0,
  until: 140_000,
  nodes: 6,
  engines: 12,
  slots: 12,
  rate: 30,
  prefill: [100, 500],
  answer: [200, 2_500],
  partsOf: GUILTY_FIRST,
  isGuilty: (part) => part.startsWith('guilty'),
  isCounted: (parts) => !parts.some((part) => part.startsWith('guilty')),
  isCut: () => false,
  breakOffShare: () => 0,
  disturbances: []
}

const countBetween = (times: readonly Millis[], from: Millis, to: Millis): number => times.filter((at) => at >= from && at < to).length

/** After the fifth crash few guilty requests reach engines, and sound requests are served as they would be without guilty ones. */
const assertContained = (t: ExecutionContext, change: Partial<FleetLoad>, seeds: readonly number[] = SEEDS): void => {
  for (const seed of seeds) {
    const load = { ...LOAD, ...change, seed }
    const fleet = new QuarantineFleet(load).run()
    const usual = new QuarantineFleet({ ...load, isGuilty: () => false }).run()
    const fifth = fleet.crashes[4] ?? fleet.crashes.at(-1) ?? 0
    const reached = countBetween(fleet.guiltyArrivals, fifth + CONTACT, fifth + CONTACT + BUDGET_WINDOW)
    const [from, to] = [fifth + 2 * CONTACT, load.until - 10_000]
    const share = countBetween(fleet.served, from, to) / countBetween(usual.served, from, to)
    const label = `seed ${seed}: ${fleet.crashes.length} crashes, fifth at ${Math.round(fifth)}, ${reached} reached, sound share ${share.toFixed(3)}, refused ${fleet.refused.length}`
    t.log(label, JSON.stringify([...fleet.falseQuarantines].filter(([, time]) => time > 0)))
    t.true(reached <= MAX_GUILTY_ARRIVALS, label)
    t.true(share >= USUAL_SHARE, label)
  }
}

test('guilty part first', (t) => {
  assertContained(t, {})
})

test('guilty part in the middle', (t) => {
  assertContained(t, { partsOf: withGuilty((random, index) => [pick(random, 'first', 3), 'guilty', pick(random, 'session', 200), `own${index}`]) })
})

test('guilty part whose other parts a sound majority shares', (t) => {
  assertContained(t, { partsOf: withGuilty((_, index) => ['first0', 'middle0', 'guilty', 'session0', `own${index}`]) })
})

test('two guilty parts at once', (t) => {
  assertContained(t, { partsOf: withGuilty((random, index) => [pick(random, 'first', 3), pick(random, 'guilty', 2), `own${index}`]) })
})
