/** A memory-bound fleet in virtual time: engines that work in passes, with the figures of the target workload. */
import { EngineTimingModel, FleetAssignments, LengthAwarePlacement } from '../src/index.js'
import type { Assignment, EngineFigures, Millis, NodeId, PlacementChoice, PlacementRequest, RunnerId, Tokens } from '../src/index.js'
import { server } from './forwardingFixtures.js'
import type { RequestSize } from './forwardingFixtures.js'
import { VirtualScheduler } from './virtualScheduler.js'

export const MEMORY_FIGURES: EngineFigures = {
  slots: 8, memory: 197_200, stepsPerPass: 48, step: 1.02, stepPerWriter: 0.007, stepPerThousandContext: 0.0025, readTokensPerMs: 206, readPerMillionPairs: 0.138, usualPrompt: 15_900, usualAnswer: 1_400
}
export const MEMORY_TIMING = new EngineTimingModel(MEMORY_FIGURES)
export const ENGINE_COUNT = 54

/** The kinds of request of the target workload. */
export const SHORT_CALL = { prompt: 5_000, answer: 1_400, objective: 259, pause: 250 }
export const MEDIUM_CALL = { prompt: 45_000, answer: 1_400, objective: 1_500, pause: 600 }
export const LONG_CALL = { prompt: 190_000, answer: 1_400, objective: 6_000, pause: 1_000 }

/** A request from its placement to its end. */
export interface FleetCall {
  readonly size: RequestSize
  readonly arrivedAt: Millis
  readonly placedAt: Millis
  readonly choice: PlacementChoice
  assignment: Assignment
  firstEventAt: Millis | null
  segmentsLeft: number
  tokensLeft: Tokens
}

interface Prefill { readonly call: FleetCall, readonly time: Millis }

export class MemoryFleet {
  readonly scheduler = new VirtualScheduler()
  readonly assignments = new FleetAssignments('n1' as NodeId)
  readonly servers = Array.from({ length: ENGINE_COUNT }, (_, index) => server(`e${index}`, { slots: MEMORY_FIGURES.slots }))
  readonly calls: FleetCall[] = []
  readonly onEnd: Array<() => void> = []
  readonly #engines = new Map(this.servers.map(({ id }) => [id, new PassEngine(this)]))

  constructor (readonly policy = new LengthAwarePlacement('n1' as NodeId)) {}

  get now (): Millis { return this.scheduler.now }

  request (size: RequestSize, changes: Partial<PlacementRequest> = {}): PlacementRequest {
    return {
      size: { prompt: size.prompt, mostAnswer: size.answer }, objective: size.objective, timeLeft: size.objective, pauseObjective: size.pause, candidates: this.servers.map((one) => ({ server: one, slowdown: 1 })), timing: MEMORY_TIMING, loads: this.assignments.serverLoads(this.now), arrivalsPerSecond: 0, now: this.now, ...changes
    }
  }

  /** Places a request and lets its engines work on it; null if none has the memory. */
  place (size: RequestSize, arrivedAt = this.now): FleetCall | null {
    const choice = this.policy.choose(this.request(size, { timeLeft: arrivedAt + size.objective - this.now }))
    return choice === null ? null : this.run(size, choice, arrivedAt)
  }

  /** Lets one engine work on a request, whatever the policy would choose. */
  placeOn (size: RequestSize, engine: string): FleetCall {
    const owner = this.servers.find(({ id }) => id === engine as RunnerId)
    if (owner === undefined) throw new Error('no such engine')
    return this.run(size, { server: owner, helpers: [], holders: [], timeToFirstEvent: 0, isDeferred: false }, this.now)
  }

  run (size: RequestSize, choice: PlacementChoice, arrivedAt: Millis): FleetCall {
    const { server: owner, helpers, holders } = choice
    const prefillTime = MEMORY_TIMING.prefillTime(size.prompt, helpers.length + 1)
    const assignment = this.assignments.start({
      server: owner.id, helpers: helpers.map(({ id }) => id), reservations: holders.map((holder) => ({ runner: holder.server.id, tokens: holder.tokens })), prompt: size.prompt, answer: size.answer, prefillTime, sentAt: this.now, isPrefilled: false, pauseObjective: size.pause, dueAt: arrivedAt + size.objective, isDeferred: choice.isDeferred
    })
    const call = { size, arrivedAt, placedAt: this.now, choice, assignment, firstEventAt: null, segmentsLeft: helpers.length + 1, tokensLeft: size.answer }
    this.calls.push(call)
    for (const { id } of [owner, ...helpers]) this.#engines.get(id)?.add({ call, time: prefillTime }, id === owner.id)
    return call
  }

  prefilled (call: FleetCall): void {
    call.firstEventAt = this.now
    this.assignments.markPrefilled(call.assignment, this.now)
  }

  segmentDone (call: FleetCall): void {
    call.segmentsLeft -= 1
    if (call.segmentsLeft === 0) this.#engines.get(call.assignment.server)?.decode(call)
  }

  end (call: FleetCall): void {
    this.assignments.end(call.assignment, this.now)
    for (const listener of this.onEnd) listener()
  }
}

/** One engine: a pass prefills all that has arrived before it and decodes `stepsPerPass` tokens of each answer. */
class PassEngine {
  readonly #fleet: MemoryFleet
  #waiting: Prefill[] = []
  #segments: Prefill[] = []
  #decoding: FleetCall[] = []
  #owned = 0
  #isBusy = false

  constructor (fleet: MemoryFleet) {
    this.#fleet = fleet
  }

  add (prefill: Prefill, isOwn: boolean): void {
    if (isOwn) this.#waiting.push(prefill)
    else this.#segments.push(prefill)
    this.#startPass()
  }

  decode (call: FleetCall): void {
    this.#decoding.push(call)
    this.#startPass()
  }

  #startPass (): void {
    if (this.#isBusy) return
    const admitted = this.#waiting.splice(0, Math.max(0, MEMORY_FIGURES.slots - this.#owned))
    this.#owned += admitted.length
    const prefills = [...this.#segments, ...admitted]
    this.#segments = []
    const whole = admitted.filter(({ call }) => call.segmentsLeft === 1 && call.choice.helpers.length === 0).map(({ call }) => call)
    this.#decoding.push(...whole)
    const context = this.#decoding.reduce((sum, { size, tokensLeft }) => sum + size.prompt + size.answer - tokensLeft, 0)
    const duration = prefills.reduce((sum, { time }) => sum + time, MEMORY_TIMING.passTime(this.#decoding.length, context))
    if (duration === 0) return
    this.#isBusy = true
    const decoded = [...this.#decoding]
    const divided = prefills.filter(({ call }) => !whole.includes(call))
    this.#fleet.scheduler.schedule(this.#fleet.now + duration, () => { this.#endPass(decoded, divided) })
  }

  #endPass (decoded: readonly FleetCall[], divided: readonly Prefill[]): void {
    this.#isBusy = false
    for (const call of decoded) {
      call.tokensLeft -= MEMORY_FIGURES.stepsPerPass
      if (call.firstEventAt === null) this.#fleet.prefilled(call)
      if (call.tokensLeft <= 0) this.#end(call)
    }
    for (const { call } of divided) this.#fleet.segmentDone(call)
    this.#startPass()
  }

  #end (call: FleetCall): void {
    this.#decoding = this.#decoding.filter((other) => other !== call)
    this.#owned -= 1
    this.#fleet.end(call)
  }
}
