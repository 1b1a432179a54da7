/** Places attempts on backend servers by the assignments, the health and the speed that are known of them. */
import { randomInt } from 'node:crypto'

import { assignmentId, EngineTimingModel, FleetAssignments, GroupLoads, isInGroup, LeastOutstanding, LengthAwarePlacement, Readiness, SlowdownEstimator, USABLE_OBJECTIVE_SHARE, callerWaitTime } from '@bluebellhill/domain'
import type { Assignment, BackendServer, Candidate, GroupLoad, HealthSignal, Millis, NodeId, PlacementChoice, PlacementPolicy, PlacementRequest, RunnerId, SchedulerDirectory, SchedulerGroup, ServerHealth, ServerLoad, ServerLoads, Service, ServiceLoad, WarmUpBounds } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { FleetState } from '../FleetState.js'
import { NodeQuarantine } from '../quarantine/NodeQuarantine.js'
import { HedgePlacement } from '../hedging/HedgePlacement.js'
import { AdmissionControl } from './AdmissionControl.js'
import type { Timer } from './admissionTypes.js'
import { ColdServers } from './ColdServers.js'
import { findRestriction } from './findRestriction.js'
import { IsolatedAttempts } from './IsolatedAttempts.js'
import { RetryBudgets } from './RetryBudgets.js'
import type { RetryBounds } from './RetryBudgets.js'
import { PromisedRoom } from './PromisedRoom.js'
import { ServerSelection } from './ServerSelection.js'
import { ServerStatements } from './ServerStatements.js'
import { spreadReturn } from './spreadReturn.js'
import { GROUP_CONTEXT, NO_TERMS, PlacementRefusal } from './types.js'
import { isUneven, UnevenServers } from './UnevenServers.js'
import type { AssignmentOwner, AttemptReport, ChosenServerLoad, FinalPlacement, PlacementContext, PlacementSpec, PlacementTerms } from './types.js'

/** Upper bound of the number of a process's first assignment; as many again fit into the messages between nodes. */
const FIRST_NUMBERS = 2 ** 31

export interface SchedulerOptions {
  readonly node: NodeId
  readonly fleetState: FleetState
  readonly log: Log
  readonly clock: () => Millis
  /** Clock on which the silence of other nodes is measured. */
  readonly runningClock: () => Millis
  /** Returns the limits on retries in force. */
  readonly retryBounds: () => RetryBounds
  /** Returns the greatest share of requests that may be hedged; null or absent to place no hedges. */
  readonly hedgeRatio?: () => number | null
  /** Returns the number of schedulers that share them. */
  readonly schedulerCount: () => number
  /** Returns the group whose engines this node places requests on. */
  readonly group: () => SchedulerGroup
  /** Serves waiting requests later; timers of the process if absent. */
  readonly setTimer?: Timer
  /** Returns by how much a second may exceed the rate of a cold server; no excess is allowed if absent. */
  readonly warmUpBounds?: () => WarmUpBounds
  /** Nodes that may place requests on the same servers; if absent, this node is the only one. */
  readonly directory?: SchedulerDirectory
  /** Wall clock, for the start times of backend servers; that of the process if absent. */
  readonly wallClock?: () => number
}

/** Pending prefill time of an engine above which its silence is not a fault. */
const BUSY_PREFILL_TIME: Millis = 200

/** Time after which a request that must run apart from others like it is placed again. */
const ISOLATION_RETRY_AFTER: Millis = 50

/** Servers that were not considered, in the log of one attempt. */
const MAX_PASSED_OVER = 4

/** Keeps the assignments of the nodes that report to this one, and places attempts by them. */
export class Scheduler {
  readonly assignments: FleetAssignments
  readonly statements: ServerStatements
  readonly quarantine: NodeQuarantine
  readonly promisedRoom: PromisedRoom
  readonly hedges: HedgePlacement
  /** Requests that wait for memory or a slot. */
  readonly admission: AdmissionControl
  readonly unevenServers: UnevenServers
  readonly #groupLoads = new GroupLoads()
  readonly #slowdowns = new SlowdownEstimator()
  readonly #isolated = new IsolatedAttempts()
  readonly #selection: ServerSelection
  readonly #options: SchedulerOptions
  readonly #enginePolicy: PlacementPolicy
  readonly #plainPolicy: PlacementPolicy
  readonly #models = new WeakMap<Service, EngineTimingModel>()
  readonly #retryBudgets: RetryBudgets

