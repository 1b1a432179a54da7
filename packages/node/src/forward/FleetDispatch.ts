/** Places requests on backend servers, and keeps the account of where they are. */
import { DomainReachability, EngineTimingModel, HealthSignal, FleetAssignments, LeastOutstanding, LengthAwarePlacement, RetryBudget, ServerHealth, SlowdownEstimator, AssignmentChange } from '@bluebellhill/domain'
import type { AttemptHistory, BackendServer, Candidate, PlacementChoice, Millis, NodeId, PlacementPolicy, Service, Assignment } from '@bluebellhill/domain'

import type { Log } from '../log/index.js'
import type { AdmittedCall } from './AdmittedCall.js'
import type { Knowledge } from './Knowledge.js'

/** Bounds on requests that are sent again, over all nodes. */
export interface RetryBounds {
  readonly ratio: number
  readonly slack: number
}

export interface FleetDispatchOptions {
  readonly node: NodeId
  readonly knowledge: Knowledge
  readonly log: Log
  readonly clock: () => Millis
  /** The bounds in force. */
  readonly retries: () => RetryBounds
  /** Nodes that share the retry budget. */
  readonly nodes: () => number
}

/** Reading that is left on an engine and explains why it is silent. */
const EXPLAINING_READING: Millis = 200

/** Share of the allowed retries that is used, since nodes count at different moments. */
const RETRY_SHARE = 0.7

/** Nodes among which the retries are divided at least: after a start the others are not known yet. */
const FEWEST_NODES = 10

/** Chooses backend servers by the account of all nodes. */
export class FleetDispatch {
  readonly work: FleetAssignments
  readonly health = new ServerHealth()
  readonly #reach = new DomainReachability()
  readonly #pace = new SlowdownEstimator()
  readonly #options: FleetDispatchOptions
  readonly #engines: PlacementPolicy
  readonly #plain: PlacementPolicy
  readonly #models = new WeakMap<Service, EngineTimingModel>()
  readonly #budgets = new Map<string, RetryBudget>()
  #workListener: (change: AssignmentChange) => void = () => {}

  /** @param options - what the choice rests on */
  constructor (options: FleetDispatchOptions) {
    this.#options = options
    this.work = new FleetAssignments(options.node)
    this.#engines = new LengthAwarePlacement(options.node)
    this.#plain = new LeastOutstanding(options.node)
    options.knowledge.onDeparture((id) => {
      this.health.remove(id)
      this.#pace.remove(id)
    })
  }

  /** Sets what is called when this node's work changes. */
  onWork (listener: (change: AssignmentChange) => void): void {
    this.#workListener = listener
  }

  /**
   * Chooses where a request goes.
   *
   * @param call - the request
   * @param history - its attempts so far
   * @returns the choice; null where no server can take it
   */
  choose (call: AdmittedCall, history: AttemptHistory): PlacementChoice | null {
    const now = this.#options.clock()
    const candidates = this.#candidates(call, history, now)
    if (candidates.length === 0) return null
    const policy = call.service.engine === null ? this.#plain : this.#engines
    return policy.choose({
      size: call.size,
      objective: call.route.objective,
      timeLeft: call.dueAt - now,
      pauseObjective: call.route.pauseObjective,
      candidates,
      timing: this.#modelOf(call.service),
      loads: this.work.serverLoads(now),
      arrivalsPerSecond: this.work.recentArrivals(now),
      now
    })
  }

  /**
   * Enters a request that is about to be sent.
   *
   * @param call - the request
   * @param choice - where it goes
   * @returns the entry in the account
   */
  begin (call: AdmittedCall, { server, helpers, holders }: PlacementChoice): Assignment {
    const { size, service, route, dueAt } = call
    const usual = service.engine?.usualAnswer ?? 0
    const work = this.work.start({
      server: server.id,
      helpers: helpers.map(({ id }) => id),
      reservations: holders.map((holder) => ({ runner: holder.server.id, tokens: holder.tokens })),
      prompt: size.prompt,
      answer: usual > 0 ? Math.min(size.mostAnswer, usual) : size.mostAnswer,
      prefillTime: this.#modelOf(service).prefillTime(size.prompt, helpers.length + 1),
      sentAt: this.#options.clock(),
      isPrefilled: false,
      pauseObjective: route.pauseObjective,
      dueAt
    })
    this.#workListener(service.engine === null ? AssignmentChange.StartedPlain : AssignmentChange.Started)
    return work
  }

