/** Which runner should hold which model: a function of what is wanted and what the runners hold now. */
import type { RunnerId } from '../types.js'
import type { LoadedModel, PlacedRunner, WantedModel } from './types.js'

/** A wanted model with the number of runners that it should have. */
export interface ModelShare {
  readonly want: WantedModel
  readonly copies: number
}

/** A runner with what the leader is doing to it. */
export interface PlannedRunner extends PlacedRunner {
  /** Gets no new work because its model is to change. */
  readonly draining: boolean
}

/** The wanted model of a runner; null where it should hold none. */
export type Assignments = ReadonlyMap<RunnerId, WantedModel | null>

/** What a runner holds or will hold when its load is done. */
export const heldBy = (runner: PlacedRunner): LoadedModel | null => runner.loading ?? runner.loaded

/** Whether the runner holds the model in the wanted version, or is loading it. */
export const holds = (runner: PlacedRunner, want: LoadedModel): boolean => {
  const held = heldBy(runner)
  return held !== null && held.model === want.model && held.version === want.version
}

/**
 * Shares the runners out: a warm copy for each first, then more by urgency, one at a time.
 *
 * @param wants - wanted models
 * @param needed - runners that each one's traffic needs
 * @param runners - number of runners
 */
export const shareOut = (wants: readonly WantedModel[], needed: (want: WantedModel) => number, runners: number): ModelShare[] => {
  const ordered = [...wants].sort((a, b) => a.urgency - b.urgency || (a.model < b.model ? -1 : 1))
  const targets = ordered.map((want) => Math.max(want.warmCopies, Math.ceil(needed(want))))
  const copies = ordered.map(() => 0)
  let left = runners
  let isProgress = true
  while (left > 0 && isProgress) {
    isProgress = false
    targets.forEach((target, index) => {
      if (left === 0 || (copies[index] ?? 0) >= target) return
      copies[index] = (copies[index] ?? 0) + 1
      left -= 1
      isProgress = true
    })
  }
  return ordered.map((want, index) => ({ want, copies: copies[index] ?? 0 }))
}

const byName = (a: PlacedRunner, b: PlacedRunner): number => a.runner < b.runner ? -1 : 1

const keepFirst = (want: WantedModel) => (a: PlacedRunner, b: PlacedRunner): number =>
  Number(b.loaded?.version === want.version) - Number(a.loaded?.version === want.version) || b.streams - a.streams || byName(a, b)

// The cheapest to change first: drained already, then empty, then without streams, then with few.
const giveFirst = (a: PlannedRunner, b: PlannedRunner): number =>
  Number(b.draining) - Number(a.draining) || Number(a.loaded !== null) - Number(b.loaded !== null) || a.streams - b.streams || byName(a, b)

/**
 * Assigns models to runners with as few changes as possible.
 *
 * Runners that hold a wanted model keep it up to the model's share. Shortages are filled from runners
 * that hold nothing or nothing wanted, then from runners above their model's share. Runners with
 * another version of the wanted model change only while no more than a share of them is out of service.
 *
 * @param shares - wanted models with their numbers of runners
 * @param runners - runners that may get orders
 * @param rollingShare - share of a model's runners that may be out of service at once
 */
export const assign = (shares: readonly ModelShare[], runners: readonly PlannedRunner[], rollingShare: number): Assignments => {
  const assigned = new Map<RunnerId, WantedModel | null>()
  for (const { want, copies } of shares) {
    const holders = runners.filter((runner) => holds(runner, want)).sort(keepFirst(want))
    for (const runner of holders.slice(0, copies)) assigned.set(runner.runner, want)
  }
  const spare = runners.filter(({ runner }) => !assigned.has(runner)).sort(giveFirst)
  for (const share of shares) {
    const loading = runners.filter((runner) => runner.loading?.model === share.want.model).length
    const rolling = Math.max(0, Math.max(1, Math.floor(share.copies * rollingShare)) - loading)
    fillShare(share, spare, assigned, rolling)
  }
  for (const { runner } of spare) {
    if (!assigned.has(runner)) assigned.set(runner, null)
  }
  return withoutNeedlessUnloads(assigned, shares, runners)
}

const fillShare = ({ want, copies }: ModelShare, spare: readonly PlannedRunner[], assigned: Map<RunnerId, WantedModel | null>, rolling: number): void => {
  const isFree = ({ runner }: PlacedRunner): boolean => !assigned.has(runner)
  const isOldVersion = (runner: PlacedRunner): boolean => heldBy(runner)?.model === want.model
  const has = [...assigned.values()].filter((other) => other === want).length
  const others = spare.filter((runner) => isFree(runner) && !isOldVersion(runner))
  const old = spare.filter((runner) => isFree(runner) && isOldVersion(runner)).slice(0, rolling)
  for (const runner of [...others, ...old].slice(0, Math.max(0, copies - has))) assigned.set(runner.runner, want)
}

// An old version goes on serving until the new one has its share.
const withoutNeedlessUnloads = (assigned: ReadonlyMap<RunnerId, WantedModel | null>, shares: readonly ModelShare[], runners: readonly PlacedRunner[]): Assignments => {
  const result = new Map(assigned)
  for (const { want, copies } of shares) {
    const serving = runners.filter((runner) => runner.loading === null && holds(runner, want)).length
    if (serving >= copies) continue
    for (const runner of runners) {
      if (heldBy(runner)?.model === want.model && result.get(runner.runner) === null) result.delete(runner.runner)
    }
  }
  return result
}
