/** A scheduler with engines of the target workload in virtual time. Each engine ends a request when the forecast of its placement says. */
import { Readiness } from '@bluebellhill/domain'
import type { Assignment, BackendServer, FailureDomain, Millis, NodeId, Route, RunnerId, Service } from '@bluebellhill/domain'

import { FleetState } from '../src/forward/FleetState.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import type { PlacementResult, PlacementSpec } from '../src/forward/scheduling/types.js'
import { DEPLOYMENT, silentLog } from './forwardFixture.js'

const FIGURES = { slots: 8, memory: 197_200, stepsPerPass: 48, step: 1.02, stepPerWriter: 0.007, stepPerThousandContext: 0.00254, readTokensPerMs: 206, readPerMillionPairs: 0.138, usualPrompt: 15_900, usualAnswer: 1_400 }
export const SERVICE: Service = { name: 'lm', healthPath: '/', maxConnections: 100, engine: FIGURES }

export interface Kind { readonly name: string, readonly prompt: number, readonly objective: Millis, readonly pause: Millis, readonly timeout: Millis }
export const SHORT: Kind = { name: 'short', prompt: 5_000, objective: 259, pause: 250, timeout: 10_000 }
export const MEDIUM: Kind = { name: 'medium', prompt: 45_000, objective: 1_500, pause: 600, timeout: 10_000 }
export const LONG: Kind = { name: 'long', prompt: 190_000, objective: 6_000, pause: 1_000, timeout: 15_000 }

export const ROUTES: Route[] = [SHORT, MEDIUM, LONG].map(({ name, objective, pause, timeout }) =>
  ({ name, host: 'a', pathPrefix: `/${name}/`, kind: 'stream', resumable: true, timeout, objective, pauseObjective: pause, priority: 5, maxAttempts: 2, isPublic: false, services: [{ service: 'lm', weight: 1 }] }))

/** Linear congruential generator, so that a load is the same in each run. */
export const randomOf = (seed: number): () => number => {
  let state = seed
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

export interface Request {
  readonly kind: Kind
  readonly organisation: string
  readonly urgency: number
  readonly arrivedAt: Millis
  /** Time from its arrival to its placement; null if it is refused. */
  placedAfter: Millis | null
  /** Predicted time from its arrival to the first event. */
  firstAfter: Millis
  refusal: string
  hasWaited: boolean
}

export const engine = (index: number): BackendServer =>
  ({ id: `e${index}` as RunnerId, service: 'lm', address: `10.9.0.${index}:80`, failureDomain: 'd1' as FailureDomain, slots: FIGURES.slots, readiness: Readiness.Ready, startedAt: null })

export class AdmissionFleet {
  now: Millis = 0
  readonly requests: Request[] = []
  readonly scheduler: Scheduler
  readonly #node = 'n0' as NodeId
  readonly #actions = new Map<Millis, Array<() => void>>()

  constructor (engines: number) {
    const log = silentLog()
    const clock = (): Millis => this.now
    const fleetState = new FleetState(log, clock)
    fleetState.install({ ...DEPLOYMENT, routes: ROUTES, services: [SERVICE] }, 'store')
    for (let index = 0; index < engines; index += 1) fleetState.putServer({ server: engine(index), revision: 1 }, 'store')
    const bounds = { ratio: 1, slack: 100, window: 10_000 }
    this.scheduler = new Scheduler({ node: this.#node, fleetState, log, clock, runningClock: clock, retryBounds: () => bounds, schedulerCount: () => 1, group: () => ({ domain: null }), setTimer: (run, delay) => this.after(delay, run) })
  }

  after (delay: Millis, run: () => void): void {
    const at = Math.ceil(this.now + delay)
    const actions = this.#actions.get(at)
    if (actions === undefined) this.#actions.set(at, [run])
    else actions.push(run)
  }

  run (until: Millis): void {
    for (; this.now < until; this.now += 1) {
      const actions = this.#actions.get(this.now) ?? []
      for (const action of actions) action()
      this.#actions.delete(this.now)
    }
  }

  /** Requests of a kind arrive at random, on average so many a second, between two times. */
  load (kind: Kind, perSecond: number, from: Millis, to: Millis, { organisation = '', urgency = 5, random = randomOf(1) } = {}): void {
    for (let at = from; at < to; at += -Math.log(1 - random()) * 1_000 / perSecond) this.after(at - this.now, () => this.send(kind, organisation, urgency))
  }

  send (kind: Kind, organisation = '', urgency = 5): Request {
    const request: Request = { kind, organisation, urgency, arrivedAt: this.now, placedAfter: null, firstAfter: Infinity, refusal: '', hasWaited: false }
    this.requests.push(request)
    const number = this.scheduler.assignments.nextNumber()
    const spec: PlacementSpec = {
      request: `r${number}`, service: 'lm', size: { prompt: kind.prompt, mostAnswer: FIGURES.usualAnswer }, objective: kind.objective, dueAt: this.now + kind.objective, pauseObjective: kind.pause, excluded: [], allowed: null, chargesRetry: false, isRedirected: false, isFirstAttempt: true, isSuspected: false, trialParts: [], organisation, urgency, acceptsQueueing: true
    }
    this.#ask(request, spec, number)
    return request
  }

  /** Occupies the first engine. Returns what ends it. */
  occupy (prompt: number, answer: number): () => void {
    const { assignments } = this.scheduler
    const assignment = assignments.start({ server: engine(0).id, helpers: [], reservations: [], prompt, answer, prefillTime: 300, sentAt: this.now, isPrefilled: false, pauseObjective: null, dueAt: 1_000, isDeferred: false })
    return () => assignments.end(assignment, this.now)
  }

  #ask (request: Request, spec: PlacementSpec, number: number): void {
    const owner = { node: this.#node, number }
    const result = this.scheduler.admission.place(spec, owner, { startedAt: 0, deliver: (decided) => this.#decided(request, number, decided) })
    if (result.type !== 'queued') {
      this.#decided(request, number, result)
      return
    }
    request.hasWaited = true
    this.after(result.renewAfter, () => { if (request.placedAfter === null && request.refusal === '') this.#ask(request, { ...spec, waited: this.now - request.arrivedAt }, number) })
  }

  #decided (request: Request, number: number, result: PlacementResult): void {
    const assignment = this.scheduler.assignments.findOwn(number)
    if (result.type === 'refused') request.refusal = result.reason
    if (result.type !== 'placed' || assignment === null) return
    if (request.placedAfter !== null) throw new Error('a request was placed twice')
    request.placedAfter = this.now - request.arrivedAt
    request.firstAfter = request.placedAfter + result.choice.timeToFirstEvent
    this.after(result.choice.timeToFirstEvent, () => this.#prefilled(assignment))
  }

  #prefilled (assignment: Assignment): void {
    const { assignments } = this.scheduler
    assignments.markPrefilled(assignment, this.now)
    const { requests } = assignments.serverLoads(this.now).get(assignment.server)
    const context = requests.reduce((sum, { prompt }) => sum + prompt, 0)
    const decodeTime = this.scheduler.modelOf(SERVICE).decodeTime(assignment.answer, requests.length, context)
    this.after(decodeTime, () => assignments.end(assignment, this.now))
  }
}