  /** The prompt is read. */
  firstEvent (work: Assignment): void {
    this.work.markPrefilled(work, this.#options.clock())
    this.#workListener(AssignmentChange.Prefilled)
  }

  /** The request has left its server. */
  end (work: Assignment): void {
    this.work.end(work, this.#options.clock())
    this.#workListener(AssignmentChange.Ended)
  }

  /** @returns the time to read a prompt on one engine, with nothing else there */
  reading ({ service, size }: AdmittedCall): Millis {
    return this.#modelOf(service).prefillTime(size.prompt)
  }

  /**
   * Takes in the pause between two events of a stream.
   *
   * @param call - the request
   * @param server - where it is written
   * @param pause - how long it was
   */
  observePause (call: AdmittedCall, server: BackendServer, pause: Millis): void {
    if (call.service.engine === null) return
    this.#pace.observe(server.id, pause, this.#modelOf(call.service).passTime(1, call.size.prompt), this.#options.clock())
  }

  /** Takes in what an attempt says of a server. */
  observe (server: BackendServer, evidence: HealthSignal): void {
    const { log, clock } = this.#options
    const { id, service, failureDomain } = server
    if (this.health.observe(id, evidence, clock())) log.warn('server.avoided', { server: id, service, evidence })
    if (evidence !== HealthSignal.Unreachable) this.#reach.recordSuccess(failureDomain)
    else if (this.#reach.recordFailure(failureDomain, id, clock())) log.warn('domain.avoided', { server_domain: failureDomain, server: id, service })
  }

  /** @returns whether an engine has so much to read that its silence says nothing against it */
  isReading ({ id }: BackendServer): boolean {
    const { pending } = this.work.serverLoads(this.#options.clock()).get(id)
    return pending.reduce((sum, { remaining: left }) => sum + left, 0) > EXPLAINING_READING
  }

  /** A server said that the one at this address held a request up. */
  blame (address: string): void {
    const server = this.#options.knowledge.servers.all().find((one) => one.address === address)
    if (server !== undefined) this.observe(server, HealthSignal.Unreachable)
  }

  /** Counts a request towards the retry budget of its service. */
  admitted (service: string): void {
    this.#budgetOf(service).deposit(this.#options.clock())
  }

  /** @returns whether the shared budget allows one more request to be sent again */
  takeRetry (service: string): boolean {
    return this.#budgetOf(service).withdraw(this.#options.clock())
  }

  #candidates ({ service }: AdmittedCall, history: AttemptHistory, now: Millis): Candidate[] {
    const servers = this.#options.knowledge.servers.ready(service.name).filter(({ id }) => history.allows(id))
    const reachable = servers.filter(({ failureDomain }) => !this.#reach.isAvoided(failureDomain, now))
    const sound = reachable.filter(({ id }) => !this.health.isAvoided(id, now))
    const usable = [sound, reachable, servers].find((some) => some.length > 0) ?? []
    return usable.map((server) => ({ server, slowdown: this.#pace.slowdown(server.id, now) }))
  }

  #modelOf (service: Service): EngineTimingModel {
    const known = this.#models.get(service)
    if (known !== undefined) return known
    const model = new EngineTimingModel(service.engine ?? PLAIN_FIGURES)
    this.#models.set(service, model)
    return model
  }

  #budgetOf (service: string): RetryBudget {
    const { ratio, slack } = this.#options.retries()
    const nodes = Math.max(FEWEST_NODES, this.#options.nodes())
    const capacity = Math.max(1, slack * RETRY_SHARE / nodes)
    const known = this.#budgets.get(service)
    if (known !== undefined) {
      known.resize(capacity, ratio * RETRY_SHARE)
      return known
    }
    const budget = new RetryBudget({ ratio: ratio * RETRY_SHARE, capacity, perSecond: 0 })
    this.#budgets.set(service, budget)
    return budget
  }
}

/** Plain services read no prompts: every time is 0. */
const PLAIN_FIGURES = {
  slots: 1, memory: 0, stepsPerPass: 0, step: 0, stepPerWriter: 0, stepPerThousandContext: 0, readTokensPerMs: 1, readPerMillionPairs: 0, usualAnswer: 0
}
