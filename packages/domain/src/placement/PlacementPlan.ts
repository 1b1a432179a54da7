import { assertNever } from '../types.js'
import type { Millis, RunnerId } from '../types.js'
import { assign, heldBy, holds, shareOut } from './assignments.js'
import type { PlannedRunner } from './assignments.js'
import { DEFAULT_LEASE_TIMINGS, DEFAULT_PLACEMENT_LIMITS, RECONCILE_PERIOD } from './constants.js'
import { LeaderLease } from './LeaderLease.js'
import type { LeaseStep } from './LeaderLease.js'
import { LoadPace } from './LoadPace.js'
import { TrafficWindow } from './TrafficWindow.js'
import type { EngineOrder, LeaseTimings, LoadedModel, PlacedRunner, PlacementEffect, PlacementEvent, PlacementLimits, WantedModel } from './types.js'

/** Options of a failure domain's placement at one node. */
export interface PlacementOptions {
  /** Name of this process, unique at any time. */
  readonly name: string
  /** Whether every engine refuses orders with an older fencing number. */
  readonly enginesCheckFencing: boolean
  readonly lease?: Partial<LeaseTimings>
  readonly limits?: Partial<PlacementLimits>
}

interface Row {
  runner: PlacedRunner
  reportedAt: Millis
  drainingSince: Millis | null
  /** Since when no template or traffic was seen to need its model; null while one does. */
  idleSince: Millis | null
  orderedAt: Millis
  lastOrder: EngineOrder | null
}

/** Sans-I/O placement of models on the runners of one failure domain; only the leader gives orders. */
export class PlacementPlan {
  private readonly lease: LeaderLease
  private readonly timings: LeaseTimings
  private readonly limits: PlacementLimits
  private readonly traffic: TrafficWindow
  private readonly pace: LoadPace
  private readonly rows = new Map<RunnerId, Row>()
  /** Null until the configuration was heard of; a leader that knows no wants gives no orders. */
  private wants: readonly WantedModel[] | null = null
  private effects: PlacementEffect[] = []
  private nextReconcile: Millis = 0
  /** Runners whose model is being changed, in the present comparison. */
  private changing = 0

  constructor (options: PlacementOptions) {
    this.timings = { ...DEFAULT_LEASE_TIMINGS, ...options.lease }
    this.limits = { ...DEFAULT_PLACEMENT_LIMITS, ...options.limits }
    this.lease = new LeaderLease(options.name, this.timings, !options.enginesCheckFencing)
    this.traffic = new TrafficWindow(this.limits.idleAfter)
    this.pace = new LoadPace(this.limits.weightStoreRate)
  }

  /** The fencing number while this node leads; null otherwise. */
  get fencing (): number | null {
    return this.lease.fencing
  }

  /**
   * Whether an order may leave right now; to be asked right before each one.
   *
   * @param fencing - number that the order carries
   * @param now - reading of the monotonic clock
   */
  mayOrder (fencing: number, now: Millis): boolean {
    return this.lease.fencing === fencing && this.lease.mayAct(now)
  }

