/** Gets the placement of this node's attempts from the scheduler of its group, or places them itself if none answers. */
import { setTimeout as sleep } from 'node:timers/promises'

import { describeRevision, HealthSignal, HedgeRefusal, RENEWAL_EXPIRY } from '@bluebellhill/domain'
import type { AttemptHistory, BackendServer, Millis, NodeId, PlacementChoice, Region, RunnerId, SchedulerDirectory, ServerNotice } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { AdmittedCall } from '../AdmittedCall.js'
import type { FleetState } from '../FleetState.js'
import type { DatagramContent, ReceivedDatagram } from '../peers/datagramCodec.js'
import { PendingQueries, QUERY_TIMING } from '../peers/PendingQueries.js'
import type { QueryTiming } from '../peers/PendingQueries.js'
import { HedgeTiming } from '../hedging/HedgeTiming.js'
import type { NodeQuarantine } from '../quarantine/NodeQuarantine.js'
import { AnswerStatements } from './AnswerStatements.js'
import { findRestriction } from './findRestriction.js'
import { GrantReports } from './GrantReports.js'
import { PlacementQueries } from './PlacementQueries.js'
import type { Decision } from './PlacementQueries.js'
import type { Scheduler } from './Scheduler.js'
import { NO_CAUTION, PlacementRefusal } from './types.js'
import type { AttemptPlacement, IdentifiedCaution, PlacedAttempt, PlacementSpec, PlacementWait } from './types.js'

/** Servers that are named in a repeated query because they have left or are evacuated, so that it stays within one datagram. */
const MAX_LEAVING_EXCLUDED = 32

/**
 * Age at which a grant is returned instead of used. This process was held up since it asked: its scheduler may have taken it for lost and given the
 * place away, which it does 1.4 s after a state report that is missing, and what it counted against a limit per second belongs to an earlier one.
 */
export const MAX_GRANT_AGE: Millis = 1_000

/** Decisions that are asked for while this node knows that a chosen server accepts no more requests. */
const MAX_DECISIONS = 3

/** Time before the deadline of a request at which it stops waiting for a placement, so that its caller still gets a refusal. */
const DEADLINE_MARGIN: Millis = 50

/** Terms of the placement of an attempt. */
export interface WaitTerms {
  /** Whether it may wait for memory or a slot of a backend server. */
  readonly mayWait: boolean
  /** Ends the wait, because the caller has left. */
  readonly signal?: AbortSignal
  /** Whether it is a second attempt beside one in progress. */
  readonly isHedge?: boolean
}

const MAY_WAIT: WaitTerms = { mayWait: true }

export interface PlacementClientOptions {
  readonly node: NodeId
  /** Scheduler of this node; it keeps this node's own assignments. */
  readonly scheduler: Scheduler
  readonly directory: SchedulerDirectory
  readonly fleetState: FleetState
  readonly log: Log
  readonly clock: () => Millis
  /** Sends a message to the node at an address. */
  readonly send: (address: string, content: DatagramContent) => void
  /** Called when this node has placed an attempt without the scheduler of its group, which has to learn of it. */
  readonly onUncoordinatedPlacement: () => void
  /** Called when a backend server has stated something to this node that the other nodes should know at once. */
  readonly onNotice: (notice: ServerNotice) => void
  /** Clock on which the silence of other nodes is measured. */
  readonly runningClock: () => Millis
  /** Returns how long it takes until what was said during a hold-up of this process is known; none if absent. */
  readonly settlingTime?: () => Millis
  /** When queries are repeated and given up; `QUERY_TIMING` if absent. */
  readonly queryTiming?: QueryTiming
}

/** Places attempts, and reports what becomes of them. */
export class PlacementClient {
  /** What backend servers state in their answers to this node. */
  readonly answers: AnswerStatements
  /** When attempts are late enough for a hedge. */
  readonly hedgeTiming: HedgeTiming
  readonly #options: PlacementClientOptions
  readonly #queries: PlacementQueries
  readonly #silenceQueries: PendingQueries<Millis>
  readonly #reports: GrantReports
  #nextSilenceQuery = 1

