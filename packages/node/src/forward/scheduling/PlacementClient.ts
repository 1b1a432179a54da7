/** Gets the placement of this node's attempts from the scheduler of its group, or places them itself if none answers. */
import { assignmentNumber, describeRevision, HealthSignal, SLOWDOWN_SAMPLE_COUNT } from '@bluebellhill/domain'
import type { Assignment, AttemptHistory, BackendServer, Millis, NodeId, PlacementChoice, RunnerId, SchedulerDirectory, ServerNotice } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { AdmittedCall } from '../AdmittedCall.js'
import type { FleetState } from '../FleetState.js'
import { decodeReply, encodeQuery } from '../peers/datagramCodec.js'
import type { DatagramContent, ReceivedDatagram } from '../peers/datagramCodec.js'
import { PendingQueries, QUERY_TIMING } from '../peers/PendingQueries.js'
import type { QueryTiming } from '../peers/PendingQueries.js'
import type { PromptQuarantine } from '../quarantine/PromptQuarantine.js'
import { AnswerStatements } from './AnswerStatements.js'
import { ReportQueue } from './ReportQueue.js'
import type { Scheduler } from './Scheduler.js'
import { GROUP_CONTEXT, NO_CAUTION, PlacementRefusal } from './types.js'
import type { AttemptCaution, AttemptPlacement, PlacedAttempt, PlacementContext, PlacementResult, PlacementSpec } from './types.js'

/** Schedulers that are asked before this node decides itself; for a trial only one, since a silent one may have granted it. */
const MAX_SCHEDULERS_ASKED = 2

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
  /** Clock on which the silence of other nodes is measured; `clock` if absent. */
  readonly runningClock?: () => Millis
  /** When queries are repeated and given up; `QUERY_TIMING` if absent. */
  readonly queryTiming?: QueryTiming
}

/** A decision and the scheduler that made it; the address is null for this node. */
interface Decision {
  readonly result: PlacementResult
  readonly scheduler: string | null
}

/** Places attempts, and reports what becomes of them. */
export class PlacementClient {
  /** What backend servers state in their answers to this node. */
  readonly answers: AnswerStatements
  readonly #options: PlacementClientOptions
  readonly #placementQueries: PendingQueries<Parameters<typeof decodeReply>[0]>
  readonly #silenceQueries: PendingQueries<Millis>
  /** Address of the scheduler that keeps an assignment, by assignment id. */
  readonly #schedulers = new Map<string, string>()
  /** Last pauses of each stream over the published pass time, by assignment id. */
  readonly #pauses = new Map<string, number[]>()
  readonly #reports: ReportQueue
  readonly #runningClock: () => Millis
  #nextSilenceQuery = 1

  /** @param options - the scheduler of this node and those of the others */
  constructor (options: PlacementClientOptions) {
    const timing = options.queryTiming ?? QUERY_TIMING
    this.#options = options
    this.#placementQueries = new PendingQueries(timing)
    this.#silenceQueries = new PendingQueries(timing)
    this.#runningClock = options.runningClock ?? options.clock
    this.#reports = new ReportQueue(options.send)
    this.answers = new AnswerStatements({ ...options, statements: options.scheduler.statements })
  }

  /** Evidence on prompt parts that crash engines. */
  get quarantine (): PromptQuarantine {
    return this.#options.scheduler.quarantine
  }

