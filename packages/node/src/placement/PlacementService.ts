/** Runs the placement of models in one failure domain on timers, the leadership store and engine commands. */
import { hashText, PlacementPlan, highestRanked } from '@bluebellhill/domain'
import type { FailureDomain, Member, Millis, NodeId, PlacedRunner, PlacementEffect, PlacementEvent, PlacementLimits, LeaseTimings, RunnerId, WantedModel } from '@bluebellhill/domain'

import type { EngineCommands, LeadershipStore, LeaseAnswer } from './ports.js'

/** Time between two ticks of the placement plan. */
const TICK_PERIOD_MS = 200
/** Number of members of a failure domain that request its lease. */
const MAX_CANDIDATES = 2

/** An effect that listeners receive; the service carries out the requests for leases itself. */
export type PlacementChange = Extract<PlacementEffect, { readonly type: 'order' | 'drain' | 'undrain' | 'led' | 'stepped_down' }>
export type PlacementListener = (change: PlacementChange) => void

export interface PlacementServiceOptions {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  /** Wall time at which this process started, in milliseconds since the epoch; distinguishes it from earlier processes of the node. */
  readonly startedAt: number
  /** Whether every engine refuses commands with an older fencing number. */
  readonly enginesCheckFencing: boolean
  readonly store: LeadershipStore
  readonly engineCommands: EngineCommands
  /** Returns the members of the own failure domain that may receive new work. */
  readonly membersAcceptingWork: () => readonly Member[]
  /** Monotonic clock in milliseconds. */
  readonly clock: () => Millis
  readonly lease?: Partial<LeaseTimings>
  readonly limits?: Partial<PlacementLimits>
}

/** Feeds events to `PlacementPlan` and carries out its effects. */
export class PlacementService {
  private readonly plan: PlacementPlan
  private readonly listeners = new Set<PlacementListener>()
  private timer: NodeJS.Timeout | null = null
  private isCandidate = false

  constructor (private readonly options: PlacementServiceOptions) {
    const { node, startedAt, enginesCheckFencing, lease, limits } = options
    this.plan = new PlacementPlan({
      name: `${node}@${startedAt}`,
      enginesCheckFencing,
      ...(lease === undefined ? {} : { lease }),
      ...(limits === undefined ? {} : { limits })
    })
  }

  /** The fencing number while this node leads; null otherwise. */
  get fencing (): number | null {
    return this.plan.fencing
  }

  start (): void {
    this.timer = setInterval(() => this.tick(), TICK_PERIOD_MS)
  }

  /** Replaces the models that the configuration wants loaded. */
  wantedModelsChanged (wantedModels: readonly WantedModel[]): void {
    this.handle({ type: 'wants_changed', wantedModels })
  }

  /**
   * @param model - name of the model
   * @param busyRunners - number of runners that the current traffic of the model in the failure domain keeps busy
   */
  trafficReported (model: string, busyRunners: number): void {
    this.handle({ type: 'traffic_reported', model, runners: busyRunners })
  }

  runnerReported (runner: PlacedRunner): void {
    this.handle({ type: 'runner_reported', runner })
  }

  runnerRemoved (runner: RunnerId): void {
    this.handle({ type: 'runner_removed', runner })
  }

  /**
   * @param listener - called for each engine command, drain and change of leadership
   * @returns a function that removes the listener
   */
  onChange (listener: PlacementListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Releases leadership and stops. */
  async dispose (): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer)
    this.timer = null
    const effects = this.plan.handle({ type: 'candidacy_changed', isCandidate: false }, this.options.clock())
    await Promise.all(effects.map((effect) => this.carryOut(effect)))
    this.listeners.clear()
  }

  private tick (): void {
    const candidates = highestRanked('placement', this.options.membersAcceptingWork(), MAX_CANDIDATES, hashText)
    const isCandidate = candidates.includes(this.options.node)
    if (isCandidate !== this.isCandidate) {
      this.isCandidate = isCandidate
      this.handle({ type: 'candidacy_changed', isCandidate })
    }
    this.handle({ type: 'ticked' })
  }

  private handle (event: PlacementEvent): void {
    for (const effect of this.plan.handle(event, this.options.clock())) void this.carryOut(effect)
  }

  private async carryOut (effect: PlacementEffect): Promise<void> {
    switch (effect.type) {
      case 'acquire_lease': return await this.acquire(effect.token, effect.lifetime)
      case 'renew_lease': return await this.renew(effect.token)
      case 'release_lease': return await this.release(effect.token)
      case 'order': return await this.sendCommand(effect)
      default: this.notifyListeners(effect)
    }
  }

  private async acquire (token: string, lifetime: Millis): Promise<void> {
    const sentAt = this.options.clock()
    const answer = await unansweredOnError(this.options.store.acquire(this.options.failureDomain, token, lifetime))
    if (answer.kind === 'granted') this.handle({ type: 'lease_granted', token, revision: answer.revision, sentAt })
    else this.handle({ type: answer.kind === 'refused' ? 'lease_refused' : 'lease_unanswered', token })
  }

  private async renew (token: string): Promise<void> {
    const sentAt = this.options.clock()
    const answer = await unansweredOnError(this.options.store.renew(this.options.failureDomain, token))
    if (answer.kind === 'granted') this.handle({ type: 'lease_renewed', token, sentAt })
    else this.handle({ type: answer.kind === 'refused' ? 'lease_refused' : 'lease_unanswered', token })
  }

  // A lease that cannot be released expires.
  private async release (token: string): Promise<void> {
    await this.options.store.release(this.options.failureDomain, token).catch(() => {})
  }

  private async sendCommand (effect: Extract<PlacementEffect, { readonly type: 'order' }>): Promise<void> {
    const { runner, fencing, command } = effect
    if (!this.plan.maySend(fencing, this.options.clock())) return
    this.notifyListeners(effect)
    const result = await this.options.engineCommands.send(runner, fencing, command).catch((error: unknown) => ({ kind: 'failed' as const, reason: String(error) }))
    this.handle({ type: 'order_answered', runner, fencing, result })
  }

  private notifyListeners (change: PlacementChange): void {
    for (const listener of this.listeners) listener(change)
  }
}

/** Treats a failed call to the leadership store as an unanswered request. */
const unansweredOnError = async (answer: Promise<LeaseAnswer>): Promise<LeaseAnswer> =>
  await answer.catch(() => ({ kind: 'unanswered' as const }))
