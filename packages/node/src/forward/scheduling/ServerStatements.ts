/** Keeps what backend servers have stated to this node and to others, and the quotas that follow from their request limits and their warm-up. */
import { requestLimitShare, RequestQuotas, ServerNotices, tieBreakRank } from '@bluebellhill/domain'
import type { BackendServer, Millis, NodeId, Quota, RunnerId, SchedulerGroup, ServerNotice } from '@bluebellhill/domain'

import type { ColdLimit, ColdServers } from './ColdServers.js'
import { spreadReturn } from './spreadReturn.js'
import { PlacementRefusal } from './types.js'
import type { RefusedPlacement } from './types.js'

export interface ServerStatementsOptions {
  readonly node: NodeId
  readonly clock: () => Millis
  /** Returns the group whose backend servers this node places requests on. */
  readonly group: () => SchedulerGroup
  /** Returns the number of schedulers that share the request limits. */
  readonly schedulerCount: () => number
  /** Backend servers that accept fewer requests until they are warm. */
  readonly coldServers: ColdServers
}

/** Statements of the backend servers. */
export class ServerStatements {
  readonly notices = new ServerNotices()
  readonly coldServers: ColdServers
  /** Quotas by the limits that servers have stated. They are discarded with the statement, so cold servers have quotas of their own. */
  readonly #quotas = new RequestQuotas()
  readonly #coldQuotas = new RequestQuotas()
  readonly #options: ServerStatementsOptions

  /** @param options - this node and its group */
  constructor (options: ServerStatementsOptions) {
    this.#options = options
    this.coldServers = options.coldServers
  }

  /**
   * Records what a backend server has stated, to this node or to another one.
   *
   * @param notice - the statement
   * @returns whether the other nodes should know of it at once
   */
  record (notice: ServerNotice): boolean {
    const isMajor = this.notices.record(notice)
    if (notice.requestLimit === null) this.#quotas.remove(notice.server)
    return isMajor
  }

  /**
   * @param server - a backend server
   * @param limitShare - part of the group's share of its request limit that may be used
   * @param now - time of the decision
   * @returns time until it may get another request; 0 if it may now
   */
  waitTime (server: BackendServer, limitShare: number, now: Millis): Millis {
    const stated = this.#statedQuota(server, limitShare)
    const wait = stated === null ? 0 : this.#quotas.waitTime(server.id, stated, now)
    const cold = this.#coldLimit(server, limitShare, now)
    if (cold === null) return wait
    const coldWait = cold.quota === null ? cold.holdsFor : this.#coldQuotas.waitTime(server.id, cold.quota, now)
    return Math.max(wait, Math.min(coldWait, cold.holdsFor))
  }

  /**
   * Uses the quota of one request to a backend server, if the server has stated a limit or is cold.
   *
   * @param server - the backend server
   * @param limitShare - part of the group's share of its request limit that may be used
   * @returns whether the limit was not reached yet
   */
  take (server: BackendServer, limitShare: number): boolean {
    const now = this.#options.clock()
    if (this.waitTime(server, limitShare, now) > 0) return false
    const stated = this.#statedQuota(server, limitShare)
    if (stated !== null) this.#quotas.take(server.id, stated, now)
    const cold = this.#coldLimit(server, limitShare, now)
    if (cold !== null && cold.quota !== null) this.#coldQuotas.take(server.id, cold.quota, now)
    return true
  }

  /**
   * Explains why none of some servers is chosen.
   *
   * @param permitted - the servers that an attempt may be sent to
   * @param limitShare - part of the group's share of their request limits that may be used
   * @param now - time of the decision, at which none of them could be chosen
   * @returns the refusal, with the statement that decides it
   */
  refusalFor (permitted: readonly BackendServer[], limitShare: number, now: Millis): RefusedPlacement {
    const staying = permitted.filter((server) => !this.notices.isLeaving(server))
    const [leaving] = permitted
    if (leaving !== undefined && staying.length === 0) {
      return { type: 'refused', reason: PlacementRefusal.ServersLeaving, retryAfter: null, notice: this.notices.find(leaving) ?? undefined }
    }
    const waits = staying.map((server) => ({ notice: this.notices.find(server), wait: this.waitTime(server, limitShare, now) })).filter(({ wait }) => wait > 0)
    const [soonest] = waits.sort((a, b) => a.wait - b.wait)
    if (soonest === undefined) return { type: 'refused', reason: PlacementRefusal.NoServer, retryAfter: null }
    const { notice, wait } = soonest
    if (notice === null || notice.requestLimit === null) return { type: 'refused', reason: PlacementRefusal.ServersCold, retryAfter: spreadReturn(wait) }
    return { type: 'refused', reason: PlacementRefusal.RequestLimit, retryAfter: spreadReturn(wait), notice }
  }

  /**
   * Discards the statement of a server that was removed or has restarted.
   *
   * @param id - the backend server
   */
  remove (id: RunnerId): void {
    this.notices.remove(id)
    this.#quotas.remove(id)
    this.#coldQuotas.remove(id)
    this.coldServers.remove(id)
  }

  /** Returns this node's quota of requests to a server; null if the server has stated no limit. */
  #statedQuota (server: BackendServer, limitShare: number): Quota | null {
    const limit = this.notices.find(server)?.requestLimit ?? null
    if (limit === null) return null
    return { limit, share: limitShare * this.#groupShare(server), phase: limitShare === 1 ? 0 : tieBreakRank(this.#options.node, server.id) }
  }

  #coldLimit (server: BackendServer, limitShare: number, now: Millis): ColdLimit | null {
    return this.coldServers.limitOf(server, () => this.#groupShare(server), limitShare < 1, now)
  }

  #groupShare ({ failureDomain }: BackendServer): number {
    const { group, schedulerCount } = this.#options
    return requestLimitShare(group(), failureDomain, schedulerCount())
  }
}
