/** Keeps what backend servers have stated about themselves in their answers, to this node or to others. */
import type { Millis, NodeId, RunnerId } from '../types.js'
import type { BackendServer } from './types.js'

/** Statement of a backend server about itself, in the head of an answer. */
export interface ServerStatement {
  /** Requests per second that it accepts from all nodes together; null if it sets no limit. */
  readonly requestLimit: number | null
  /** Whether it will end soon and accepts no new requests. It does not take this back while it runs. */
  readonly isLeaving: boolean
}

/** Newest statement of a backend server. */
export interface ServerNotice extends ServerStatement {
  readonly server: RunnerId
  /** Start time of the server that made it, null if it is not known; the statement does not hold for a later start under the same id. */
  readonly startedAt: number | null
  /** Time at which the answer arrived. */
  readonly heardAt: Millis
  /** Node that received the answer. */
  readonly heardBy: NodeId
}

/** Time for which a statement holds that no further answer confirms. */
const NOTICE_EXPIRY: Millis = 600_000

/** Time for which other nodes are told of the withdrawal of a statement. */
const WITHDRAWAL_EXPIRY: Millis = 5_000

/** Relative change of a limit below which other nodes need not know of it at once. */
const MINOR_LIMIT_CHANGE = 0.1

interface NoticeRecord {
  readonly notice: ServerNotice
  /** Whether other nodes may have an earlier statement, so that they have to know of this one. */
  isShared: boolean
}

/** Newest statement of each backend server that has answered. */
export class ServerNotices {
  readonly #records = new Map<RunnerId, NoticeRecord>()

  /**
   * Records a statement, unless a newer one is known.
   *
   * @param notice - the statement
   * @returns whether the other nodes should know of it at once
   */
  record (notice: ServerNotice): boolean {
    const existing = this.#records.get(notice.server)
    if (existing !== undefined && isNewer(existing.notice, notice)) return this.#recordOlder(existing.notice, notice)
    const merged = existing === undefined ? notice : keepLeaving(existing.notice, notice)
    const isShared = !isEmpty(merged) || existing?.isShared === true
    this.#records.set(notice.server, { notice: merged, isShared })
    return isShared && (existing === undefined || isMajorChange(existing.notice, merged))
  }

  /** An older statement only matters if the server was leaving then. */
  #recordOlder (newer: ServerNotice, older: ServerNotice): boolean {
    if (!older.isLeaving || newer.isLeaving || startDifference(newer.startedAt, older.startedAt) !== 0) return false
    this.#records.set(newer.server, { notice: { ...newer, isLeaving: true }, isShared: true })
    return true
  }

  /**
   * @param server - a backend server
   * @returns its newest statement; null if it has made none
   */
  find ({ id, startedAt }: BackendServer): ServerNotice | null {
    const notice = this.#records.get(id)?.notice
    return notice === undefined || startDifference(notice.startedAt, startedAt) !== 0 ? null : notice
  }

  /**
   * @param server - a backend server
   * @returns whether it has stated that it is leaving
   */
  isLeaving (server: BackendServer): boolean {
    return this.find(server)?.isLeaving === true
  }

  /**
   * Discards expired statements first.
   *
   * @param now - current time
   * @returns the statements that other nodes have to know, withdrawals included
   */
  shared (now: Millis): ServerNotice[] {
    for (const [id, record] of this.#records) {
      const age = now - record.notice.heardAt
      if (age > NOTICE_EXPIRY) this.#records.delete(id)
      else if (isEmpty(record.notice) && age > WITHDRAWAL_EXPIRY) record.isShared = false
    }
    return [...this.#records.values()].filter(({ isShared }) => isShared).map(({ notice }) => notice)
  }

  /**
   * Discards the statement of a server that was removed or has restarted.
   *
   * @param id - the backend server
   */
  remove (id: RunnerId): void {
    this.#records.delete(id)
  }
}

const isEmpty = ({ requestLimit, isLeaving }: ServerStatement): boolean => requestLimit === null && !isLeaving

/** An answer that was made before another one may arrive after it: a server that leaves stays so until it starts again. */
const keepLeaving = (before: ServerNotice, after: ServerNotice): ServerNotice =>
  before.isLeaving && startDifference(before.startedAt, after.startedAt) === 0 ? { ...after, isLeaving: true } : after

const isNewer = (a: ServerNotice, b: ServerNotice): boolean => {
  const difference = startDifference(a.startedAt, b.startedAt)
  return difference === 0 ? a.heardAt > b.heardAt : difference > 0
}

/** A node may receive an answer of a server before it knows when the server started: an unknown start time equals any other. */
const startDifference = (a: number | null, b: number | null): number => a === null || b === null ? 0 : a - b

const isMajorChange = (before: ServerNotice, after: ServerNotice): boolean =>
  startDifference(before.startedAt, after.startedAt) !== 0 || before.isLeaving !== after.isLeaving || isMajorLimitChange(before.requestLimit, after.requestLimit)

const isMajorLimitChange = (before: number | null, after: number | null): boolean => {
  if (before === null || after === null) return before !== after
  return Math.abs(after - before) > MINOR_LIMIT_CHANGE * before
}
