import { hashText, PlacementPlan, highestRanked } from '@bluebellhill/domain'
import type { FailureDomain, Member, Millis, NodeId, PlacedRunner, PlacementEffect, PlacementEvent, PlacementLimits, LeaseTimings, RunnerId, WantedModel } from '@bluebellhill/domain'

import type { EngineCommands, LeadershipStore, LeaseAnswer } from './ports.js'

/** Time between two looks at the plan, in milliseconds. */
const TICK_PERIOD_MS = 200
/** Members of a failure domain that ask for its lease. */
const MAX_CANDIDATES = 2

/** What listeners hear; the rest is carried out by the service itself. */
export type PlacementChange = Extract<PlacementEffect, { readonly type: 'order' | 'drain' | 'undrain' | 'led' | 'stepped_down' }>
export type PlacementListener = (change: PlacementChange) => void

/** Options of a node's placement service. */
export interface PlacementServiceOptions {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  /** Wall-clock milliseconds at which this process started; part of its name. */
  readonly startedAt: number
  readonly enginesCheckFencing: boolean
  readonly store: LeadershipStore
  readonly engineCommands: EngineCommands
  /** Members of the own failure domain that may get new work. */
  readonly membersAcceptingWork: () => readonly Member[]
  /** Monotonic clock in milliseconds. */
  readonly clock: () => Millis
  readonly lease?: Partial<LeaseTimings>
  readonly limits?: Partial<PlacementLimits>
}

/** Hosts the placement plan on timers, the store and the engines. */
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

  /** Takes the templates' models in. */
  wantedModelsChanged (wantedModels: readonly WantedModel[]): void {
    this.handle({ type: 'wants_changed', wantedModels })
  }

  /**
   * @param model - model
   * @param busyRunners - runners that its present traffic in the failure domain keeps busy
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
   * @param listener - called for each order, drain and change of leadership
   * @returns removes the listener
   */
  onChange (listener: PlacementListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Gives leadership back and stops. */
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

  // A lease that can't be given back lapses.
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

const unansweredOnError = async (answer: Promise<LeaseAnswer>): Promise<LeaseAnswer> =>
  await answer.catch(() => ({ kind: 'unanswered' as const }))
