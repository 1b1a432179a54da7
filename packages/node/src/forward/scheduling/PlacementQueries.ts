/** Has attempts decided on by the scheduler of this node's group, or by this node's own scheduler if no other one answers. */
import type { Millis, NodeId, SchedulerDirectory } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { FleetState } from '../FleetState.js'
import { decodeReply, encodeQuery } from '../peers/datagramCodec.js'
import type { DatagramContent } from '../peers/datagramCodec.js'
import { PendingQueries } from '../peers/PendingQueries.js'
import type { QueryTiming } from '../peers/PendingQueries.js'
import type { Scheduler } from './Scheduler.js'
import { GROUP_CONTEXT } from './types.js'
import type { PlacementContext, PlacementResult, PlacementSpec } from './types.js'

/** Schedulers that are asked before this node decides itself; for a trial only one, since a silent one may have granted it. */
const MAX_SCHEDULERS_ASKED = 2

/** Reply of a scheduler, as it is received. */
type PlacementReply = Parameters<typeof decodeReply>[0]

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
  /** When queries are repeated and given up. */
  readonly queryTiming: QueryTiming
}

/** A decision and the scheduler that made it; the address is null for this node. */
export interface Decision {
  readonly result: PlacementResult
  readonly scheduler: string | null
}

/** Queries for the placement of attempts. */
export class PlacementQueries {
  readonly #options: PlacementQueriesOptions
  readonly #pending: PendingQueries<PlacementReply>

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
   * @returns the decision
   */
  async decide (spec: PlacementSpec, number: number): Promise<Decision> {
    const { directory, node, log, scheduler, runningClock } = this.#options
    const schedulersAsked = spec.trialParts.length > 0 ? 1 : MAX_SCHEDULERS_ASKED
    for (let asked = 0; asked < schedulersAsked; asked += 1) {
      const candidate = directory.scheduler(runningClock())
      if (candidate.node === node) return await this.#followRedirect(scheduler.place(spec, { node, number }, GROUP_CONTEXT), null, spec, number)
      const result = await this.#ask(candidate.address, spec, number)
      if (result !== null) return await this.#followRedirect(result, candidate.address, spec, number)
      directory.unanswered(candidate.node)
      log.warn('scheduler.unanswered', { request: spec.request, scheduler: candidate.node })
    }
    return this.#decideAlone(spec, number, this.#loneContext())
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
   * @returns whether the query was waiting for it
   */
  answer (reply: PlacementReply): boolean {
    return this.#pending.answer(reply.number, reply)
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
    const reply = await this.#pending.ask(number, () => send(address, { $case: 'placementQuery', value: encodeQuery(spec, number, clock()) }))
    if (reply === null) return null
    try {
      return decodeReply(reply, spec.service, (id) => fleetState.servers.find(id), clock())
    } catch (error) {
      log.warn('scheduler.reply_malformed', { request: spec.request, scheduler: address, reason: error instanceof Error ? error.message : String(error) })
      return null
    }
  }
}