  /** @param options - the scheduler of this node and those of the others */
  constructor (options: PlacementClientOptions) {
    const { queryTiming = QUERY_TIMING } = options
    this.#options = options
    this.#queries = new PlacementQueries({ ...options, queryTiming, onWithdrawn: (address, number) => this.#reports.returned(address, number, '') })
    this.#silenceQueries = new PendingQueries(queryTiming)
    this.#reports = new GrantReports(options.send)
    this.hedgeTiming = new HedgeTiming(() => options.scheduler.hedges.maxRatio, options.clock)
    this.answers = new AnswerStatements({ ...options, statements: options.scheduler.statements })
  }

  /** Evidence on what crashes backend servers. */
  get quarantine (): NodeQuarantine {
    return this.#options.scheduler.quarantine
  }

  /** @returns addresses of the schedulers that keep assignments of this node */
  schedulersInUse (): ReadonlySet<string> {
    return this.#reports.schedulersInUse()
  }

  /**
   * Places the next attempt of a request.
   *
   * @param call - the request
   * @param history - its earlier attempts
   * @param chargesRetry - whether the attempt is taken from the retry budget
   * @param caution - how it and the parts of its prompt are judged, and its identity
   * @param terms - whether it may wait for memory or a slot, what ends the wait before the deadline of the request, and whether it is a hedge
   * @returns the placed attempt, whose assignment must be removed with `removeAssignment`; or why there is none
   */
  async place (call: AdmittedCall, history: AttemptHistory, chargesRetry: boolean, caution: IdentifiedCaution = NO_CAUTION, terms: WaitTerms = MAY_WAIT): Promise<AttemptPlacement> {
    const { scheduler, fleetState, clock } = this.#options
    const startedAt = clock()
    const restriction = findRestriction(fleetState, call.service.name, call.regions)
    if (restriction !== null) return restriction
    const wait: PlacementWait = { until: call.deadlineAt - DEADLINE_MARGIN, signal: terms.signal }
    const isHedge = terms.isHedge === true ? { isHedge: true } : {}
    let spec = specOf(call, history, { chargesRetry, acceptsQueueing: terms.mayWait && call.service.engine !== null, ...caution, ...isHedge }, this.answers.pausedServers())
    let hasRestriction = false
    for (let decisions = 0; decisions < MAX_DECISIONS; decisions += 1) {
      const number = scheduler.assignments.nextNumber()
      const askedAt = clock()
      // A scheduler of an earlier build knows neither evacuations nor regions, and may choose one excluded server after another.
      const isLast = decisions === MAX_DECISIONS - 1
      const decision = isLast && hasRestriction ? this.#queries.decideAlone(spec, number) : await this.#queries.decide(spec, number, wait)
      await this.settled()
      const age = clock() - (decision.outstandingAt ?? askedAt)
      if (isTooOld(decision, age)) {
        spec = this.#withoutGrant(spec, number, decision, age)
        continue
      }
      const missing = missingTerm(spec, decision)
      if (missing !== null) {
        this.#withoutChosen(spec, number, decision)
        return { type: 'refused', reason: missing, retryAfter: null }
      }
      if (this.#isUsable(spec, decision, age)) return this.#record(spec, number, decision, startedAt)
      hasRestriction ||= this.#isRestricted(spec, decision)
      spec = this.#withoutChosen(spec, number, decision)
    }
    return findRestriction(fleetState, spec.service, spec.regions) ?? { type: 'refused', reason: PlacementRefusal.NoServer, retryAfter: null }
  }

  /** Returns a grant that is too old, and asks for the same again. */
  #withoutGrant (spec: PlacementSpec, number: number, { result, scheduler: address }: Decision, age: Millis): PlacementSpec {
    if (result.type !== 'placed') return spec
    const { scheduler, clock, log } = this.#options
    const own = scheduler.assignments.findOwn(number)
    if (own !== null) scheduler.assignments.end(own, clock())
    else if (address !== null) this.#returnUnusedGrant(address, number, result.choice.server.id)
    log.info('grant.returned', { request: spec.request, scheduler: address ?? 'self', server: result.choice.server.id, age_ms: Math.round(age) })
    return { ...spec, chargesRetry: false, isFirstAttempt: false }
  }

