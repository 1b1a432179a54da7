/** Computes which model each runner should have, from the wanted models and the models that the runners have now. */
import type { RunnerId } from '../types.js'
import type { LoadedModel, PlacedRunner, WantedModel } from './types.js'

/** A wanted model with the number of runners that should have it. */
export interface ModelShare {
  readonly want: WantedModel
  readonly copies: number
}

/** A runner, and whether the leader drains it. */
export interface PlannedRunner extends PlacedRunner {
  /** Whether the runner receives no new work because its model is about to change. */
  readonly draining: boolean
}

/** Wanted model of each runner; null for a runner that should have none. A runner that should stay as it is has no entry. */
export type ModelPlacement = ReadonlyMap<RunnerId, WantedModel | null>

/** Model that a runner has, or will have once its load is finished. */
export const currentModel = (runner: PlacedRunner): LoadedModel | null => runner.loading ?? runner.loaded

/** Whether the runner has the model in the wanted version, or is loading it. */
export const hasModel = (runner: PlacedRunner, wanted: LoadedModel): boolean => {
  const current = currentModel(runner)
  return current !== null && current.model === wanted.model && current.version === wanted.version
}

/**
 * Divides the runners among the wanted models: in order of urgency, each model gets one more runner at a time until it has
 * its warm copies or the runners that its traffic needs, whichever is more, or until no runner remains.
 *
 * @param wantedModels - wanted models
 * @param needed - returns the number of runners that the traffic of a model needs
 * @param runners - number of runners
 */
export const divideRunners = (wantedModels: readonly WantedModel[], needed: (want: WantedModel) => number, runners: number): ModelShare[] => {
  const ordered = [...wantedModels].sort((a, b) => a.urgency - b.urgency || (a.model < b.model ? -1 : 1))
  const targets = ordered.map((want) => Math.max(want.warmCopies, Math.ceil(needed(want))))
  const copies = ordered.map(() => 0)
  let remaining = runners
  let hasProgress = true
  while (remaining > 0 && hasProgress) {
    hasProgress = false
    targets.forEach((target, index) => {
      if (remaining === 0 || (copies[index] ?? 0) >= target) return
      copies[index] = (copies[index] ?? 0) + 1
      remaining -= 1
      hasProgress = true
    })
  }
  return ordered.map((want, index) => ({ want, copies: copies[index] ?? 0 }))
}

const compareByName = (a: PlacedRunner, b: PlacedRunner): number => a.runner < b.runner ? -1 : 1

const compareForKeeping = (wanted: WantedModel) => (a: PlacedRunner, b: PlacedRunner): number =>
  Number(b.loaded?.version === wanted.version) - Number(a.loaded?.version === wanted.version) || b.streams - a.streams || compareByName(a, b)

// Sorts runners by the cost of changing them: first drained ones, then those without a model, then those with the fewest streams.
const compareForChange = (a: PlannedRunner, b: PlannedRunner): number =>
  Number(b.draining) - Number(a.draining) || Number(a.loaded !== null) - Number(b.loaded !== null) || a.streams - b.streams || compareByName(a, b)

/**
 * Decides which model each runner should have, with as few changes as possible.
 *
 * Runners that have a wanted model keep it up to the model's share. Shortages are filled from runners without a model or
 * with an unwanted one, then from runners above their model's share. Runners with another version of the wanted model change
 * only while no more than a fraction of them is out of service.
 *
 * @param shares - wanted models with the number of runners for each
 * @param runners - runners that may receive commands
 * @param rollingShare - fraction of a model's runners that may be out of service at once
 */
export const placeModels = (shares: readonly ModelShare[], runners: readonly PlannedRunner[], rollingShare: number): ModelPlacement => {
  const placement = new Map<RunnerId, WantedModel | null>()
  for (const { want, copies } of shares) {
    const matching = runners.filter((runner) => hasModel(runner, want)).sort(compareForKeeping(want))
    for (const runner of matching.slice(0, copies)) placement.set(runner.runner, want)
  }
  const spare = runners.filter(({ runner }) => !placement.has(runner)).sort(compareForChange)
  for (const share of shares) {
    const loading = runners.filter((runner) => runner.loading?.model === share.want.model).length
    const maxRolling = Math.max(0, Math.max(1, Math.floor(share.copies * rollingShare)) - loading)
    fillShare(share, spare, placement, maxRolling)
  }
  for (const { runner } of spare) {
    if (!placement.has(runner)) placement.set(runner, null)
  }
  return withoutPrematureUnloads(placement, shares, runners)
}

const fillShare = ({ want, copies }: ModelShare, spare: readonly PlannedRunner[], placement: Map<RunnerId, WantedModel | null>, maxRolling: number): void => {
  const isUnplaced = ({ runner }: PlacedRunner): boolean => !placement.has(runner)
  const isOldVersion = (runner: PlacedRunner): boolean => currentModel(runner)?.model === want.model
  const placed = [...placement.values()].filter((other) => other === want).length
  const others = spare.filter((runner) => isUnplaced(runner) && !isOldVersion(runner))
  const outdated = spare.filter((runner) => isUnplaced(runner) && isOldVersion(runner)).slice(0, maxRolling)
  for (const runner of [...others, ...outdated].slice(0, Math.max(0, copies - placed))) placement.set(runner.runner, want)
}

// Runners with an old version keep serving until enough runners serve the new one.
const withoutPrematureUnloads = (placement: ReadonlyMap<RunnerId, WantedModel | null>, shares: readonly ModelShare[], runners: readonly PlacedRunner[]): ModelPlacement => {
  const result = new Map(placement)
  for (const { want, copies } of shares) {
    const serving = runners.filter((runner) => runner.loading === null && hasModel(runner, want)).length
    if (serving >= copies) continue
    for (const runner of runners) {
      if (currentModel(runner)?.model === want.model && result.get(runner.runner) === null) result.delete(runner.runner)
    }
  }
  return result
}
