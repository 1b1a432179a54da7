/** Chooses backend servers for requests, and records the assignments of this node. */
import { DomainReachability, EngineTimingModel, HealthSignal, FleetAssignments, LeastOutstanding, LengthAwarePlacement, RetryBudget, ServerHealth, SlowdownEstimator, AssignmentChange } from '@bluebellhill/domain'
import type { AttemptHistory, BackendServer, Candidate, PlacementChoice, Millis, NodeId, PlacementPolicy, Service, Assignment } from '@bluebellhill/domain'

import type { Log } from '../log/index.js'
import type { AdmittedCall } from './AdmittedCall.js'
import type { FleetState } from './FleetState.js'

/** Limits on retries, for all nodes together. */
export interface RetryBounds {
  /** Retries that each request adds to the budget. */
  readonly ratio: number
  /** Unused retries that can be saved up. */
  readonly slack: number
}

export interface FleetDispatchOptions {
  readonly node: NodeId
  readonly fleetState: FleetState
  readonly log: Log
  readonly clock: () => Millis
  /** Returns the limits in force. */
  readonly retryBounds: () => RetryBounds
  /** Returns the number of nodes that share the retry budget. */
  readonly nodeCount: () => number
}

/** Pending prefill time of an engine above which its silence is not a fault. */
const BUSY_PREFILL_TIME: Millis = 200

/** Nodes use only this share of the allowed retries, because they count requests at different moments. */
const RETRY_BUDGET_SHARE = 0.7

/** The retry budget is divided among at least this many nodes, because a node that starts has no list of the others yet. */
const MIN_NODE_COUNT = 10

/** Chooses backend servers by the assignments of all nodes. */
export class FleetDispatch {
  readonly assignments: FleetAssignments
  readonly health = new ServerHealth()
  readonly #domainReachability = new DomainReachability()
  readonly #slowdowns = new SlowdownEstimator()
  readonly #options: FleetDispatchOptions
  readonly #enginePolicy: PlacementPolicy
  readonly #plainPolicy: PlacementPolicy
  readonly #models = new WeakMap<Service, EngineTimingModel>()
  readonly #retryBudgets = new Map<string, RetryBudget>()
  #assignmentListener: (change: AssignmentChange) => void = () => {}

  /** @param options - fleet state, retry limits and log */
  constructor (options: FleetDispatchOptions) {
    this.#options = options
    this.assignments = new FleetAssignments(options.node)
    this.#enginePolicy = new LengthAwarePlacement(options.node)
    this.#plainPolicy = new LeastOutstanding(options.node)
    options.fleetState.onDeparture((id) => {
      this.health.remove(id)
      this.#slowdowns.remove(id)
    })
  }

  /** Sets the listener that is called when an assignment of this node changes. */
  onAssignmentChange (listener: (change: AssignmentChange) => void): void {
    this.#assignmentListener = listener
  }

  /**
   * Chooses the backend server for the next attempt of a request.
   *
   * @param call - the request
   * @param history - earlier attempts of the request
   * @returns the choice; null if no backend server can accept the request
   */
  choose (call: AdmittedCall, history: AttemptHistory): PlacementChoice | null {
    const now = this.#options.clock()
    const candidates = this.#candidates(call, history, now)
    if (candidates.length === 0) return null
    const policy = call.service.engine === null ? this.#plainPolicy : this.#enginePolicy
    return policy.choose({
      size: call.size,
      objective: call.route.objective,
      timeLeft: call.dueAt - now,
      pauseObjective: call.route.pauseObjective,
      candidates,
      timing: this.#modelOf(call.service),
      loads: this.assignments.serverLoads(now),
      arrivalsPerSecond: this.assignments.recentArrivals(now),
      now
    })
  }

  /**
   * Adds the assignment of a request that is about to be sent.
   *
   * @param call - the request
   * @param choice - the chosen backend server, its helpers and holders
   * @returns the assignment
   */
  addAssignment (call: AdmittedCall, { server, helpers, holders }: PlacementChoice): Assignment {
    const { size, service, route, dueAt } = call
    const usualAnswer = service.engine?.usualAnswer ?? 0
    const assignment = this.assignments.start({
      server: server.id,
      helpers: helpers.map(({ id }) => id),
      reservations: holders.map((holder) => ({ runner: holder.server.id, tokens: holder.tokens })),
      prompt: size.prompt,
      answer: usualAnswer > 0 ? Math.min(size.mostAnswer, usualAnswer) : size.mostAnswer,
      prefillTime: this.#modelOf(service).prefillTime(size.prompt, helpers.length + 1),
      sentAt: this.#options.clock(),
      isPrefilled: false,
      pauseObjective: route.pauseObjective,
      dueAt
    })
    this.#assignmentListener(service.engine === null ? AssignmentChange.StartedPlain : AssignmentChange.Started)
    return assignment
  }