  #record (spec: PlacementSpec, number: number, { result, scheduler: address }: Decision, startedAt: Millis): AttemptPlacement {
    const { scheduler, clock } = this.#options
    if (result.type === 'refused') return this.answers.explainRefusal(result, spec.service)
    if (result.type === 'redirected') return { type: 'refused', reason: 'no scheduler has accepted the request', retryAfter: null }
    const assignment = address === null
      ? scheduler.assignments.findOwn(number)
      : scheduler.assignments.start(scheduler.draftAssignment(spec, result.choice, clock()), number)
    if (assignment === null) return { type: 'refused', reason: 'the assignment is not recorded', retryAfter: null }
    if (address !== null) this.#reports.granted(assignment, address)
    const { choice, load, isTrial, hedgeAfter } = result
    const passedOver = [...new Set([...result.passedOver, ...this.answers.pausedServersOf(spec.service).map(({ id }) => id)])]
    const hedgeTerm = hedgeAfter === undefined ? {} : { hedgeAfter }
    return { type: 'placed', attempt: { choice, load, assignment, scheduler: address, passedOver, isTrial, regions: spec.regions, ...hedgeTerm, decidedIn: clock() - startedAt } }
  }

  /**
   * The scheduler may not know yet that a server has left or what it has stated to this node, and one of an earlier build never knows
   * statements or cold servers: this node then uses its own share of the server's request limit.
   */
  #isUsable ({ regions, isHedge }: PlacementSpec, { result }: Decision, age: Millis): boolean {
    if (result.type !== 'placed') return true
    const { scheduler, directory } = this.#options
    const { server } = result.choice
    if (this.#obstaclesIn(result.choice, regions).length > 0) return false
    if (isHedge === true && scheduler.statements.coldServers.left(server) > 0) return false
    if (scheduler.statements.coldServers.isTooLateFor(server, age)) return false
    const keepsLimits = result.keepsLimit && (result.keepsWarmUp === true || !scheduler.statements.coldServers.limits(server, this.#options.clock()))
    return keepsLimits || scheduler.statements.take(server, 1 / directory.size)
  }

  /** Whether a choice contains a server that no new request, or none of these regions, may reach. */
  #isRestricted ({ regions }: PlacementSpec, { result }: Decision): boolean {
    return result.type === 'placed' && this.#restrictedIn(result.choice, regions).length > 0
  }

  #restrictedIn ({ server, helpers }: PlacementChoice, regions?: readonly Region[]): BackendServer[] {
    const { restrictions } = this.#options.fleetState
    return [server, ...helpers].filter((participant) => !restrictions.permits(participant, regions))
  }

  /** Returns a grant, and excludes the servers that made it unusable from the next decision. */
  #withoutChosen (spec: PlacementSpec, number: number, { result, scheduler: address }: Decision): PlacementSpec {
    if (result.type !== 'placed') return spec
    const { scheduler, fleetState, clock, log } = this.#options
    const { server } = result.choice
    const own = scheduler.assignments.findOwn(number)
    if (own !== null) scheduler.assignments.end(own, clock())
    else if (address !== null) this.#returnUnusedGrant(address, number, server.id)
    const obstacles = this.#obstaclesIn(result.choice, spec.regions).map(({ id }) => id)
    const unusable = obstacles.length > 0 ? obstacles : [server.id]
    const evacuated = fleetState.restrictions.evacuated()
    log.info('grant.returned', { request: spec.request, scheduler: address ?? 'self', server: server.id, unusable: unusable.join(','), evacuated: evacuated.length === 0 ? undefined : evacuated.join(','), servers_revision: describeRevision(fleetState.serversRevision) })
    const restricted = fleetState.servers.ready(spec.service).filter((candidate) => !fleetState.restrictions.permits(candidate, spec.regions)).map(({ id }) => id)
    const leaving = [...fleetState.servers.leaving(spec.service), ...restricted].slice(0, MAX_LEAVING_EXCLUDED)
    return { ...spec, excluded: [...new Set([...spec.excluded, ...unusable, ...leaving])], chargesRetry: false, isFirstAttempt: false }
  }

  /** Returns the servers of a choice that have left, that accept no requests of this node now, or that the operator has excluded. */
  #obstaclesIn (choice: PlacementChoice, regions?: readonly Region[]): BackendServer[] {
    const { servers } = this.#options.fleetState
    const hasLeft = [choice.server, ...choice.helpers].filter(({ id }) => servers.hasLeft(id))
    return [...new Set([...hasLeft, ...this.answers.obstaclesIn(choice), ...this.#restrictedIn(choice, regions)])]
  }

  /** Records that the first event of an attempt has arrived: its prefill is finished. */
  prefillFinished ({ assignment }: PlacedAttempt): void {
    const { scheduler, clock } = this.#options
    scheduler.assignments.markPrefilled(assignment, clock())
    this.#reports.prefillFinished(assignment)
  }

  /**
   * Removes the assignment of an attempt that has ended.
   *
   * @param attempt - the attempt
   * @param signal - what it shows of its server; null if nothing
   * @param answeredIn - time from its sending to the end of its complete answer; absent if there is none
   */
  removeAssignment ({ assignment, choice, load }: PlacedAttempt, signal: HealthSignal | null, answeredIn?: Millis): void {
    const { scheduler, clock, node } = this.#options
    const serviceTime = answeredIn === undefined ? undefined : { time: answeredIn, requestsBefore: load.requests }
    scheduler.assignments.end(assignment, clock())
    scheduler.hedges.attemptEnded(assignment, signal)
    if (signal !== null) scheduler.recordHealthSignal(choice.server, signal)
    if (serviceTime !== undefined) scheduler.unevenServers.observe(choice.server.id, serviceTime, node)
    this.#reports.ended(assignment, signal, serviceTime)
  }

  /** Records the pause between two events of a stream, for the slowdown estimate of its engine. */
  observePause (call: AdmittedCall, { assignment, choice }: PlacedAttempt, pause: Millis): void {
    if (call.service.engine === null) return
    const { scheduler } = this.#options
    const passTime = scheduler.modelOf(call.service).passTime(1, call.size.prompt)
    scheduler.observePause(choice.server, pause, passTime)
    this.#reports.observePause(assignment, pause / passTime)
  }

  /** Records the server at an address as unreachable, after another server reported that a request failed because of it. */
  reportUnreachableAddress (address: string): void {
    const server = this.#options.fleetState.servers.all().find((candidate) => candidate.address === address)
    if (server !== undefined) this.reportUnreachable(server)
  }

  /** Records a server as unreachable. */
  reportUnreachable (server: BackendServer): void {
    this.#reportSignal(server, HealthSignal.Unreachable)
  }

  /** Records that the server of an attempt in progress sends no data. */
  reportSilence ({ choice }: PlacedAttempt): void {
    this.#reportSignal(choice.server, HealthSignal.Bad)
  }

  /** Waits, after this process was held up for long, until it knows of evacuations that have begun meanwhile. */
  async settled (): Promise<void> {
    const { settlingTime = () => 0 } = this.#options
    for (let left = settlingTime(); left > 0; left = settlingTime()) await sleep(left)
  }

  /**
   * @param attempt - a placed attempt that has not been sent yet
   * @returns why it must not be sent any more; null if it may
   */
  obstacleTo ({ choice, regions, assignment, decidedIn }: PlacedAttempt): string | null {
    const { scheduler, clock, fleetState } = this.#options
    const age = clock() - assignment.sentAt + decidedIn
    if (scheduler.statements.coldServers.isTooLateFor(choice.server, age)) return `server ${choice.server.id} is cold, and it was placed ${Math.round(age)} ms ago`
    const [server] = this.#obstaclesIn(choice, regions)
    if (server === undefined) return null
    const isEvacuated = fleetState.restrictions.isEvacuated(server.failureDomain)
    return isEvacuated ? `failure domain ${server.failureDomain} of server ${server.id} is evacuated` : `server ${server.id} accepts no requests of this node now`
  }

  /**
   * @param attempt - an attempt whose server sends no data
   * @returns how long known prefills still explain this; 0 if they do not
   */
  async explainedSilence ({ assignment, choice }: PlacedAttempt): Promise<Millis> {
    const { scheduler, send } = this.#options
    const address = this.#reports.schedulerOf(assignment)
    if (address === null) return scheduler.explainedSilence(choice.server.id)
    const number = this.#nextSilenceQuery++
    const query: DatagramContent = { $case: 'silenceQuery', value: { number, server: choice.server.id } }
    return await this.#silenceQueries.ask(number, () => send(address, query)) ?? scheduler.explainedSilence(choice.server.id)
  }

  /** @returns the predicted prefill time of a request on one idle engine */
  prefillTime ({ service, size }: AdmittedCall): Millis {
    return this.#options.scheduler.modelOf(service).prefillTime(size.prompt)
  }

  /**
   * Handles a message, if it is a reply to a query of this node.
   *
   * @param message - the message
   * @param address - `ip:port` of its sender
   */
  handle ({ node, content }: ReceivedDatagram, address: string): void {
    const { directory } = this.#options
    if (content.$case === 'silenceReply') {
      this.#silenceQueries.answer(content.value.number, content.value.explainedMs)
    } else if (content.$case === 'placementReply') {
      directory.heard(node, null, this.#options.runningClock())
      const { number, result } = content.value
      if (!this.#queries.answer(content.value, address) && result?.$case === 'placement') this.#returnUnusedGrant(address, number, result.value.server?.id ?? '')
    }
  }

  dispose (): void {
    this.#reports.dispose()
  }

  /** Frees the place of a reply that came too late or twice, unless the attempt is in progress. */
  #returnUnusedGrant (address: string, number: number, server: string): void {
    if (this.#options.scheduler.assignments.findOwn(number) !== null) return
    this.#reports.returned(address, number, server)
  }

  #reportSignal (server: BackendServer, signal: HealthSignal): void {
    const { scheduler, directory, node } = this.#options
    scheduler.recordHealthSignal(server, signal)
    const group = directory.scheduler(this.#options.runningClock())
    if (group.node !== node) this.#reports.signal(group.address, server.id, signal)
  }
}

/** A decision that this node has just made itself is used at once; one for a request that waited may have been made while nobody took it up. */
const isTooOld = ({ result, scheduler, outstandingAt }: Decision, age: Millis): boolean => {
  if (result.type !== 'placed') return false
  if (outstandingAt !== undefined) return age > RENEWAL_EXPIRY
  return scheduler !== null && age > MAX_GRANT_AGE
}

/** Schedulers of earlier builds place a trial or a hedge like any other attempt. Returns why the grant must not be used; null if it may. */
const missingTerm = ({ trialParts, isHedge }: PlacementSpec, { result }: Decision): string | null => {
  if (result.type !== 'placed') return null
  if (trialParts.length > 0 && !result.isTrial) return PlacementRefusal.Quarantined
  return isHedge === true && result.isHedge !== true ? HedgeRefusal.Off : null
}

const specOf = (call: AdmittedCall, history: AttemptHistory, terms: IdentifiedCaution & Pick<PlacementSpec, 'chargesRetry' | 'acceptsQueueing' | 'isHedge'>, paused: readonly RunnerId[]): PlacementSpec => ({
  request: call.id,
  service: call.service.name,
  size: call.size,
  objective: call.route.objective,
  dueAt: call.dueAt,
  pauseObjective: call.route.pauseObjective,
  excluded: [...history.triedServers(), ...paused],
  allowed: history.permittedServers(),
  isRedirected: false,
  isFirstAttempt: history.triedServers().length === 0,
  ...(call.organisation === null ? {} : { organisation: call.organisation }),
  urgency: call.urgency,
  ...(call.regions === undefined ? {} : { regions: call.regions }),
  ...terms
})
