/** Starts this node's participation in the placement of models on the runners of its failure domain. */
import { assertNever, ValueScope } from '@bluebellhill/domain'
import type { RunnerId } from '@bluebellhill/domain'
import type { Configuration, KeyValueService } from '@bluebellhill/services'
import { EventKind } from '@bluebellhill/protocol'
import type { LeaseStatus } from '@bluebellhill/protocol'

import { monotonicNow } from '../clock/monotonic.js'
import { HttpEngineCommands, KeyValueLeadership, PlacedRunners, PlacementService, RecordedEngineCommands, RunnerDrains, wantedModels } from '../placement/index.js'
import type { PlacementChange } from '../placement/index.js'
import type { DispatchComponents } from './dispatch.js'
import type { FleetComponents } from './fleet.js'
import type { BaseComponents } from './baseComponents.js'

const REPORT_INTERVAL_MS = 1_000
const UNSERVED_PREFIX = 'unserved/'
/** Time after which a request for a model without a runner no longer counts as traffic. */
const UNSERVED_EXPIRY_MS = 30_000
/** Share of the prefill rate of a model's runners that its traffic may use; above it, more runners are required. */
const MAX_PREFILL_UTILISATION = 0.6

/** Interface of the placement for the other components of the node. */
export interface Placement {
  /** Placement leases that this node holds. */
  leases (): readonly LeaseStatus[]
  /** Reports a request for a model that no runner serves. */
  reportUnserved (model: string): void
}

/**
 * Starts the placement service: the node competes for the lease of its failure domain and places models while it leads.
 *
 * @param base - components that do not depend on the fleet
 * @param fleet - the node's view of the fleet
 * @param dispatch - provides the traffic of each model
 * @param keyValue - key-value service that stores the leader's lease
 * @param configuration - returns the configuration in force
 */
export const startPlacement = (base: BaseComponents, fleet: FleetComponents, dispatch: DispatchComponents, keyValue: KeyValueService, configuration: () => Configuration | null): Placement => {
  const { options, store, directory, backends, timeLine } = base
  const { membership } = fleet
  const engines = new RecordedEngineCommands(new HttpEngineCommands(directory, backends.engine), timeLine)
  const service = new PlacementService({
    node: options.node,
    failureDomain: options.failureDomain,
    startedAt: Date.now(),
    enginesCheckFencing: options.enginesCheckFencing,
    store: new KeyValueLeadership(keyValue),
    engineCommands: engines,
    membersAcceptingWork: () => membership.membersAcceptingWork(options.failureDomain),
    clock: monotonicNow
  })
  store.add(service)
  const drains = new RunnerDrains(membership)
  service.onChange((change) => applyChange(base, drains, engines, change))
  const reporter = new PlacementReporter(base, fleet, dispatch, service, configuration)
  const timer = setInterval(() => reporter.report(), REPORT_INTERVAL_MS)
  store.addCleanup(() => clearInterval(timer))
  service.start()
  return {
    leases: () => service.fencing === null ? [] : [{ lease: options.failureDomain, fencing: String(service.fencing) }],
    reportUnserved: (model) => reporter.reportUnserved(model)
  }
}

const applyChange = ({ timeLine, options }: BaseComponents, drains: RunnerDrains, engines: RecordedEngineCommands, change: PlacementChange): void => {
  switch (change.type) {
    case 'order': return engines.setReason(change.runner, change.reason)
    case 'drain': return drains.setDraining(change.runner, true)
    case 'undrain': return drains.setDraining(change.runner, false)
    case 'led':
      timeLine.record(EventKind.LeaseWon, {}, 'acquired the placement lease', { lease: options.failureDomain, fencing: String(change.fencing) })
      return
    case 'stepped_down':
      drains.endAll()
      timeLine.record(EventKind.LeaseLost, {}, change.reason, { lease: options.failureDomain, fencing: '' })
      return
    default: assertNever(change)
  }
}

/** Reports the configuration, the runners and the traffic to the placement service. */
class PlacementReporter {
  readonly #base: BaseComponents
  readonly #fleet: FleetComponents
  readonly #dispatch: DispatchComponents
  readonly #service: PlacementService
  readonly #configuration: () => Configuration | null
  readonly #placedRunners: PlacedRunners
  readonly #unservedAt = new Map<string, number>()
  #lastConfiguration: Configuration | null = null
  #reportedRunners = new Set<RunnerId>()

  constructor (base: BaseComponents, fleet: FleetComponents, dispatch: DispatchComponents, service: PlacementService, configuration: () => Configuration | null) {
    this.#base = base
    this.#fleet = fleet
    this.#dispatch = dispatch
    this.#service = service
    this.#configuration = configuration
    this.#placedRunners = new PlacedRunners(fleet.membership)
  }

  report (): void {
    const configuration = this.#configuration()
    if (configuration !== null && configuration !== this.#lastConfiguration) this.#service.wantedModelsChanged(wantedModels(configuration))
    this.#lastConfiguration = configuration
    this.#reportRunners()
    for (const model of configuration?.fleet.models ?? []) this.#service.trafficReported(model.name, this.#requiredRunners(model.name))
  }

  reportUnserved (model: string): void {
    const now = monotonicNow()
    if (now - (this.#unservedAt.get(model) ?? -Infinity) < REPORT_INTERVAL_MS) return
    this.#unservedAt.set(model, now)
    this.#fleet.membership.publish(`${UNSERVED_PREFIX}${model}`, Buffer.from(String(Date.now())), { scope: ValueScope.Fleet })
  }

  #reportRunners (): void {
    const runners = this.#placedRunners.all()
    const present = new Set(runners.map(({ runner }) => runner))
    for (const runner of runners) this.#service.runnerReported(runner)
    for (const reported of this.#reportedRunners) if (!present.has(reported)) this.#service.runnerRemoved(reported)
    this.#reportedRunners = present
  }

  /** Number of runners that the current traffic of a model in this failure domain requires. */
  #requiredRunners (model: string): number {
    const own = this.#base.options.failureDomain
    const summaries = this.#dispatch.views.states(model).filter((state) => state.failureDomain === own).flatMap((state) => state.summaries)
    const demand = summaries.flatMap((summary) => summary.demand ?? []).reduce((sum, rate) => sum + rate, 0)
    const runners = summaries.reduce((sum, summary) => sum + summary.runners, 0)
    const rate = summaries.reduce((sum, summary) => sum + summary.prefillRate, 0)
    if (runners === 0) return this.#isUnserved(model) ? 1 : 0
    return rate > 0 ? Math.ceil(demand * runners / (rate * MAX_PREFILL_UTILISATION)) : Math.min(1, Math.ceil(demand))
  }

  /** Whether any node recently reported a request for a model that no runner serves. */
  #isUnserved (model: string): boolean {
    return this.#fleet.membership.values(`${UNSERVED_PREFIX}${model}`)
      .some((value) => Date.now() - Number(Buffer.from(value.bytes).toString()) < UNSERVED_EXPIRY_MS)
  }
}