  /** Records that the first event of an assignment has arrived: its prefill is finished. */
  prefillFinished (assignment: Assignment): void {
    this.assignments.markPrefilled(assignment, this.#options.clock())
    this.#assignmentListener(AssignmentChange.Prefilled)
  }

  /** Removes the assignment of an attempt that has ended. */
  removeAssignment (assignment: Assignment): void {
    this.assignments.end(assignment, this.#options.clock())
    this.#assignmentListener(AssignmentChange.Ended)
  }

  /** @returns the predicted prefill time of a request on one idle engine */
  prefillTime ({ service, size }: AdmittedCall): Millis {
    return this.#modelOf(service).prefillTime(size.prompt)
  }

  /**
   * Records the pause between two events of a stream, for the slowdown estimate of the engine.
   *
   * @param call - the request
   * @param server - the engine that generates the stream
   * @param pause - time between the two events
   */
  observePause (call: AdmittedCall, server: BackendServer, pause: Millis): void {
    if (call.service.engine === null) return
    this.#slowdowns.observe(server.id, pause, this.#modelOf(call.service).passTime(1, call.size.prompt), this.#options.clock())
  }

  /** Updates the health estimates of a backend server and of its failure domain after an attempt. */
  recordHealthSignal (server: BackendServer, signal: HealthSignal): void {
    const { log, clock } = this.#options
    const { id, service, failureDomain } = server
    if (this.health.observe(id, signal, clock())) log.warn('server.avoided', { server: id, service, evidence: signal })
    if (signal !== HealthSignal.Unreachable) this.#domainReachability.recordSuccess(failureDomain)
    else if (this.#domainReachability.recordFailure(failureDomain, id, clock())) log.warn('domain.avoided', { server_domain: failureDomain, server: id, service })
  }

  /**
   * @param server - an engine that sends no data
   * @returns how long its known prefills still explain this; 0 if they do not
   */
  explainedSilence ({ id }: BackendServer): Millis {
    const now = this.#options.clock()
    const { pending } = this.assignments.serverLoads(now).get(id)
    const remaining = this.#slowdowns.slowdown(id, now) * pending.reduce((sum, prefill) => sum + prefill.remaining, 0)
    return remaining > BUSY_PREFILL_TIME ? remaining : 0
  }

  /** Records the server at an address as unreachable, after another server reported that a request failed because of it. */
  reportUnreachableAddress (address: string): void {
    const server = this.#options.fleetState.servers.all().find((candidate) => candidate.address === address)
    if (server !== undefined) this.recordHealthSignal(server, HealthSignal.Unreachable)
  }

  /** Adds the retries that one request allows to the retry budget of its service. */
  countRequest (service: string): void {
    this.#retryBudgetOf(service).deposit(this.#options.clock())
  }

  /** Takes one retry from the budget of a service. Returns false if the budget is used up. */
  acquireRetry (service: string): boolean {
    return this.#retryBudgetOf(service).withdraw(this.#options.clock())
  }

  #candidates ({ service }: AdmittedCall, history: AttemptHistory, now: Millis): Candidate[] {
    const servers = this.#options.fleetState.servers.ready(service.name).filter(({ id }) => history.allows(id))
    const reachable = servers.filter(({ failureDomain }) => !this.#domainReachability.isAvoided(failureDomain, now))
    const healthy = reachable.filter(({ id }) => !this.health.isAvoided(id, now))
    const usable = [healthy, reachable, servers].find((group) => group.length > 0) ?? []
    return usable.map((server) => ({ server, slowdown: this.#slowdowns.slowdown(server.id, now) }))
  }

  #modelOf (service: Service): EngineTimingModel {
    const existing = this.#models.get(service)
    if (existing !== undefined) return existing
    const model = new EngineTimingModel(service.engine ?? PLAIN_SERVICE_FIGURES)
    this.#models.set(service, model)
    return model
  }

  #retryBudgetOf (service: string): RetryBudget {
    const { ratio, slack } = this.#options.retryBounds()
    const nodeCount = Math.max(MIN_NODE_COUNT, this.#options.nodeCount())
    const capacity = Math.max(1, slack * RETRY_BUDGET_SHARE / nodeCount)
    const existing = this.#retryBudgets.get(service)
    if (existing !== undefined) {
      existing.resize(capacity, ratio * RETRY_BUDGET_SHARE)
      return existing
    }
    const budget = new RetryBudget({ ratio: ratio * RETRY_BUDGET_SHARE, capacity, perSecond: 0 })
    this.#retryBudgets.set(service, budget)
    return budget
  }
}

/** Plain services have no prefill: every predicted time is 0. */
const PLAIN_SERVICE_FIGURES = {
  slots: 1, memory: 0, stepsPerPass: 0, step: 0, stepPerWriter: 0, stepPerThousandContext: 0, readTokensPerMs: 1, readPerMillionPairs: 0, usualAnswer: 0
}
