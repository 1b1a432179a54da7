import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import { PlacementPlan } from '../src/index.js'
import type { EngineCommand, LeaseTimings, LoadedModel, PlacedRunner, PlacementEffect, PlacementEvent, PlacementLimits, RunnerId } from '../src/index.js'

const STEP = 50
const TICK = 200
const LOAD_TIME = 1_500

interface Engine {
  readonly runner: RunnerId
  loaded: LoadedModel | null
  loading: (LoadedModel & { readonly until: number }) | null
  adapters: string[]
  role: PlacedRunner['role']
  streams: number
  draining: boolean
  fencing: number
}

interface Candidate {
  readonly plan: PlacementPlan
  pausedUntil: number
  inbox: PlacementEvent[]
}

export interface PlacementGroupOptions {
  readonly seed: number
  readonly engines: number
  readonly candidates: number
  readonly enginesCheckFencing: boolean
  /** Whether the plans assume that engines check fencing numbers; the same as `enginesCheckFencing` if absent. */
  readonly plansAssumeFencing?: boolean
  /** Probability that a command is lost, and that one which is not lost is duplicated. */
  readonly faults: number
  /** Maximum delivery delay of a command, in milliseconds. */
  readonly maxDelay: number
  readonly lease?: Partial<LeaseTimings>
  readonly limits?: Partial<PlacementLimits>
  /** Whether commands are sent without calling `maySend`. */
  readonly skipsLeaseCheck?: boolean
}

interface Delayed {
  readonly at: number
  readonly run: () => void
}

/** Runs several placement plans, engines and a store with one lease in simulated time; commands are lost, delayed and duplicated. */
export class PlacementGroup {
  now = 0
  /** Number of commands that were sent while the sender did not hold the lease in the store. */
  unleasedCommands = 0
  commands = 0
  /** Number of commands of an earlier leader that arrived after one of a later leader. */
  staleCommands = 0
  /** Number of loads that engines started while they ran streams. */
  interruptedStreams = 0
  readonly engines: Engine[] = []
  readonly candidates: Candidate[] = []
  faults: number
  storeDown = false
  private readonly rng: RandomGenerator
  private lease: { token: string, revision: number, until: number } | null = null
  private revision = 0
  private delayed: Delayed[] = []

  constructor (private readonly options: PlacementGroupOptions) {
    this.rng = xoroshiro128plus(options.seed)
    this.faults = options.faults
    for (let index = 0; index < options.engines; index += 1) {
      this.engines.push({ runner: `r${index}` as RunnerId, loaded: null, loading: null, adapters: [], role: 'mixed', streams: 0, draining: false, fencing: 0 })
    }
    for (let index = 0; index < options.candidates; index += 1) {
      const plan = new PlacementPlan({ name: `n${index}`, enginesCheckFencing: options.plansAssumeFencing ?? options.enginesCheckFencing, ...(options.lease === undefined ? {} : { lease: options.lease }), ...(options.limits === undefined ? {} : { limits: options.limits }) })
      this.candidates.push({ plan, pausedUntil: -1, inbox: [] })
    }
    this.handleAll({ type: 'candidacy_changed', isCandidate: true })
  }

  handleAll (event: PlacementEvent): void {
    for (const candidate of this.candidates) this.handle(candidate, event)
  }

  pause (index: number, length: number): void {
    const candidate = this.candidates[index] as Candidate
    candidate.pausedUntil = this.now + length
  }

  /** Index of the candidate that holds the lease in the store; -1 if there is none. */
  leaderIndex (): number {
    return this.candidates.findIndex(({ plan }) => plan.fencing !== null && plan.fencing === this.lease?.revision)
  }

  serving (want: LoadedModel): number {
    return this.engines.filter(({ loaded, loading }) => loading === null && loaded?.model === want.model && loaded.version === want.version).length
  }

  run (length: number, each: () => void = () => {}): void {
    const end = this.now + length
    while (this.now < end) {
      this.now += STEP
      this.finishLoads()
      this.runDelayed()
      this.candidates.forEach((candidate, index) => this.runCandidate(candidate, index))
      each()
    }
  }

  runUntil (condition: () => boolean, limit: number, each?: () => void): number | null {
    const start = this.now
    while (this.now - start < limit) {
      if (condition()) return this.now - start
      this.run(STEP, each)
    }
    return null
  }

  private runCandidate (candidate: Candidate, index: number): void {
    if (this.now < candidate.pausedUntil) return
    const waiting = candidate.inbox
    candidate.inbox = []
    for (const event of waiting) this.handle(candidate, event)
    if ((this.now + index * STEP) % TICK !== 0) return
    for (const engine of this.engines) this.handle(candidate, { type: 'runner_reported', runner: reportOf(engine) })
    this.handle(candidate, { type: 'ticked' })
  }

  private handle (candidate: Candidate, event: PlacementEvent): void {
    if (this.now < candidate.pausedUntil) candidate.inbox.push(event)
    else for (const effect of candidate.plan.handle(event, this.now)) this.applyEffect(candidate, effect)
  }

