/** Takes what backend servers state in their answers to this node, and tells which of them accept no requests of this node now. */
import { ServerBackoffs } from '@bluebellhill/domain'
import type { BackendServer, Millis, NodeId, PlacementChoice, RunnerId, ServerNotice, ServerStatement } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { FleetState } from '../FleetState.js'
import type { ServerStatements } from './ServerStatements.js'
import { spreadReturn } from './spreadReturn.js'
import { PlacementRefusal } from './types.js'
import type { RefusedPlacement } from './types.js'

export interface AnswerStatementsOptions {
  readonly node: NodeId
  /** Statements that the scheduler of this node places by. */
  readonly statements: ServerStatements
  readonly fleetState: FleetState
  readonly log: Log
  readonly clock: () => Millis
  /** Called when a backend server has stated something to this node that the other nodes should know at once. */
  readonly onNotice: (notice: ServerNotice) => void
}

/** A backend server that has asked this node for a pause. */
export interface PausedServer {
  readonly id: RunnerId
  /** How much of the pause is left. */
  readonly remaining: Millis
}

/** Statements in the answers to this node. */
export class AnswerStatements {
  readonly #options: AnswerStatementsOptions
  readonly #backoffs = new ServerBackoffs()

  /** @param options - this node, its fleet state, and the statements of all servers */
  constructor (options: AnswerStatementsOptions) {
    this.#options = options
    options.fleetState.onDeparture((id) => this.#backoffs.remove(id))
  }

  /**
   * Records what a backend server states about itself.
   *
   * @param server - the backend server
   * @param statement - its statement
   * @param request - the request that it answers
   */
  received ({ id, startedAt }: BackendServer, statement: ServerStatement, request: string): void {
    const { statements, node, clock, log, onNotice } = this.#options
    const notice: ServerNotice = { ...statement, server: id, startedAt, heardAt: clock(), heardBy: node }
    if (!statements.record(notice)) return
    log.info('server.stated', { server: id, request_limit: statement.requestLimit ?? 'none', leaving: statement.isLeaving || undefined, request, heard_by: node })
    onNotice(notice)
  }

  /**
   * Records that a backend server is cold.
   *
   * @param server - the backend server
   * @param left - how long it stays cold
   * @param request - the request that it answers
   */
  warmUpStated (server: BackendServer, left: Millis, request: string): void {
    this.#options.statements.coldServers.stated(server, left, request)
  }

  /**
   * Records that a backend server wants no requests of this node for some time.
   *
   * @param server - the backend server
   * @param pause - how long
   * @param request - the request that it refused
   */
  pauseRequested ({ id }: BackendServer, pause: Millis, request: string): void {
    this.#backoffs.record(id, pause, Math.random(), this.#options.clock())
    this.#options.log.info('server.paused', { server: id, pause_ms: Math.round(pause), request })
  }

  /**
   * @param server - a backend server
   * @returns its newest statement that this node knows; null if there is none
   */
  find (server: BackendServer): ServerNotice | null {
    return this.#options.statements.notices.find(server)
  }

  /**
   * @param server - a backend server
   * @returns time for which it stays cold; 0 if it is warm
   */
  coldFor (server: BackendServer): Millis {
    return this.#options.statements.coldServers.left(server)
  }

  /**
   * @param choice - the servers of an attempt
   * @returns those that accept no requests of this node now
   */
  obstaclesIn ({ server, helpers }: PlacementChoice): BackendServer[] {
    const { statements, clock } = this.#options
    const now = clock()
    return [server, ...helpers].filter((participant) => statements.notices.isLeaving(participant) || this.#backoffs.remaining(participant.id, now) > 0)
  }

  /** @returns all servers that have asked this node for a pause which is not over */
  pausedServers (): RunnerId[] {
    return this.#backoffs.active(this.#options.clock())
  }

  /**
   * @param service - name of a service
   * @returns its servers that have asked this node for a pause which is not over, the shortest remaining pause first
   */
  pausedServersOf (service: string): PausedServer[] {
    const { fleetState, clock } = this.#options
    const now = clock()
    if (this.#backoffs.active(now).length === 0) return []
    const paused = fleetState.servers.ready(service).map(({ id }) => ({ id, remaining: this.#backoffs.remaining(id, now) }))
    return paused.filter(({ remaining }) => remaining > 0).sort((a, b) => a.remaining - b.remaining)
  }

  /**
   * @param refusal - refusal of an attempt
   * @param service - its service
   * @returns the refusal; if there is no server because of a pause, with the time at which the shortest one ends
   */
  explainRefusal (refusal: RefusedPlacement, service: string): RefusedPlacement {
    if (refusal.reason !== PlacementRefusal.NoServer) return refusal
    const [soonest] = this.pausedServersOf(service)
    if (soonest === undefined) return refusal
    return { type: 'refused', reason: PlacementRefusal.ServersPaused, retryAfter: spreadReturn(soonest.remaining), pausedServer: soonest.id }
  }
}
