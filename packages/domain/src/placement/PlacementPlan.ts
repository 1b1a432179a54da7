import { assertNever } from '../types.js'
import type { Millis, RunnerId } from '../types.js'
import { placeModels, currentModel, hasModel, divideRunners } from './modelPlacement.js'
import type { PlannedRunner } from './modelPlacement.js'
import { DEFAULT_LEASE_TIMINGS, DEFAULT_PLACEMENT_LIMITS, RECONCILE_PERIOD_MS } from './constants.js'
import { LeaderLease } from './LeaderLease.js'
import type { LeaseStep } from './LeaderLease.js'
import { LoadRateLimiter } from './LoadRateLimiter.js'
import { TrafficWindow } from './TrafficWindow.js'
import type { EngineCommand, LeaseTimings, LoadedModel, PlacedRunner, PlacementEffect, PlacementEvent, PlacementLimits, WantedModel } from './types.js'

/** Options of `PlacementPlan`. */
export interface PlacementOptions {
  /** Name of this process, unique at any time. */
  readonly name: string
  /** Whether every engine refuses commands with an older fencing number. */
  readonly enginesCheckFencing: boolean
  readonly lease?: Partial<LeaseTimings>
  readonly limits?: Partial<PlacementLimits>
}

interface Row {
  runner: PlacedRunner
  reportedAt: Millis
  drainingSince: Millis | null
  /** Time since which neither templates nor traffic need the runner's model; null while they do. */
  idleSince: Millis | null
  commandSentAt: Millis
  lastCommand: EngineCommand | null
}

/** Places models on the runners of one failure domain, without I/O; only the leader sends engine commands. */
export class PlacementPlan {
  private readonly lease: LeaderLease
  private readonly timings: LeaseTimings
  private readonly limits: PlacementLimits
  private readonly traffic: TrafficWindow
  private readonly loadLimiter: LoadRateLimiter
  private readonly rows = new Map<RunnerId, Row>()
  /** Null until the configuration was received; a leader without it sends no commands. */
  private wantedModels: readonly WantedModel[] | null = null
  private effects: PlacementEffect[] = []
  private nextReconcileAt: Millis = 0
  /** Number of runners whose model is being changed, in the current reconciliation. */
  private changingRunners = 0

  constructor (options: PlacementOptions) {
    this.timings = { ...DEFAULT_LEASE_TIMINGS, ...options.lease }
    this.limits = { ...DEFAULT_PLACEMENT_LIMITS, ...options.limits }
    this.lease = new LeaderLease(options.name, this.timings, !options.enginesCheckFencing)
    this.traffic = new TrafficWindow(this.limits.idleAfter)
    this.loadLimiter = new LoadRateLimiter(this.limits.weightStoreRate)
  }

  /** The fencing number while this node leads; null otherwise. */
  get fencing (): number | null {
    return this.lease.fencing
  }

  /**
   * Whether a command may be sent right now; must be checked right before each one.
   *
   * @param fencing - fencing number of the command
   * @param now - current time of the monotonic clock
   */
  maySend (fencing: number, now: Millis): boolean {
    return this.lease.fencing === fencing && this.lease.mayAct(now)
  }

  /**
   * Handles an event.
   *
   * @param event - event to handle
   * @param now - current time of the monotonic clock
   * @returns effects in the order in which they must be carried out
   */
  handle (event: PlacementEvent, now: Millis): PlacementEffect[] {
    this.effects = []
    this.apply(event, now)
    return this.effects
  }

  private apply (event: PlacementEvent, now: Millis): void {
    switch (event.type) {
      case 'ticked': return this.tick(now)
      case 'lease_granted':
        if (this.lease.granted(event.token, event.revision, event.sentAt, now)) this.effects.push({ type: 'led', fencing: event.revision })
        return
      case 'lease_renewed': return this.lease.renewed(event.token, event.sentAt)
      case 'lease_refused': return this.applyLeaseSteps(this.lease.refused(event.token, now))
      case 'lease_unanswered': return this.applyLeaseSteps(this.lease.unanswered(event.token, now))
      case 'candidacy_changed': return this.applyLeaseSteps(this.lease.setCandidate(event.isCandidate, now))
      case 'wants_changed':
        this.wantedModels = event.wantedModels
        return
      case 'traffic_reported': return this.traffic.record(event.model, event.runners, now)
      case 'runner_reported': return this.recordReport(event.runner, now)
      case 'runner_removed':
        this.rows.delete(event.runner)
        return
      case 'order_answered':
        if (event.result.kind === 'stale_fencing' && event.fencing === this.lease.fencing) this.applyLeaseSteps(this.lease.stepDown('a later leader has sent commands', now))
        return
      default: return assertNever(event)
    }
  }

  private tick (now: Millis): void {
    this.applyLeaseSteps(this.lease.tick(now))
    if (!this.lease.mayAct(now) || now < this.nextReconcileAt) return
    this.nextReconcileAt = now + RECONCILE_PERIOD_MS
    this.reconcile(now)
  }

  private applyLeaseSteps (steps: readonly LeaseStep[]): void {
    for (const step of steps) {
      if (step.type === 'acquire') this.effects.push({ type: 'acquire_lease', token: step.token, lifetime: this.timings.lifetime })
      else if (step.type === 'renew') this.effects.push({ type: 'renew_lease', token: step.token })
      else this.endTerm(step)
    }
  }