  private applyEffect (candidate: Candidate, effect: PlacementEffect): void {
    if (effect.type === 'acquire_lease') this.schedule(50, () => this.acquire(candidate, effect.token, effect.lifetime, this.now - 50))
    else if (effect.type === 'renew_lease') this.schedule(50, () => this.renew(candidate, effect.token, this.now - 50))
    else if (effect.type === 'release_lease') this.schedule(50, () => { if (this.lease?.token === effect.token) this.lease = null })
    else if (effect.type === 'drain') this.engine(effect.runner).draining = true
    else if (effect.type === 'undrain') this.engine(effect.runner).draining = false
    else if (effect.type === 'order') this.send(candidate, effect)
  }

  private acquire (candidate: Candidate, token: string, lifetime: number, sentAt: number): void {
    if (this.storeDown) return this.handle(candidate, { type: 'lease_unanswered', token })
    if (this.lease !== null && this.lease.until <= this.now) this.lease = null
    if (this.lease !== null && this.lease.token !== token) return this.handle(candidate, { type: 'lease_refused', token })
    if (this.lease === null) this.lease = { token, revision: ++this.revision, until: this.now + lifetime }
    // The store's answer may be lost after the lease was written.
    if (this.chance(this.faults)) return this.handle(candidate, { type: 'lease_unanswered', token })
    this.handle(candidate, { type: 'lease_granted', token, revision: this.lease.revision, sentAt })
  }

  private renew (candidate: Candidate, token: string, sentAt: number): void {
    if (this.storeDown || this.chance(this.faults)) return this.handle(candidate, { type: 'lease_unanswered', token })
    if (this.lease === null || this.lease.token !== token || this.lease.until <= this.now) return this.handle(candidate, { type: 'lease_refused', token })
    this.lease.until = this.now + (this.options.lease?.lifetime ?? 10_000)
    this.handle(candidate, { type: 'lease_renewed', token, sentAt })
  }

  private send (candidate: Candidate, effect: Extract<PlacementEffect, { type: 'order' }>): void {
    if (this.options.skipsLeaseCheck !== true && !candidate.plan.maySend(effect.fencing, this.now)) return
    this.commands += 1
    if (this.lease === null || this.lease.revision !== effect.fencing || this.lease.until <= this.now) this.unleasedCommands += 1
    const copies = this.chance(this.faults) ? 0 : this.chance(this.faults) ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      this.schedule(uniformInt(this.rng, 10, this.options.maxDelay), () => this.execute(this.engine(effect.runner), effect.fencing, effect.command, candidate))
    }
  }

  private execute (engine: Engine, fencing: number, command: EngineCommand, sender: Candidate): void {
    if (this.options.enginesCheckFencing && fencing < engine.fencing) {
      this.handle(sender, { type: 'order_answered', runner: engine.runner, fencing, result: { kind: 'stale_fencing', current: engine.fencing } })
      return
    }
    if (fencing < engine.fencing) this.staleCommands += 1
    engine.fencing = Math.max(engine.fencing, fencing)
    if (command.kind === 'load') this.load(engine, command)
    else if (command.kind === 'unload') this.unload(engine)
    else if (command.kind === 'role') engine.role = command.role
    else if (command.kind === 'load_adapter') engine.adapters = [...new Set([...engine.adapters, command.adapter])]
    else engine.adapters = engine.adapters.filter((adapter) => adapter !== command.adapter)
  }

  private load (engine: Engine, { model, version }: LoadedModel): void {
    const current = engine.loading ?? engine.loaded
    if (current?.model === model && current.version === version) return
    if (engine.streams > 0) this.interruptedStreams += 1
    engine.loading = { model, version, until: this.now + LOAD_TIME }
    engine.adapters = []
  }

  private unload (engine: Engine): void {
    engine.loaded = null
    engine.loading = null
    engine.adapters = []
  }

  private finishLoads (): void {
    for (const engine of this.engines) {
      if (engine.loading === null || engine.loading.until > this.now) continue
      engine.loaded = { model: engine.loading.model, version: engine.loading.version }
      engine.loading = null
    }
  }

  private schedule (delay: number, run: () => void): void {
    this.delayed.push({ at: this.now + delay, run })
  }

  private runDelayed (): void {
    const due = this.delayed.filter(({ at }) => at <= this.now)
    this.delayed = this.delayed.filter(({ at }) => at > this.now)
    for (const { run } of due) run()
  }

  private engine (runner: RunnerId): Engine {
    return this.engines.find((engine) => engine.runner === runner) as Engine
  }

  private chance (probability: number): boolean {
    return uniformInt(this.rng, 1, 10_000) <= probability * 10_000
  }
}

const reportOf = (engine: Engine): PlacedRunner => ({
  runner: engine.runner,
  loaded: engine.loaded,
  loading: engine.loading === null ? null : { model: engine.loading.model, version: engine.loading.version },
  adapters: engine.adapters,
  role: engine.role,
  streams: engine.streams,
  leaving: false
})
