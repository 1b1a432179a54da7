/** Exchanges what backend servers have stated with the other nodes, as parts of messages that are sent anyway. */
import type { Millis, NodeId, RunnerId, ServerNotice } from '@bluebellhill/domain'
import type { fleetWire } from '@bluebellhill/protocol'

import type { Log } from '../../log/index.js'
import type { ServerStatements } from '../scheduling/ServerStatements.js'
import { decodeNotice, encodeNotice } from './noticeCodec.js'
import { NoticeQueue } from './NoticeQueue.js'

export interface NoticeExchangeOptions {
  readonly node: NodeId
  readonly statements: ServerStatements
  readonly log: Log
  readonly clock: () => Millis
}

/** Selects the statements for the messages of this node, and records those of other nodes. */
export class NoticeExchange {
  readonly #options: NoticeExchangeOptions
  /** Statements made to this node, for the candidates that it reports to. */
  readonly #reported: NoticeQueue
  /** All statements, for the nodes that report to this candidate and for the other groups. */
  readonly #announced: NoticeQueue

  /** @param options - this node and the statements that it knows */
  constructor (options: NoticeExchangeOptions) {
    const { node, statements, clock } = options
    const all = (): ServerNotice[] => statements.notices.shared(clock())
    this.#options = options
    this.#reported = new NoticeQueue(() => all().filter(({ heardBy }) => heardBy === node))
    this.#announced = new NoticeQueue(all)
  }

  /** Whether statements have changed that no announcement has contained yet. */
  get hasUnannounced (): boolean {
    return this.#announced.hasChanges
  }

  /** @param server - backend server whose statement to this node has changed */
  heard (server: RunnerId): void {
    this.#reported.markChanged(server)
    this.#announced.markChanged(server)
  }

  /** @returns the statements of the next report to the candidates */
  nextReport (): fleetWire.ServerNotice[] {
    return this.#encode(this.#reported)
  }

  /** @returns the statements of the next announcement of this candidate */
  nextAnnouncement (): fleetWire.ServerNotice[] {
    return this.#encode(this.#announced)
  }

  /**
   * Records statements that another node has sent.
   *
   * @param notices - the statements
   * @returns whether one of them should be announced at once
   */
  received (notices: readonly fleetWire.ServerNotice[]): boolean {
    const { statements, clock, log } = this.#options
    const changed = notices.map((wire) => decodeNotice(wire, clock())).filter((notice) => statements.record(notice))
    for (const { server, requestLimit, isLeaving, heardBy, heardAt } of changed) {
      log.info('server.stated', { server, request_limit: requestLimit ?? 'none', leaving: isLeaving || undefined, heard_by: heardBy, age_ms: Math.round(clock() - heardAt) })
      this.#announced.markChanged(server)
    }
    return changed.length > 0
  }

  #encode (queue: NoticeQueue): fleetWire.ServerNotice[] {
    const now = this.#options.clock()
    return queue.next().map((notice) => encodeNotice(notice, now))
  }
}
