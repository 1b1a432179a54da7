/** Gets the placement of this node's attempts from the scheduler of its group, or places them itself if none answers. */
import { describeRevision, HealthSignal, HedgeRefusal } from '@bluebellhill/domain'
import type { AttemptHistory, BackendServer, Millis, NodeId, PlacementChoice, RunnerId, SchedulerDirectory, ServerNotice } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { AdmittedCall } from '../AdmittedCall.js'
import type { FleetState } from '../FleetState.js'
import type { DatagramContent, ReceivedDatagram } from '../peers/datagramCodec.js'
import { PendingQueries, QUERY_TIMING } from '../peers/PendingQueries.js'
import type { QueryTiming } from '../peers/PendingQueries.js'
import { HedgeTiming } from '../hedging/HedgeTiming.js'
import type { NodeQuarantine } from '../quarantine/NodeQuarantine.js'
import { AnswerStatements } from './AnswerStatements.js'
import { GrantReports } from './GrantReports.js'
import { PlacementQueries } from './PlacementQueries.js'
import type { Decision } from './PlacementQueries.js'
import type { Scheduler } from './Scheduler.js'
import { NO_CAUTION, PlacementRefusal } from './types.js'
import type { AttemptCaution, AttemptPlacement, PlacedAttempt, PlacementSpec } from './types.js'

/** Known departures that are named in a repeated query, so that it stays within one datagram. */
const MAX_LEAVING_EXCLUDED = 32

/** Decisions that are asked for while this node knows that a chosen server accepts no more requests. */
const MAX_DECISIONS = 3

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
    this.#queries = new PlacementQueries({ ...options, queryTiming })
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
   * @param caution - how it and the parts of its prompt are judged
   * @param isHedge - whether it is a second attempt beside one in progress
   * @returns the placed attempt, whose assignment must be removed with `removeAssignment`; or why there is none
   */
  async place (call: AdmittedCall, history: AttemptHistory, chargesRetry: boolean, caution: AttemptCaution = NO_CAUTION, isHedge = false): Promise<AttemptPlacement> {
    const { scheduler, clock } = this.#options
    const startedAt = clock()
    let spec = specOf(call, history, { chargesRetry, ...caution, ...(isHedge ? { isHedge } : {}) }, this.answers.pausedServers())
    for (let decisions = 0; decisions < MAX_DECISIONS; decisions += 1) {
      const number = scheduler.assignments.nextNumber()
      const decision = await this.#queries.decide(spec, number)
      const missing = missingTerm(spec, decision)
      if (missing !== null) {
        this.#withoutChosen(spec, number, decision)
        return { type: 'refused', reason: missing, retryAfter: null }
      }
      if (this.#isUsable(decision)) return this.#record(spec, number, decision, startedAt)
      spec = this.#withoutChosen(spec, number, decision)
    }
    return { type: 'refused', reason: PlacementRefusal.NoServer, retryAfter: null }
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
    return { type: 'placed', attempt: { choice, load, assignment, scheduler: address, passedOver, isTrial, ...(hedgeAfter === undefined ? {} : { hedgeAfter }), decidedIn: clock() - startedAt } }
  }

  /**
   * The scheduler may not know yet that a server has left or what it has stated to this node, and one of an earlier build never knows
   * statements: this node then uses its own share of the server's request limit.
   */
  #isUsable ({ result }: Decision): boolean {
    if (result.type !== 'placed') return true
    const { scheduler, directory } = this.#options
    const { server } = result.choice
    if (this.#obstaclesIn(result.choice).length > 0) return false
    return result.keepsLimit || scheduler.statements.take(server, 1 / directory.size)
  }

  /** Returns a grant, and excludes the servers that made it unusable from the next decision. */
  #withoutChosen (spec: PlacementSpec, number: number, { result, scheduler: address }: Decision): PlacementSpec {
    if (result.type !== 'placed') return spec
    const { scheduler, fleetState, clock, log } = this.#options
    const { server } = result.choice
    const own = scheduler.assignments.findOwn(number)
    if (own !== null) scheduler.assignments.end(own, clock())
    else if (address !== null) this.#returnUnusedGrant(address, number, server.id)
    const obstacles = this.#obstaclesIn(result.choice).map(({ id }) => id)
    const unusable = obstacles.length > 0 ? obstacles : [server.id]
    log.info('grant.returned', { request: spec.request, scheduler: address ?? 'self', server: server.id, unusable: unusable.join(','), servers_revision: describeRevision(fleetState.serversRevision) })
    const leaving = fleetState.servers.leaving(spec.service).slice(0, MAX_LEAVING_EXCLUDED)
    return { ...spec, excluded: [...new Set([...spec.excluded, ...unusable, ...leaving])], chargesRetry: false, isFirstAttempt: false }
  }

  /** Returns the servers of a choice that have left, or that accept no requests of this node now. */
  #obstaclesIn (choice: PlacementChoice): BackendServer[] {
    const { servers } = this.#options.fleetState
    const hasLeft = [choice.server, ...choice.helpers].filter(({ id }) => servers.hasLeft(id))
    return [...new Set([...hasLeft, ...this.answers.obstaclesIn(choice)])]
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
   */
  removeAssignment ({ assignment, choice }: PlacedAttempt, signal: HealthSignal | null): void {
    const { scheduler, clock } = this.#options
    scheduler.assignments.end(assignment, clock())
    scheduler.hedges.attemptEnded(assignment, signal)
    if (signal !== null) scheduler.recordHealthSignal(choice.server, signal)
    this.#reports.ended(assignment, signal)
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

  /**
   * @param attempt - a placed attempt that has not been sent yet
   * @returns why it must not be sent any more; null if it may
   */
  obstacleTo ({ choice }: PlacedAttempt): string | null {
    const [server] = this.#obstaclesIn(choice)
    return server === undefined ? null : `server ${server.id} accepts no requests of this node now`
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
      if (!this.#queries.answer(content.value) && result?.$case === 'placement') this.#returnUnusedGrant(address, number, result.value.server?.id ?? '')
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

/** Schedulers of earlier builds place a trial or a hedge like any other attempt. Returns why the grant must not be used; null if it may. */
const missingTerm = ({ trialParts, isHedge }: PlacementSpec, { result }: Decision): string | null => {
  if (result.type !== 'placed') return null
  if (trialParts.length > 0 && !result.isTrial) return PlacementRefusal.Quarantined
  return isHedge === true && result.isHedge !== true ? HedgeRefusal.Off : null
}

const specOf = (call: AdmittedCall, history: AttemptHistory, terms: AttemptCaution & Pick<PlacementSpec, 'chargesRetry' | 'isHedge'>, paused: readonly RunnerId[]): PlacementSpec => ({
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
  ...terms
})