  /** @returns addresses of the schedulers that keep assignments of this node */
  schedulersInUse (): ReadonlySet<string> {
    return new Set(this.#schedulers.values())
  }

  /**
   * Places the next attempt of a request.
   *
   * @param call - the request
   * @param history - its earlier attempts
   * @param chargesRetry - whether the attempt is taken from the retry budget
   * @param caution - how the parts of its prompt are judged
   * @returns the placed attempt, whose assignment must be removed with `removeAssignment`; or why there is none
   */
  async place (call: AdmittedCall, history: AttemptHistory, chargesRetry: boolean, caution: AttemptCaution = NO_CAUTION): Promise<AttemptPlacement> {
    const { scheduler, clock } = this.#options
    const startedAt = clock()
    let spec = specOf(call, history, { chargesRetry, ...caution }, this.answers.pausedServers())
    for (let decisions = 0; decisions < MAX_DECISIONS; decisions += 1) {
      const number = scheduler.assignments.nextNumber()
      const decision = await this.#decide(spec, number)
      if (isTrialMissing(spec, decision)) {
        this.#withoutChosen(spec, number, decision)
        return { type: 'refused', reason: PlacementRefusal.Quarantined, retryAfter: null }
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
    if (address !== null) this.#schedulers.set(assignment.id, address)
    const { choice, load, isTrial } = result
    const passedOver = [...new Set([...result.passedOver, ...this.answers.pausedServersOf(spec.service).map(({ id }) => id)])]
    return { type: 'placed', attempt: { choice, load, assignment, scheduler: address, passedOver, isTrial, decidedIn: clock() - startedAt } }
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
    this.#report(assignment, false, null)
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
    if (signal !== null) scheduler.recordHealthSignal(choice.server, signal)
    this.#report(assignment, true, signal)
    this.#schedulers.delete(assignment.id)
    this.#pauses.delete(assignment.id)
  }

  /** Records the pause between two events of a stream, for the slowdown estimate of its engine. */
  observePause (call: AdmittedCall, { assignment, choice }: PlacedAttempt, pause: Millis): void {
    if (call.service.engine === null) return
    const { scheduler } = this.#options
    const passTime = scheduler.modelOf(call.service).passTime(1, call.size.prompt)
    scheduler.observePause(choice.server, pause, passTime)
    const ratios = this.#pauses.get(assignment.id) ?? []
    this.#pauses.set(assignment.id, ratios)
    ratios.push(pause / passTime)
    if (ratios.length > SLOWDOWN_SAMPLE_COUNT) ratios.shift()
  }

  /** Records the server at an address as unreachable, after another server reported that a request failed because of it. */
  reportUnreachableAddress (address: string): void {
    const server = this.#options.fleetState.servers.all().find((candidate) => candidate.address === address)
    if (server !== undefined) this.#reportSignal(server, HealthSignal.Unreachable)
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
    const address = this.#schedulers.get(assignment.id)
    if (address === undefined) return scheduler.explainedSilence(choice.server.id)
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
      directory.heard(node, null, this.#runningClock())
      const { number, result } = content.value
      if (!this.#placementQueries.answer(number, content.value) && result?.$case === 'placement') this.#returnUnusedGrant(address, number, result.value.server?.id ?? '')
    }
  }

  dispose (): void {
    this.#reports.dispose()
  }

  async #decide (spec: PlacementSpec, number: number): Promise<Decision> {
    const { directory, node, log, scheduler } = this.#options
    const schedulersAsked = spec.trialParts.length > 0 ? 1 : MAX_SCHEDULERS_ASKED
    for (let asked = 0; asked < schedulersAsked; asked += 1) {
      const candidate = directory.scheduler(this.#runningClock())
      if (candidate.node === node) return await this.#followRedirect(scheduler.place(spec, { node, number }, GROUP_CONTEXT), null, spec, number)
      const result = await this.#ask(candidate.address, spec, number)
      if (result !== null) return await this.#followRedirect(result, candidate.address, spec, number)
      directory.unanswered(candidate.node)
      log.warn('scheduler.unanswered', { request: spec.request, scheduler: candidate.node })
    }
    return this.#decideAlone(spec, number, this.#loneContext())
  }

  /** If a group cannot serve the request in time, its scheduler names that of another group, which is asked once. */
  async #followRedirect (result: PlacementResult, scheduler: string | null, spec: PlacementSpec, number: number): Promise<Decision> {
    if (result.type !== 'redirected') return { result, scheduler }
    const redirected = await this.#ask(result.address, { ...spec, isRedirected: true }, number)
    if (redirected?.type === 'placed') return { result: redirected, scheduler: result.address }
    return this.#decideAlone({ ...spec, isRedirected: true }, number, scheduler === null ? GROUP_CONTEXT : this.#loneContext())
  }

  /** The other nodes may decide alone at the same time. */
  #loneContext (): PlacementContext {
    const { scheduler, clock, directory } = this.#options
    return { unseenArrivals: scheduler.assignments.recentArrivals(clock()), limitShare: 1 / directory.size, isGroupDecision: false }
  }

  #decideAlone (spec: PlacementSpec, number: number, context: PlacementContext): Decision {
    const { scheduler, node, onUncoordinatedPlacement } = this.#options
    const result = scheduler.place(spec, { node, number }, context)
    if (result.type === 'placed') onUncoordinatedPlacement()
    return { result, scheduler: null }
  }

  async #ask (address: string, spec: PlacementSpec, number: number): Promise<PlacementResult | null> {
    const { send, clock, fleetState, log } = this.#options
    const reply = await this.#placementQueries.ask(number, () => send(address, { $case: 'placementQuery', value: encodeQuery(spec, number, clock()) }))
    if (reply === null) return null
    try {
      return decodeReply(reply, spec.service, (id) => fleetState.servers.find(id), clock())
    } catch (error) {
      log.warn('scheduler.reply_malformed', { request: spec.request, scheduler: address, reason: error instanceof Error ? error.message : String(error) })
      return null
    }
  }

  /** Frees the place of a reply that came too late or twice, unless the attempt is in progress. */
  #returnUnusedGrant (address: string, number: number, server: string): void {
    if (this.#options.scheduler.assignments.findOwn(number) !== null) return
    this.#reports.add(address, { number, isEnded: true, server: server as RunnerId, signal: null, slowdown: null })
  }

  #reportSignal (server: BackendServer, signal: HealthSignal): void {
    const { scheduler, directory, node } = this.#options
    scheduler.recordHealthSignal(server, signal)
    const group = directory.scheduler(this.#runningClock())
    if (group.node !== node) this.#reports.add(group.address, { number: 0, isEnded: false, server: server.id, signal, slowdown: null })
  }

  #report (assignment: Assignment, isEnded: boolean, signal: HealthSignal | null): void {
    const address = this.#schedulers.get(assignment.id)
    if (address === undefined) return
    const ratios = isEnded ? this.#pauses.get(assignment.id) ?? [] : []
    const slowdown = ratios.length < SLOWDOWN_SAMPLE_COUNT ? null : Math.min(...ratios)
    this.#reports.add(address, { number: assignmentNumber(assignment), isEnded, server: assignment.server, signal, slowdown })
  }
}

/** Schedulers of earlier builds place a trial like any other attempt. */
const isTrialMissing = ({ trialParts }: PlacementSpec, { result }: Decision): boolean => trialParts.length > 0 && result.type === 'placed' && !result.isTrial

const specOf = (call: AdmittedCall, history: AttemptHistory, terms: AttemptCaution & Pick<PlacementSpec, 'chargesRetry'>, paused: readonly RunnerId[]): PlacementSpec => ({
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