  /**
   * Takes an event in.
   *
   * @param event - what happened
   * @param now - reading of the monotonic clock
   * @returns effects in the order in which they are to be carried out
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
      case 'lease_refused': return this.follow(this.lease.refused(event.token, now))
      case 'lease_unanswered': return this.follow(this.lease.unanswered(event.token, now))
      case 'candidacy_changed': return this.follow(this.lease.setCandidate(event.isCandidate, now))
      case 'wants_changed':
        this.wants = event.wants
        return
      case 'traffic_reported': return this.traffic.report(event.model, event.runners, now)
      case 'runner_reported': return this.report(event.runner, now)
      case 'runner_removed':
        this.rows.delete(event.runner)
        return
      case 'order_answered':
        if (event.result.kind === 'stale_fencing' && event.fencing === this.lease.fencing) this.follow(this.lease.stepDown('a later leader has given orders', now))
        return
      default: return assertNever(event)
    }
  }

  private tick (now: Millis): void {
    this.follow(this.lease.tick(now))
    if (!this.lease.mayAct(now) || now < this.nextReconcile) return
    this.nextReconcile = now + RECONCILE_PERIOD
    this.reconcile(now)
  }

  private follow (steps: readonly LeaseStep[]): void {
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

  private report (runner: PlacedRunner, now: Millis): void {
    const row = this.rows.get(runner.runner)
    if (row === undefined) {
      this.rows.set(runner.runner, { runner, reportedAt: now, drainingSince: null, idleSince: null, orderedAt: -Infinity, lastOrder: null })
      return
    }
    row.runner = runner
    row.reportedAt = now
  }

  private reconcile (now: Millis): void {
    if (this.wants === null) return
    const rows = [...this.rows.values()].filter((row) => !row.runner.leaving && now - row.reportedAt <= this.limits.reportLifetime)
    const shares = shareOut(this.wants, (want) => this.traffic.needed(want.model, now), rows.length)
    const assignments = assign(shares, this.withIntentions(rows, now), this.limits.rollingShare)
    this.changing = rows.filter((row) => this.isChanging(row, now)).length
    for (const row of rows) {
      const want = assignments.get(row.runner.runner)
      if (want !== null) row.idleSince = null
      if (want === undefined) this.endDraining(row)
      else if (want === null) this.empty(row, now)
      else this.bring(row, want, now)
    }
  }

  // A load that was ordered counts as under way until the engine had time to report it.
  private withIntentions (rows: readonly Row[], now: Millis): PlannedRunner[] {
    return rows.map((row) => {
      const ordered = this.underWay(row, now)
      const loading = ordered === null || holds(row.runner, ordered) ? row.runner.loading : ordered
      return { ...row.runner, loading, draining: row.drainingSince !== null }
    })
  }

  private underWay (row: Row, now: Millis): LoadedModel | null {
    if (now - row.orderedAt >= this.limits.orderRetry || row.lastOrder?.kind !== 'load') return null
    return { model: row.lastOrder.model, version: row.lastOrder.version }
  }

  private bring (row: Row, want: WantedModel, now: Millis): void {
    if (!holds(row.runner, want)) return this.change(row, want, now)
    this.endDraining(row)
    if (row.runner.loading !== null) return
    const missing = want.adapters.find((adapter) => !row.runner.adapters.includes(adapter))
    const needless = row.runner.adapters.find((adapter) => !want.adapters.includes(adapter))
    if (row.runner.role !== want.role) this.order(row, { kind: 'role', role: want.role }, 'role of the template', now)
    else if (missing !== undefined) this.order(row, { kind: 'load_adapter', adapter: missing }, 'adapter of a template', now)
    else if (needless !== undefined && row.runner.streams === 0) this.order(row, { kind: 'unload_adapter', adapter: needless }, 'no template names the adapter', now)
  }

  private change (row: Row, want: WantedModel, now: Millis): void {
    const order: EngineOrder = { kind: 'load', model: want.model, version: want.version }
    const isNew = !this.isChanging(row, now)
    if (isNew && (this.changing >= this.limits.concurrentLoads || !this.pace.mayStart(now))) return
    if (isNew) this.changing += 1
    if (!this.isDrained(row, `makes way for ${want.model} ${want.version}`, now)) return
    if (this.order(row, order, `${want.model} has too few runners`, now)) this.pace.started(want.weightBytes, now)
  }

  private isChanging (row: Row, now: Millis): boolean {
    return row.runner.loading !== null || row.drainingSince !== null || this.underWay(row, now) !== null
  }

  private empty (row: Row, now: Millis): void {
    this.endDraining(row)
    if (heldBy(row.runner) === null) return
    // A new leader has not seen the traffic before its term, so it waits as long as traffic is remembered.
    row.idleSince ??= now
    if (now - row.idleSince < this.limits.idleAfter) return
    if (row.runner.streams === 0) this.order(row, { kind: 'unload' }, 'no template needs the model here', now)
  }

  // The streams of a runner end before its model changes.
  private isDrained (row: Row, reason: string, now: Millis): boolean {
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

  private order (row: Row, order: EngineOrder, reason: string, now: Millis): boolean {
    const { fencing } = this.lease
    const isRepeated = row.lastOrder !== null && sameOrder(row.lastOrder, order)
    if (fencing === null || (isRepeated && now - row.orderedAt < this.limits.orderRetry)) return false
    row.lastOrder = order
    row.orderedAt = now
    this.effects.push({ type: 'order', runner: row.runner.runner, fencing, order, reason })
    return true
  }
}

const sameOrder = (a: EngineOrder, b: EngineOrder): boolean => JSON.stringify(a) === JSON.stringify(b)
