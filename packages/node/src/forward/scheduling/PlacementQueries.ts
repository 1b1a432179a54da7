/** Has attempts decided on by the scheduler of this node's group, or by this node's own scheduler if no other one answers. */
import type { Millis, NodeId, SchedulerDirectory } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { FleetState } from '../FleetState.js'
import { decodeReply, encodeQuery } from '../peers/datagramCodec.js'
import type { DatagramContent } from '../peers/datagramCodec.js'
import { PendingQueries } from '../peers/PendingQueries.js'
import type { QueryTiming } from '../peers/PendingQueries.js'
import type { Scheduler } from './Scheduler.js'
import { GROUP_CONTEXT, PlacementRefusal } from './types.js'
import type { FinalPlacement, PlacementContext, PlacementResult, PlacementSpec, PlacementWait } from './types.js'

/** Schedulers that are asked before this node decides itself; for a trial only one, since a silent one may have granted it. */
const MAX_SCHEDULERS_ASKED = 2

/** Interval at which a waiting request notices that it has no decision yet, so that the age of one that arrives is known: cold servers need it within 100 ms. */
const INPUT_CHECK_PERIOD: Millis = 50

/** Start of the own process in the keys of requests that wait at the scheduler of this node. */
const OWN_PROCESS = 0

/** Reply of a scheduler, as it is received. */
type PlacementReply = Parameters<typeof decodeReply>[0]

/** Reply of another scheduler, or decision of this node's own about a request that has waited. */
type PlacementAnswer = { readonly reply: PlacementReply } | { readonly decided: PlacementResult }

/** The scheduler that is asked; the address is null for this node. */
interface AskedScheduler {
  readonly node: NodeId
  readonly address: string | null
}

export interface PlacementQueriesOptions {
  readonly node: NodeId
  /** Scheduler of this node. */
  readonly scheduler: Scheduler
  readonly directory: SchedulerDirectory
  readonly fleetState: FleetState
  readonly log: Log
  readonly clock: () => Millis
  /** Clock on which the silence of other nodes is measured. */
  readonly runningClock: () => Millis
  /** Sends a message to the node at an address. */
  readonly send: (address: string, content: DatagramContent) => void
  /** Called when this node has placed an attempt without the scheduler of its group, which has to learn of it. */
  readonly onUncoordinatedPlacement: () => void
  /** Called when a request no longer waits at the scheduler at an address. */
  readonly onWithdrawn: (address: string, number: number) => void
  /** When queries are repeated and given up. */
  readonly queryTiming: QueryTiming
}

/** A decision and the scheduler that made it; the address is null for this node. */
export interface Decision {
  readonly result: FinalPlacement
  readonly scheduler: string | null
  /** Time at which a request that has waited had no decision yet: it is older than that only by the way of the message. Absent if it has not waited. */
  readonly outstandingAt?: Millis
}

/** Queries for the placement of attempts. */
export class PlacementQueries {
  readonly #options: PlacementQueriesOptions
  readonly #pending: PendingQueries<PlacementAnswer>
  /** Address of the scheduler that was asked last about an attempt without a decision, by number; null if it is this node. */
  readonly #asked = new Map<number, string | null>()

  /** @param options - the scheduler of this node and those of the others */
  constructor (options: PlacementQueriesOptions) {
    this.#options = options
    this.#pending = new PendingQueries(options.queryTiming)
  }

  /**
   * Has one attempt decided on.
   *
   * @param spec - the attempt
   * @param number - number of its assignment at this node
   * @param wait - how long it may wait, if its scheduler lets it
   * @returns the decision
   */
  async decide (spec: PlacementSpec, number: number, wait: PlacementWait): Promise<Decision> {
    try {
      return await this.#askSchedulers(spec, number, wait)
    } finally {
      this.#asked.delete(number)
    }
  }

  /**
   * Decides on one attempt without asking another node.
   *
   * @param spec - the attempt
   * @param number - number of its assignment at this node
   * @returns the decision
   */
  decideAlone (spec: PlacementSpec, number: number): Decision {
    return this.#decideAlone(spec, number, this.#loneContext())
  }

  /**
   * Takes the reply to a query.
   *
   * @param reply - the reply
   * @param address - scheduler that sent it
   * @returns whether the query was waiting for it
   */
  answer (reply: PlacementReply, address: string): boolean {
    return this.#asked.get(reply.number) === address && this.#pending.answer(reply.number, { reply })
  }

  async #askSchedulers (spec: PlacementSpec, number: number, wait: PlacementWait): Promise<Decision> {
    const { directory, node, log, runningClock } = this.#options
    const schedulersAsked = spec.trialParts.length > 0 ? 1 : MAX_SCHEDULERS_ASKED
    let current = spec
    for (let unanswered = 0; unanswered < schedulersAsked;) {
      const candidate = directory.scheduler(runningClock())
      const asked: AskedScheduler = { node: candidate.node, address: candidate.node === node ? null : candidate.address }
      const startedAt = this.#options.clock()
      const first = await this.#ask(asked, current, number)
      const decision = first?.type === 'queued' ? await this.#renew(asked, current, number, wait, first.renewAfter) : first === null ? null : { result: first, scheduler: asked.address }
      if (first?.type === 'queued') current = afterWait(current, this.#options.clock() - startedAt)
      if (decision === 'moved') continue
      if (decision !== null) return await this.#followRedirect(decision, current, number)
      unanswered += 1
      directory.unanswered(candidate.node)
      log.warn('scheduler.unanswered', { request: spec.request, scheduler: candidate.node, waited_ms: current.waited === undefined ? undefined : Math.round(current.waited) })
    }
    return this.#decideAlone({ ...current, acceptsQueueing: false }, number, this.#loneContext())
  }

