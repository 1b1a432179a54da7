/** Starts and stops dispatching for runners, so that this node serves exactly the runners that the ownership rule assigns to it. */
import type { FailureDomain, Millis, RunnerId, RunnerReport } from '@bluebellhill/domain'
import { EventKind, RunnerState } from '@bluebellhill/protocol'

import { monotonicNow } from '../clock/monotonic.js'
import type { PlacedState } from '../placement/index.js'
import type { TimeLine } from '../timeline/index.js'
import type { DispatcherHost } from './DispatcherHost.js'
import type { Monitor, MonitorListener } from './Monitor.js'
import type { Backend, RunnerDirectory } from './RunnerDirectory.js'

/** Decides whether this node dispatches for a runner. */
export abstract class OwnershipRule {
  /** @returns whether the runner is currently assigned to this node */
  abstract isOwn (runner: RunnerId): boolean
}

/** Publishes the placement state that owned engines report. */
export interface PlacementPublisher {
  publish (runner: RunnerId, state: PlacedState, leaving: boolean): void
  retract (runner: RunnerId): void
}

/** Creates the monitor for the kind of a backend server. */
export abstract class MonitorFactory {
  abstract create (backend: Backend, listener: MonitorListener): Monitor
}

/** Last observed state of a runner that this node dispatches for. */
export interface OwnedRunnerStatus {
  readonly backend: Backend
  readonly report: RunnerReport | null
  readonly reportedAt: Millis | null
  readonly unreachable: boolean
}

interface OwnedRunner {
  readonly backend: Backend
  readonly monitor: Monitor
  leaving: boolean
  draining: boolean
  report: RunnerReport | null
  reportedAt: Millis | null
  unreachable: boolean
  /** State last recorded in the time line. */
  state: RunnerState | null
}

/** Adds and removes runners of this node's dispatcher as the members of the failure domain and the backend servers change. */
export class RunnerOwnership {
  readonly #failureDomain: FailureDomain
  readonly #directory: RunnerDirectory
  readonly #rule: OwnershipRule
  readonly #monitorFactory: MonitorFactory
  readonly #dispatcher: DispatcherHost
  readonly #timeLine: TimeLine
  readonly #placementPublisher: PlacementPublisher
  readonly #owned = new Map<RunnerId, OwnedRunner>()

  constructor (failureDomain: FailureDomain, directory: RunnerDirectory, rule: OwnershipRule, monitorFactory: MonitorFactory, dispatcher: DispatcherHost, timeLine: TimeLine, placementPublisher: PlacementPublisher) {
    this.#failureDomain = failureDomain
    this.#directory = directory
    this.#rule = rule
    this.#monitorFactory = monitorFactory
    this.#dispatcher = dispatcher
    this.#timeLine = timeLine
    this.#placementPublisher = placementPublisher
  }

  /** Lists the runners that this node dispatches for with their last observed states. */
  statuses (): readonly OwnedRunnerStatus[] {
    return [...this.#owned.values()].map((owned) => ({ ...owned, backend: this.#directory.find(owned.backend.id) ?? owned.backend }))
  }

  /**
   * Adds the runners that this node should own and removes all others. Called after each change of members or backend servers.
   *
   * @param draining - runners that get no new requests until their model is changed
   */
  reconcile (draining: ReadonlySet<RunnerId>): void {
    const wanted = new Map(this.#directory.all()
      .filter((backend) => backend.failureDomain === this.#failureDomain && this.#rule.isOwn(backend.id))
      .map((backend) => [backend.id, backend]))
    for (const [id, owned] of this.#owned) {
      const backend = wanted.get(id)
      if (backend === undefined || backend.address !== owned.backend.address) this.#removeOwned(id)
    }
    for (const backend of wanted.values()) this.#ensureOwned(backend)
    for (const [id, owned] of this.#owned) this.#setDraining(id, owned, draining.has(id))
  }

  dispose (): void {
    for (const id of [...this.#owned.keys()]) this.#removeOwned(id)
  }

  #ensureOwned (backend: Backend): void {
    const owned = this.#owned.get(backend.id) ?? this.#addOwned(backend)
    if (!backend.leaving || owned.leaving) return
    owned.leaving = true
    this.#recordStateChange(owned, 'the VM list or a peer announced that it is leaving')
    this.#dispatcher.post({ type: 'runner_leaving', runner: backend.id })
  }

  #addOwned (backend: Backend): OwnedRunner {
    const runner = backend.id
    const monitor = this.#monitorFactory.create(backend, {
      reported: (report) => this.#reportReceived(runner, report),
      placementReported: (state) => this.#placementPublisher.publish(runner, state, this.#directory.find(runner)?.leaving ?? true),
      cacheChanged: (gap, events) => this.#dispatcher.post({ type: 'cache_changed', runner, gap, events }),
      unreachable: (reason) => this.#markUnreachable(runner, reason)
    })
    const owned: OwnedRunner = { backend, monitor, leaving: false, draining: false, report: null, reportedAt: null, unreachable: false, state: null }
    this.#owned.set(runner, owned)
    this.#timeLine.record(EventKind.RunnerTakenOver, { runner }, 'owner by rendezvous among the live members', { previous: null })
    this.#dispatcher.post({ type: 'runner_assigned', runner, failureDomain: backend.failureDomain })
    monitor.start()
    return owned
  }

  #setDraining (runner: RunnerId, owned: OwnedRunner, draining: boolean): void {
    if (owned.draining === draining) return
    owned.draining = draining
    this.#dispatcher.post({ type: 'runner_draining', runner, draining })
  }

  #reportReceived (runner: RunnerId, report: RunnerReport): void {
    const owned = this.#owned.get(runner)
    if (owned === undefined) return
    owned.report = report
    owned.reportedAt = monotonicNow()
    owned.unreachable = false
    this.#recordStateChange(owned, 'status report')
    this.#dispatcher.post({ type: 'runner_reported', runner, report })
  }

  #markUnreachable (runner: RunnerId, reason: string): void {
    const owned = this.#owned.get(runner)
    if (owned === undefined) return
    owned.unreachable = true
    this.#recordStateChange(owned, reason)
    this.#dispatcher.post({ type: 'runner_unreachable', runner })
  }

  #recordStateChange (owned: OwnedRunner, reason: string): void {
    const state = stateOf(owned)
    if (state === owned.state) return
    this.#timeLine.record(EventKind.RunnerChanged, { runner: owned.backend.id }, reason, { from: owned.state, to: state })
    owned.state = state
  }

  #removeOwned (runner: RunnerId): void {
    this.#owned.get(runner)?.monitor.dispose()
    this.#owned.delete(runner)
    this.#placementPublisher.retract(runner)
    this.#dispatcher.post({ type: 'runner_removed', runner })
  }
}

const stateOf = ({ leaving, unreachable, report }: OwnedRunner): RunnerState => {
  if (unreachable) return RunnerState.Unreachable
  if (leaving) return RunnerState.Leaving
  return report?.loading === true ? RunnerState.Loading : RunnerState.Ready
}
