/** Loads of the simulated fleet, and what they have in common. */
import type { ExecutionContext } from 'ava'

import type { Millis, PromptPart } from '../src/index.js'
import { QuarantineFleet } from './quarantineFleet.js'
import type { FleetLoad } from './quarantineFleet.js'

export const SEEDS = [1, 2, 3]
const CONTACT: Millis = 3_000
/** Longer than any request takes. */
export const LONGEST_REQUEST: Millis = 10_000
const BUDGET_WINDOW: Millis = 60_000
const MAX_HARMFUL_ARRIVALS = 3
export const USUAL_SHARE = 0.9
const HARMFUL_SHARE = 0.05

export type Parts = readonly PromptPart[]

export const pick = (random: () => number, name: string, count: number): PromptPart => `${name}${Math.floor(random() * count)}`

/** Three first parts, twenty in the middle and two hundred sessions; the last part is the request's own. */
export const soundParts = (random: () => number, index: number): Parts =>
  [pick(random, 'first', 3), pick(random, 'middle', 20), pick(random, 'session', 200), `own${index}`]

/** Sound requests, and a share of those that the given function returns. */
export const withHarmful = (harmfulParts: (random: () => number, index: number) => Parts, share = HARMFUL_SHARE) =>
  (random: () => number, index: number): Parts => random() < share ? harmfulParts(random, index) : soundParts(random, index)

const HARMFUL_FIRST = withHarmful((random, index) => ['harmful', ...soundParts(random, index).slice(1)])

export const LOAD: FleetLoad = {
  seed: 0,
  until: 210_000,
  observed: 2 * CONTACT + BUDGET_WINDOW,
  nodes: 6,
  engines: 12,
  slots: 12,
  rate: 30,
  prefill: [100, 500],
  answer: [200, 2_500],
  partsOf: HARMFUL_FIRST,
  repetitions: [],
  isHarmful: (part) => part.startsWith('harmful'),
  isCounted: (parts) => !parts.some((part) => part.startsWith('harmful')),
  isCut: () => false,
  breakOffShare: () => 0,
  faults: []
}

export const countBetween = (times: readonly Millis[], from: Millis, to: Millis): number => times.filter((at) => at >= from && at < to).length

/** After the fifth crash few harmful requests reach engines, and counted requests are served. */
export const assertContained = (t: ExecutionContext, change: Partial<FleetLoad>, maxFalseQuarantine: Millis = Infinity, seeds: readonly number[] = SEEDS): void => {
  for (const seed of seeds) {
    const fleet = new QuarantineFleet({ ...LOAD, ...change, seed }).run()
    const fifth = fleet.crashes[4] ?? fleet.crashes.at(-1) ?? 0
    const reached = countBetween(fleet.harmfulArrivals, fifth + CONTACT, fifth + CONTACT + BUDGET_WINDOW)
    const share = servedShare(fleet, fifth + 2 * CONTACT)
    const falsely = longestFalseQuarantine(fleet)
    t.log(`seed ${seed}: ${fleet.crashes.length} crashes, fifth at ${Math.round(fifth)}, then ${reached} reached, served ${share.toFixed(3)}, refused ${fleet.refused.length}, ${falsely}`)
    t.true(reached <= MAX_HARMFUL_ARRIVALS, `seed ${seed}: ${reached} harmful requests reached engines`)
    t.true(share >= USUAL_SHARE, `seed ${seed}: ${share} of the other requests served`)
    t.true(longestTime(fleet) <= maxFalseQuarantine, `seed ${seed}: quarantined ${falsely}`)
  }
}

/** Share of the counted requests from a time on that were answered, but for the last ones, which may still run. */
export const servedShare = (fleet: QuarantineFleet, from: Millis): number =>
  countBetween(fleet.served, from, fleet.now - LONGEST_REQUEST) / countBetween(fleet.arrived, from, fleet.now - LONGEST_REQUEST)

const longestTime = ({ falseQuarantines }: QuarantineFleet): Millis => Math.max(0, ...falseQuarantines.values())

export const longestFalseQuarantine = (fleet: QuarantineFleet): string => {
  const [part, time] = [...fleet.falseQuarantines].sort(([, a], [, b]) => b - a)[0] ?? ['nothing', 0]
  return `${part} for ${Math.round(time)} ms`
}

/** Ends all engines of one of three failure domains. */
export const losePower = (at: Millis, domain = 0) =>
  ({ at, run: (fleet: QuarantineFleet) => { for (const engine of fleet.engines) if (engine.index % 3 === domain) fleet.crash(engine) } })