  /**
   * Renews the query of a request that waits, until it is decided on.
   *
   * @returns null if the scheduler no longer answers; `moved` if another one has taken its place
   */
  async #renew (asked: AskedScheduler, spec: PlacementSpec, number: number, wait: PlacementWait, period: Millis): Promise<Decision | 'moved' | null> {
    const { clock, directory, runningClock, log } = this.#options
    const startedAt = clock()
    log.info('request.queued', { request: spec.request, scheduler: asked.node, renew_ms: period, waited_ms: Math.round(spec.waited ?? 0) })
    let askedAt = startedAt
    for (;;) {
      const decision = await this.#expect(asked, spec, number, wait, askedAt + period)
      if (decision !== null) return decision
      const now = clock()
      const isOver = wait.signal?.aborted === true || now >= wait.until
      const hasMoved = directory.scheduler(runningClock()).node !== asked.node
      if (isOver || hasMoved) this.#withdraw(asked, number)
      if (isOver) {
        log.info('request.withdrawn', { request: spec.request, scheduler: asked.node, caller_left: wait.signal?.aborted === true, queued_ms: Math.round(now - startedAt) })
        return { result: { type: 'refused', reason: PlacementRefusal.TooLate, retryAfter: null }, scheduler: asked.address }
      }
      if (hasMoved) return 'moved'
      askedAt = now
      const renewed = await this.#ask(asked, afterWait(spec, now - startedAt), number)
      if (renewed === null) return null
      if (renewed.type !== 'queued') return { result: renewed, scheduler: asked.address, outstandingAt: askedAt }
    }
  }

  /** Waits for the decision about a request that waits; null if there is none until a time, or the wait has ended. */
  async #expect (asked: AskedScheduler, spec: PlacementSpec, number: number, { until, signal }: PlacementWait, renewAt: Millis): Promise<Decision | null> {
    const { clock } = this.#options
    const end = Math.min(renewAt, until)
    for (let now = clock(); now < end && signal?.aborted !== true; now = clock()) {
      const answer = await this.#pending.expect(number, Math.min(INPUT_CHECK_PERIOD, end - now), signal)
      const result = answer === null ? null : this.#read(asked, answer, spec)
      if (result !== null && result.type !== 'queued') return { result, scheduler: asked.address, outstandingAt: now }
    }
    return null
  }

  #withdraw ({ address }: AskedScheduler, number: number): void {
    const { scheduler, node, onWithdrawn } = this.#options
    this.#asked.delete(number)
    if (address === null) scheduler.admission.withdraw({ node, startedAt: OWN_PROCESS, number })
    else onWithdrawn(address, number)
  }

  /** If a group cannot serve the request in time, its scheduler names that of another group, which is asked once. */
  async #followRedirect (decision: Decision, spec: PlacementSpec, number: number): Promise<Decision> {
    const { result, scheduler } = decision
    if (result.type !== 'redirected') return decision
    const redirected = await this.#ask({ node: this.#options.node, address: result.address }, { ...spec, isRedirected: true }, number)
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

  /** @returns the reply of a scheduler; null if there is none in time, or none that can be read */
  async #ask (asked: AskedScheduler, spec: PlacementSpec, number: number): Promise<PlacementResult | null> {
    const { send, clock, scheduler, node } = this.#options
    const { address } = asked
    this.#asked.set(number, address)
    if (address === null) {
      const deliver = (decided: PlacementResult): void => { this.#pending.answer(number, { decided }) }
      return scheduler.admission.place(spec, { node, number }, { startedAt: OWN_PROCESS, deliver })
    }
    const answer = await this.#pending.ask(number, () => send(address, { $case: 'placementQuery', value: encodeQuery(spec, number, clock()) }))
    return answer === null ? null : this.#read(asked, answer, spec)
  }

  #read ({ address }: AskedScheduler, answer: PlacementAnswer, { service, request }: PlacementSpec): PlacementResult | null {
    const { clock, fleetState, log } = this.#options
    if ('decided' in answer) return answer.decided
    try {
      return decodeReply(answer.reply, service, (id) => fleetState.servers.find(id), clock())
    } catch (error) {
      log.warn('scheduler.reply_malformed', { request, scheduler: address ?? 'self', reason: error instanceof Error ? error.message : String(error) })
      return null
    }
  }
}

/** The query of a request that has waited: it has been counted, and its retry has been taken from the budget, when it began to wait. */
const afterWait = (spec: PlacementSpec, waited: Millis): PlacementSpec =>
  ({ ...spec, waited: Math.max(1, (spec.waited ?? 0) + waited), chargesRetry: false, isFirstAttempt: false })
