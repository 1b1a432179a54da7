/** Keeps what backend servers have stated about themselves in their answers. */
import type { Millis, NodeId, RunnerId } from '../types.js'
import type { BackendServer } from './types.js'

/** Statement of a backend server about itself, in the head of an answer. */
export interface ServerStatement {
  /** Requests per second that it accepts from all nodes together; null if it sets no limit. */
  readonly requestLimit: number | null
}

/** Newest statement of a backend server. */
export interface ServerNotice extends ServerStatement {
  readonly server: RunnerId
  /** Start time of the server that made it; a server that restarts under the same id is not bound by it. */
  readonly startedAt: number | null
  /** Time at which the answer arrived. */
  readonly heardAt: Millis
  /** Node that received the answer. */
  readonly heardBy: NodeId
}

/** Newest statement of each backend server that has made one. */
export class ServerNotices {
  readonly #notices = new Map<RunnerId, ServerNotice>()

  /**
   * Records a statement, unless a newer one is known.
   *
   * @param notice - the statement
   * @returns whether it differs from the one known before
   */
  record (notice: ServerNotice): boolean {
    const existing = this.#notices.get(notice.server)
    if (existing === undefined && isEmpty(notice)) return false
    if (existing !== undefined && isNewer(existing, notice)) return false
    this.#notices.set(notice.server, notice)
    return existing?.startedAt !== notice.startedAt || existing.requestLimit !== notice.requestLimit
  }

  /**
   * @param server - a backend server
   * @returns its newest statement; null if it has made none
   */
  find ({ id, startedAt }: BackendServer): ServerNotice | null {
    const notice = this.#notices.get(id)
    return notice === undefined || notice.startedAt !== startedAt ? null : notice
  }

  /**
   * Discards the statement of a server that was removed or has restarted.
   *
   * @param id - the backend server
   */
  remove (id: RunnerId): void {
    this.#notices.delete(id)
  }
}

const isEmpty = ({ requestLimit }: ServerStatement): boolean => requestLimit === null

const isNewer = (a: ServerNotice, b: ServerNotice): boolean => {
  const startDifference = (a.startedAt ?? 0) - (b.startedAt ?? 0)
  return startDifference === 0 ? a.heardAt > b.heardAt : startDifference > 0
}
