/** A load of safe requests at plain servers in three failure domains, in virtual time: one scheduler places all attempts, and hedges those that are late. */
import { EngineTimingModel, FleetAssignments, HedgeAdmission, LeastOutstanding } from '../src/index.js'
import type { Assignment, BackendServer, Candidate, FailureDomain, Millis, NodeId } from '../src/index.js'
import { FIGURES, server } from './forwardingFixtures.js'
import { exponentialGap, percentile, seededRandom } from './random.js'
import { VirtualScheduler } from './virtualScheduler.js'

const SLOTS = 6
const NODE = 'n1' as NodeId
const TIMING = new EngineTimingModel(FIGURES)

export interface HedgeLoadOptions {
  readonly perSecond: number
  readonly requests: number
  readonly seed: number
  /** Greatest share of requests that may be hedged; null to hedge none. */
  readonly maxRatio: number | null
  /** Returns how long a server works on a request. */
  readonly duration: (random: () => number, server: BackendServer, now: Millis) => Millis
}

interface Attempt { readonly server: BackendServer, readonly assignment: Assignment, readonly onAnswer: () => void, isRunning: boolean, isOver: boolean }

export class HedgeLoad {
  readonly #options: HedgeLoadOptions
  readonly #random: () => number
  readonly #time = new VirtualScheduler()
  readonly #assignments = new FleetAssignments(NODE)
  readonly #admission = new HedgeAdmission()
  readonly #policy = new LeastOutstanding(NODE)
  readonly #servers = ['d1', 'd2', 'd3'].flatMap((domain) => [1, 2, 3].map((index) => server(`${domain}-${index}`, { failureDomain: domain as FailureDomain, slots: SLOTS })))
  readonly #queues = new Map(this.#servers.map(({ id }) => [id, [] as Attempt[]]))
  readonly #took: Millis[] = []
  readonly #hedges: Array<{ readonly domain: string, readonly slotShare: number }> = []
  requests = 0
  /** Greatest share of hedges in the requests until then. */
  largestShare = 0

  constructor (options: HedgeLoadOptions) {
    this.#options = options
    this.#random = seededRandom(options.seed)
  }

  get hedges (): number {
    return this.#hedges.length
  }

  get hedgesUnderLoad (): number {
    return this.#hedges.filter(({ slotShare }) => slotShare >= 0.5).length
  }

  hedgesIn (domain: string): number {
    return this.#hedges.filter((hedge) => hedge.domain === domain).length
  }

  quantile (share: number): Millis {
    return percentile(this.#took, share)
  }

  run (): this {
    this.#time.schedule(0, () => this.#arrive())
    this.#time.run()
    return this
  }

  #arrive (): void {
    const { maxRatio, perSecond, requests } = this.#options
    const arrivedAt = this.#time.now
    this.requests += 1
    if (this.requests < requests) this.#time.schedule(arrivedAt + exponentialGap(this.#random, 1_000 / perSecond), () => this.#arrive())
    if (maxRatio !== null) this.#admission.countRequest('s', maxRatio)
    const attempts: Attempt[] = []
    const onAnswer = (): void => {
      this.#took.push(this.#time.now - arrivedAt)
      for (const attempt of attempts) this.#end(attempt, false)
    }
    const first = this.#start(this.#servers.map((one) => ({ server: one, slowdown: 1 })), onAnswer)
    attempts.push(first)
    const delay = maxRatio === null ? null : this.#admission.delay('s', maxRatio, arrivedAt)
    if (delay !== null) this.#time.schedule(arrivedAt + delay, () => { if (!first.isOver) attempts.push(...this.#hedge(first)) })
  }

  #hedge (first: Attempt): Attempt[] {
    const loads = this.#assignments.serverLoads(this.#time.now)
    if (this.#admission.refusal('s', this.#servers, loads) !== null) return []
    const others = this.#servers.filter((one) => one !== first.server).map((one) => ({ server: one, slowdown: 1 }))
    const candidates = this.#admission.candidates('s', others, loads, this.#time.now)
    if (candidates.length === 0) return []
    this.#admission.take('s')
    const slotShare = this.#assignments.own().length / (SLOTS * this.#servers.length)
    const hedge = this.#start(candidates, first.onAnswer)
    this.#hedges.push({ domain: hedge.server.failureDomain, slotShare })
    this.largestShare = Math.max(this.largestShare, this.hedges / this.requests)
    return [hedge]
  }

  #start (candidates: readonly Candidate[], onAnswer: () => void): Attempt {
    const { now } = this.#time
    const loads = this.#assignments.serverLoads(now)
    const chosen = this.#policy.choose({ size: { prompt: 0, mostAnswer: 0 }, objective: 251, timeLeft: 251, pauseObjective: null, candidates, timing: TIMING, loads, arrivalsPerSecond: 0, now })!.server
    const assignment = this.#assignments.start({ server: chosen.id, helpers: [], reservations: [], prompt: 0, answer: 0, prefillTime: 0, sentAt: now, isPrefilled: true, pauseObjective: null, dueAt: now + 251, isDeferred: false })
    const attempt = { server: chosen, assignment, onAnswer, isRunning: false, isOver: false }
    this.#queues.get(chosen.id)!.push(attempt)
    this.#runNext(chosen)
    return attempt
  }

  #runNext (one: BackendServer): void {
    const queue = this.#queues.get(one.id)!
    const next = queue.slice(0, SLOTS).find(({ isRunning }) => !isRunning)
    if (next === undefined) return
    next.isRunning = true
    this.#time.schedule(this.#time.now + this.#options.duration(this.#random, one, this.#time.now), () => this.#answer(next))
  }

  #answer (attempt: Attempt): void {
    if (attempt.isOver) return
    this.#end(attempt, true)
    attempt.onAnswer()
  }

  #end (attempt: Attempt, isComplete: boolean): void {
    if (attempt.isOver) return
    const { server: one, assignment } = attempt
    const { now } = this.#time
    attempt.isOver = true
    const queue = this.#queues.get(one.id)!
    queue.splice(queue.indexOf(attempt), 1)
    this.#assignments.end(assignment, now)
    if (this.#options.maxRatio !== null) this.#admission.observe({ service: 's', domain: one.failureDomain, took: now - assignment.sentAt, isComplete }, this.#options.maxRatio, now)
    this.#runNext(one)
  }
}