  private endTerm ({ token, wasLeader, reason }: Extract<LeaseStep, { type: 'stepped_down' }>): void {
    if (wasLeader) this.effects.push({ type: 'stepped_down', reason })
    this.effects.push({ type: 'release_lease', token })
    for (const row of this.rows.values()) this.endDraining(row)
  }

  private recordReport (runner: PlacedRunner, now: Millis): void {
    const row = this.rows.get(runner.runner)
    if (row === undefined) {
      this.rows.set(runner.runner, { runner, reportedAt: now, drainingSince: null, idleSince: null, commandSentAt: -Infinity, lastCommand: null })
      return
    }
    row.runner = runner
    row.reportedAt = now
  }

  private reconcile (now: Millis): void {
    if (this.wantedModels === null) return
    const rows = [...this.rows.values()].filter((row) => !row.runner.leaving && now - row.reportedAt <= this.limits.reportLifetime)
    const shares = divideRunners(this.wantedModels, (want) => this.traffic.peakRunners(want.model, now), rows.length)
    const placement = placeModels(shares, this.withCommandedLoads(rows, now), this.limits.rollingShare)
    this.changingRunners = rows.filter((row) => this.isChanging(row, now)).length
    for (const row of rows) {
      const wanted = placement.get(row.runner.runner)
      if (wanted !== null) row.idleSince = null
      if (wanted === undefined) this.endDraining(row)
      else if (wanted === null) this.unloadIdle(row, now)
      else this.convergeTo(row, wanted, now)
    }
  }

  // A load that was commanded counts as in progress until the engine had time to report it.
  private withCommandedLoads (rows: readonly Row[], now: Millis): PlannedRunner[] {
    return rows.map((row) => {
      const commanded = this.commandedLoad(row, now)
      const loading = commanded === null || hasModel(row.runner, commanded) ? row.runner.loading : commanded
      return { ...row.runner, loading, draining: row.drainingSince !== null }
    })
  }

  private commandedLoad (row: Row, now: Millis): LoadedModel | null {
    if (now - row.commandSentAt >= this.limits.commandRetry || row.lastCommand?.kind !== 'load') return null
    return { model: row.lastCommand.model, version: row.lastCommand.version }
  }

  private convergeTo (row: Row, wanted: WantedModel, now: Millis): void {
    if (!hasModel(row.runner, wanted)) return this.changeModel(row, wanted, now)
    this.endDraining(row)
    if (row.runner.loading !== null) return
    const missing = wanted.adapters.find((adapter) => !row.runner.adapters.includes(adapter))
    const unneeded = row.runner.adapters.find((adapter) => !wanted.adapters.includes(adapter))
    if (row.runner.role !== wanted.role) this.sendCommand(row, { kind: 'role', role: wanted.role }, 'role of the template', now)
    else if (missing !== undefined) this.sendCommand(row, { kind: 'load_adapter', adapter: missing }, 'adapter of a template', now)
    else if (unneeded !== undefined && row.runner.streams === 0) this.sendCommand(row, { kind: 'unload_adapter', adapter: unneeded }, 'no template names the adapter', now)
  }

  private changeModel (row: Row, wanted: WantedModel, now: Millis): void {
    const command: EngineCommand = { kind: 'load', model: wanted.model, version: wanted.version }
    const isNew = !this.isChanging(row, now)
    if (isNew && (this.changingRunners >= this.limits.concurrentLoads || !this.loadLimiter.mayStart(now))) return
    if (isNew) this.changingRunners += 1
    if (!this.ensureDrained(row, `model changes to ${wanted.model} ${wanted.version}`, now)) return
    if (this.sendCommand(row, command, `${wanted.model} has too few runners`, now)) this.loadLimiter.recordStart(wanted.weightBytes, now)
  }

  private isChanging (row: Row, now: Millis): boolean {
    return row.runner.loading !== null || row.drainingSince !== null || this.commandedLoad(row, now) !== null
  }

  private unloadIdle (row: Row, now: Millis): void {
    this.endDraining(row)
    if (currentModel(row.runner) === null) return
    // A new leader has no record of the traffic before its term, so it waits for the whole time for which traffic counts.
    row.idleSince ??= now
    if (now - row.idleSince < this.limits.idleAfter) return
    if (row.runner.streams === 0) this.sendCommand(row, { kind: 'unload' }, 'no template or traffic needs the model', now)
  }

  // Waits for the streams of a runner to end before its model changes.
  private ensureDrained (row: Row, reason: string, now: Millis): boolean {
    if (row.runner.loaded === null) return true
    if (row.drainingSince === null) {
      row.drainingSince = now
      this.effects.push({ type: 'drain', runner: row.runner.runner, reason })
      return false
    }
    const reported = row.reportedAt > row.drainingSince
    return (reported && row.runner.streams === 0) || now - row.drainingSince >= this.limits.drainTimeout
  }

  private endDraining (row: Row): void {
    if (row.drainingSince === null) return
    row.drainingSince = null
    this.effects.push({ type: 'undrain', runner: row.runner.runner })
  }

  private sendCommand (row: Row, command: EngineCommand, reason: string, now: Millis): boolean {
    const { fencing } = this.lease
    const isRepeated = row.lastCommand !== null && isSameCommand(row.lastCommand, command)
    if (fencing === null || (isRepeated && now - row.commandSentAt < this.limits.commandRetry)) return false
    row.lastCommand = command
    row.commandSentAt = now
    this.effects.push({ type: 'order', runner: row.runner.runner, fencing, command, reason })
    return true
  }
}

const isSameCommand = (a: EngineCommand, b: EngineCommand): boolean => JSON.stringify(a) === JSON.stringify(b)