  /** @param options - fleet state, retry limits and log */
  constructor (options: SchedulerOptions) {
    this.#options = options
    this.assignments = new FleetAssignments(options.node, randomInt(1, FIRST_NUMBERS))
    this.statements = new ServerStatements({ ...options, coldServers: new ColdServers(options) })
    this.#selection = new ServerSelection({ ...options, statements: this.statements, slowdowns: this.#slowdowns, isolated: this.#isolated })
    this.quarantine = new NodeQuarantine({ ...options, isLeaving: (server) => this.#isLeaving(server) })
    this.promisedRoom = new PromisedRoom(options.log)
    this.hedges = new HedgePlacement({ ...options, maxRatio: options.hedgeRatio ?? (() => null) })
    this.unevenServers = new UnevenServers({ ...options, coldServers: this.statements.coldServers })
    this.#enginePolicy = new LengthAwarePlacement(options.node)
    this.#plainPolicy = new LeastOutstanding(options.node)
    this.#retryBudgets = new RetryBudgets({ bounds: options.retryBounds, sharedBy: options.schedulerCount, clock: options.clock })
    this.admission = new AdmissionControl({ ...options, scheduler: this })
    this.assignments.onRoomFreed(() => this.admission.roomFreed())
    options.fleetState.onChange(() => this.admission.roomFreed())
    options.fleetState.onDeparture((id) => {
      this.#selection.remove(id)
      this.statements.remove(id)
      this.#slowdowns.remove(id)
      this.unevenServers.remove(id)
    })
  }

  /** Health estimates of backend servers. */
  get health (): ServerHealth {
    return this.#selection.health
  }

  /**
   * Places an attempt and records its assignment.
   *
   * @param spec - the attempt
   * @param owner - node that sends it, with the number of the assignment there
   * @param context - whom this scheduler decides for
   * @param terms - how it is placed beside requests that wait
   * @returns the decision
   */
  place (spec: PlacementSpec, owner: AssignmentOwner, context: PlacementContext, terms: PlacementTerms = NO_TERMS): FinalPlacement {
    const service = this.#options.fleetState.routeTable?.service(spec.service) ?? null
    if (service === null) return { type: 'refused', reason: PlacementRefusal.UnknownService, retryAfter: null }
    const restriction = findRestriction(this.#options.fleetState, spec.service, spec.regions)
    if (restriction !== null) return restriction
    const isTrial = spec.trialParts.length > 0
    if (isTrial && !this.#mayGrantTrial(spec, context)) return { type: 'refused', reason: PlacementRefusal.Quarantined, retryAfter: null }
    const now = this.#options.clock()
    const loads = this.promisedRoom.loadsFor(spec, this.#loads(now), now)
    const permitted = this.#selection.permitted(spec, service)
    const open = this.#selection.open(permitted, context, now)
    const apart = this.#selection.candidatesApart(spec, withoutHeld(this.#selection.candidates(open, now), terms), loads)
    if (apart === null) return { type: 'refused', reason: PlacementRefusal.SuspectsInProgress, retryAfter: ISOLATION_RETRY_AFTER }
    const candidates = spec.isHedge === true ? this.hedges.select(spec, this.#selection.hedgeCandidates(apart, now), loads) : apart
    if (typeof candidates === 'string') return { type: 'refused', reason: candidates, retryAfter: null }
    if (!terms.isCounted && !this.count(spec)) return { type: 'refused', reason: PlacementRefusal.RetryBudgetSpent, retryAfter: null }
    const best = this.#choose(spec, service, candidates, loads, context, now)
    const hasSlot = !terms.needsFreeSlot || best === null || hasFreeSlot(best, loads)
    const choice = hasSlot ? best : null
    const relief = this.#findRelief(spec, service, choice, now)
    if (relief !== null) return { type: 'redirected', address: relief }
    if (!hasSlot) return { type: 'refused', reason: PlacementRefusal.NoRoom, retryAfter: null }
    if (choice === null) return this.statements.refusalFor(permitted, context.limitShare, now)
    const lateness = choice.timeToFirstEvent - callerWaitTime(spec.objective)
    if (choice.isDeferred && lateness > 0) return { type: 'refused', reason: PlacementRefusal.TooLate, retryAfter: spreadReturn(lateness) }
    if (isTrial) this.quarantine.grantTrial(spec.trialParts, spec.request)
    this.#record(spec, choice, owner, now)
    this.statements.take(choice.server, context.limitShare)
    for (const helper of choice.helpers) if (this.statements.coldServers.limits(helper, now)) this.statements.take(helper, context.limitShare)
    if (spec.isHedge === true) this.hedges.placed(spec.service)
    const passedOver = permitted.filter((server) => !open.includes(server)).slice(0, MAX_PASSED_OVER).map(({ id }) => id)
    return { type: 'placed', choice, load: summaryOf(loads.get(choice.server.id)), keepsLimit: true, keepsWarmUp: true, passedOver, isTrial, ...this.#hedgeTerms(spec) }
  }

  /**
   * Counts an attempt in the retry budget of its service, and in that of its hedges.
   *
   * @param spec - the attempt
   * @returns whether the budget allows it
   */
  count ({ chargesRetry, isFirstAttempt, service }: PlacementSpec): boolean {
    if (chargesRetry && !this.#retryBudgets.acquire(service)) return false
    if (isFirstAttempt) this.#countRequest(service)
    return true
  }

  /**
   * Describes an attempt to the forecast of free memory.
   *
   * @param spec - the attempt
   * @returns the attempt, with the engines that this scheduler may place it on and their loads; null if it knows no such service
   */
  placementRequest (spec: PlacementSpec): PlacementRequest | null {
    const { fleetState, clock } = this.#options
    const service = fleetState.routeTable?.service(spec.service) ?? null
    if (service === null) return null
    const now = clock()
    const open = this.#selection.open(this.#selection.permitted(spec, service), GROUP_CONTEXT, now)
    return this.#requestOf(spec, service, this.#selection.candidates(open, now), this.promisedRoom.loadsFor(spec, this.#loads(now), now), GROUP_CONTEXT, now)
  }

  /**
   * Creates the record of a placed attempt.
   *
   * @param spec - the attempt
   * @param choice - where it is placed
   * @param now - current time
   * @returns the assignment without its id
   */
  draftAssignment ({ service: name, size, pauseObjective, dueAt }: PlacementSpec, choice: PlacementChoice, now: Millis): Omit<Assignment, 'id'> {
    const service = this.#options.fleetState.routeTable?.service(name) ?? null
    const { server, helpers, holders } = choice
    const usualAnswer = service?.engine?.usualAnswer ?? 0
    return {
      server: server.id,
      helpers: helpers.map(({ id }) => id),
      reservations: holders.map((holder) => ({ runner: holder.server.id, tokens: holder.tokens })),
      prompt: size.prompt,
      answer: usualAnswer > 0 ? Math.min(size.mostAnswer, usualAnswer) : size.mostAnswer,
      prefillTime: service === null ? 0 : this.modelOf(service).prefillTime(size.prompt, helpers.length + 1),
      sentAt: now,
      isPrefilled: false,
      pauseObjective,
      dueAt,
      isDeferred: choice.isDeferred
    }
  }

  /**
   * Applies what a node reports of its attempts.
   *
   * @param node - the node
   * @param reports - its reports, in order
   */
  applyReports (node: NodeId, reports: readonly AttemptReport[]): void {
    const now = this.#options.clock()
    for (const { number, isEnded, server, signal, slowdown, serviceTime } of reports) {
      const ended = isEnded ? this.assignments.endGranted(node, number, now) : null
      if (ended !== null) this.hedges.attemptEnded(ended, signal)
      if (!isEnded && number > 0) this.assignments.markGrantedPrefilled(node, number, now)
      if (slowdown !== null) this.#slowdowns.observeShortest(server, slowdown, now)
      if (serviceTime !== undefined) this.unevenServers.observe(server, serviceTime, node)
      const known = signal === null ? null : this.#options.fleetState.servers.find(server)
      if (known !== null && signal !== null) this.recordHealthSignal(known, signal, node)
    }
  }

  /** Records the pause between two events of a stream, for the slowdown estimate of the engine. */
  observePause (server: BackendServer, pause: Millis, passTime: Millis): void {
    this.#slowdowns.observe(server.id, pause, passTime, this.#options.clock())
  }

  /**
   * Updates the health estimates of a backend server and of its failure domain after an attempt.
   *
   * @param server - the backend server
   * @param signal - what the attempt shows
   * @param reporter - node that made the attempt
   */
  recordHealthSignal (server: BackendServer, signal: HealthSignal, reporter: NodeId = this.#options.node): void {
    this.#selection.recordHealthSignal(server, signal, reporter)
  }

  /**
   * @param id - an engine that sends no data
   * @returns how long its known prefills still explain this; 0 if they do not
   */
  explainedSilence (id: RunnerId): Millis {
    const now = this.#options.clock()
    const { pending } = this.#loads(now).get(id)
    const remaining = this.#slowdowns.slowdown(id, now) * pending.reduce((sum, prefill) => sum + prefill.remaining, 0)
    return remaining > BUSY_PREFILL_TIME ? remaining : 0
  }

  /** @returns the timing model of a service's engines */
  modelOf (service: Service): EngineTimingModel {
    const existing = this.#models.get(service)
    if (existing !== undefined) return existing
    const model = new EngineTimingModel(service.engine ?? PLAIN_SERVICE_FIGURES)
    this.#models.set(service, model)
    return model
  }

  /** @returns the loads of this group's engines by service, for the schedulers of the other groups */
  serviceLoads (): ServiceLoad[] {
    const { fleetState, clock, group } = this.#options
    const loads = this.#loads(clock())
    const services = fleetState.routeTable?.deployment.services ?? []
    return services.filter(({ engine }) => engine !== null).map(({ name }) => {
      const servers = fleetState.servers.ready(name).filter((server) => isInGroup(group(), server.failureDomain) && fleetState.restrictions.permits(server))
      const pending = servers.reduce((sum, { id }) => sum + loads.get(id).pending.reduce((total, { remaining }) => total + remaining, 0), 0)
      return {
        service: name,
        slots: servers.reduce((sum, { slots }) => sum + slots, 0),
        requests: servers.reduce((sum, { id }) => sum + loads.get(id).requests.length, 0),
        meanPendingPrefill: servers.length === 0 ? 0 : pending / servers.length
      }
    })
  }

  /** Records the load of another group. */
  recordGroupLoad (load: GroupLoad): void {
    this.#groupLoads.record(load, this.#options.clock())
  }

  /** Of several groups, the first one by name decides on trials, so that they have one scheduler. */
  #mayGrantTrial ({ trialParts }: PlacementSpec, { isGroupDecision }: PlacementContext): boolean {
    const { group, clock } = this.#options
    const { domain } = group()
    const isFirstGroup = domain === null || this.#groupLoads.heardDomains(clock()).every((other) => domain <= other)
    return isGroupDecision && isFirstGroup && this.quarantine.isTrialDue(trialParts)
  }

  #choose (spec: PlacementSpec, service: Service, candidates: readonly Candidate[], loads: ServerLoads, context: PlacementContext, now: Millis): PlacementChoice | null {
    if (candidates.length === 0) return null
    const request = this.#requestOf(spec, service, candidates, loads, context, now)
    const policy = this.#policyOf(service)
    const alone = isRisky(spec) ? this.#chooseAlone(request, policy, spec.isolatedAs !== undefined) : null
    if (alone !== null) return alone
    const choice = policy.choose(request)
    if (choice !== null && isUneven(service)) this.unevenServers.logChoice(spec.request, request, choice)
    return choice
  }

  #requestOf (spec: PlacementSpec, service: Service, candidates: readonly Candidate[], loads: ServerLoads, context: PlacementContext, now: Millis): PlacementRequest {
    return {
      size: spec.size,
      objective: spec.objective,
      timeLeft: spec.dueAt - now,
      pauseObjective: spec.pauseObjective,
      candidates,
      timing: this.modelOf(service),
      loads,
      arrivalsPerSecond: context.unseenArrivals,
      now
    }
  }

  /**
   * One server alone, so that a crash breaks off as few other requests as possible. A server that has just crashed is quiet, but gone. A request that
   * is suspected itself goes to the server that started last: where servers are ended in turn, that one is ended last.
   */
  #chooseAlone (request: PlacementRequest, policy: PlacementPolicy, isIsolated: boolean): PlacementChoice | null {
    const { candidates, loads } = request
    const running = candidates.filter(({ server }) => !this.quarantine.serverWatch.isReportedCrashed(server))
    const byLoad = (running.length > 0 ? running : candidates).map((candidate) => ({ candidate, load: summaryOf(loads.get(candidate.server.id)) }))
    const startOf = ({ candidate: { server: { startedAt } } }: { readonly candidate: Candidate }): number => isIsolated ? startedAt ?? 0 : 0
    const [best] = byLoad.sort((a, b) => startOf(b) - startOf(a) || a.load.requests - b.load.requests || a.load.pendingPrefill - b.load.pendingPrefill)
    return best === undefined ? null : policy.choose({ ...request, candidates: [best.candidate] })
  }

  #findRelief ({ service, objective, isRedirected, chargesRetry, trialParts }: PlacementSpec, { engine }: Service, choice: PlacementChoice | null, now: Millis): string | null {
    if (engine === null || isRedirected || chargesRetry || trialParts.length > 0) return null
    const wait = choice?.timeToFirstEvent ?? Infinity
    return wait <= USABLE_OBJECTIVE_SHARE * objective ? null : this.#groupLoads.findRelief(service, wait, now)
  }

  #record (spec: PlacementSpec, choice: PlacementChoice, { node, number }: AssignmentOwner, now: Millis): void {
    const draft = this.draftAssignment(spec, choice, now)
    this.promisedRoom.placed(spec, draft, now)
    if (spec.isolatedAs !== undefined) this.#isolated.add(assignmentId(node, number), { server: choice.server.id, suspect: spec.isolatedAs })
    if (node === this.#options.node) this.assignments.start(draft, number)
    else this.assignments.grant(node, draft, number, now, this.#options.runningClock())
  }

  #countRequest (service: string): void {
    this.#retryBudgets.countRequest(service)
    this.hedges.countRequest(service)
  }

  #hedgeTerms ({ service, isFirstAttempt, isHedge }: PlacementSpec): { readonly isHedge?: true, readonly hedgeAfter?: Millis } {
    if (isHedge === true) return { isHedge }
    const hedgeAfter = isFirstAttempt ? this.hedges.delay(service) : null
    return hedgeAfter === null ? {} : { hedgeAfter }
  }

  #isLeaving (server: BackendServer): boolean {
    return this.#options.fleetState.servers.find(server.id)?.readiness === Readiness.Draining || this.statements.notices.isLeaving(server)
  }

  #loads (now: Millis): ServerLoads {
    return this.assignments.serverLoads(now, this.#options.runningClock())
  }

  #policyOf (service: Service): PlacementPolicy {
    if (service.engine !== null) return this.#enginePolicy
    return isUneven(service) ? this.unevenServers.policy : this.#plainPolicy
  }
}

/** Whether the request may crash the engine that gets it. */
const isRisky = ({ isSuspected, trialParts }: PlacementSpec): boolean => isSuspected || trialParts.length > 0

const withoutHeld = (candidates: readonly Candidate[], { held }: PlacementTerms): readonly Candidate[] =>
  held.size === 0 ? candidates : candidates.filter(({ server }) => !held.has(server.id))

const hasFreeSlot = ({ server }: PlacementChoice, loads: ServerLoads): boolean => {
  const { requests, withheldSlots } = loads.get(server.id)
  return requests.length + withheldSlots < server.slots
}

const summaryOf = ({ requests, pending }: ServerLoad): ChosenServerLoad =>
  ({ requests: requests.length, pendingPrefill: pending.reduce((sum, { remaining }) => sum + remaining, 0) })

/** Plain services have no prefill: every predicted time is 0. */
const PLAIN_SERVICE_FIGURES = {
  slots: 1, memory: 0, stepsPerPass: 0, step: 0, stepPerWriter: 0, stepPerThousandContext: 0, readTokensPerMs: 1, readPerMillionPairs: 0, usualAnswer: 0
}
