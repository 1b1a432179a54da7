/** Benchmark of the placement plan at its leader: `node dist/bench/placement.js [--sizes 23,600] [--json FILE]`; a size is the number of runners of one failure domain. */
import { writeFileSync } from 'node:fs'
import { parseArgs } from 'node:util'

import { PlacementPlan } from '@bluebellhill/domain'
import type { LoadedModel, PlacedRunner, PlacementEffect, RunnerId, WantedModel } from '@bluebellhill/domain'

const MODELS = 8
const TICK_PERIOD_MS = 200
const REPORT_PERIOD_MS = 1_000
const MEASURED_MS = 30_000
const MAX_CORE_SHARE = 0.017

const createWantedModels = (runners: number): WantedModel[] => Array.from({ length: MODELS }, (_, index) => ({
  model: `model-${index}`,
  version: 'v1',
  adapters: [],
  role: 'mixed',
  warmCopies: Math.floor(runners / MODELS),
  urgency: index,
  weightBytes: 1
}))

interface Engine {
  readonly runner: RunnerId
  loaded: LoadedModel | null
}

const reportOf = ({ runner, loaded }: Engine): PlacedRunner => ({ runner, loaded, loading: null, adapters: [], role: 'mixed', streams: 0, leaving: false })

const measure = (runners: number): object => {
  const plan = new PlacementPlan({ name: 'bench', enginesCheckFencing: true, limits: { concurrentLoads: runners, weightStoreRate: 1e12 } })
  const engines: Engine[] = Array.from({ length: runners }, (_, index) => ({ runner: `runner-${index}` as RunnerId, loaded: null }))
  const enginesById = new Map(engines.map((engine) => [engine.runner, engine]))
  let engineCommands = 0
  let leaseCalls = 0
  const applyEffects = (effects: readonly PlacementEffect[], now: number): void => {
    for (const effect of effects) {
      if (effect.type === 'acquire_lease' || effect.type === 'renew_lease') leaseCalls += 1
      if (effect.type === 'acquire_lease') plan.handle({ type: 'lease_granted', token: effect.token, revision: 1, sentAt: now }, now)
      if (effect.type === 'renew_lease') plan.handle({ type: 'lease_renewed', token: effect.token, sentAt: now }, now)
      const engine = effect.type === 'order' ? enginesById.get(effect.runner) : undefined
      if (effect.type !== 'order' || engine === undefined) continue
      engineCommands += 1
      if (effect.command.kind === 'load') engine.loaded = { model: effect.command.model, version: effect.command.version }
    }
  }
  const run = (from: number, to: number): number => {
    const start = process.cpuUsage()
    for (let now = from; now < to; now += TICK_PERIOD_MS) {
      if (now % REPORT_PERIOD_MS === 0) for (const engine of engines) plan.handle({ type: 'runner_reported', runner: reportOf(engine) }, now)
      applyEffects(plan.handle({ type: 'ticked' }, now), now)
    }
    const { user, system } = process.cpuUsage(start)
    return (user + system) / 1_000
  }
  plan.handle({ type: 'candidacy_changed', isCandidate: true }, 0)
  plan.handle({ type: 'wants_changed', wantedModels: createWantedModels(runners) }, 0)
  const placingMs = run(0, 10_000)
  const placed = engines.filter(({ loaded }) => loaded !== null).length
  const ordersToPlace = engineCommands
  leaseCalls = 0
  const settledMs = run(10_000, 10_000 + MEASURED_MS)
  return { runners, placed, ordersToPlace, ordersWhenSettled: engineCommands - ordersToPlace, placingCpuMs: placingMs, settledCoreShare: settledMs / MEASURED_MS, leaseCallsPerSecond: leaseCalls / (MEASURED_MS / 1_000) }
}

const { values } = parseArgs({ options: { sizes: { type: 'string', default: '23,120,600,1200,6000' }, json: { type: 'string' } } })
const text = JSON.stringify({ bench: 'placement', boundCoreShare: MAX_CORE_SHARE, sizes: values.sizes.split(',').map(Number).map(measure) }, null, 2)
if (values.json !== undefined) writeFileSync(values.json, text)
console.log(text)
