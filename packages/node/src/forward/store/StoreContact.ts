/** Whether the platform's store answers this node. */
import type { Millis } from '@bluebellhill/domain'
import { describeFailure } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import type { Knowledge } from '../Knowledge.js'
import type { Log } from '../../log/index.js'

const GONE = 410

/** Notices when the store is lost and regained. */
export class StoreContact {
  #lostAt: Millis | null = null

  /**
   * @param knowledge - told of the loss, since entries then lapse without their servers
   * @param log - gets a line for each loss and return
   * @param clock - monotonic clock
   * @param lost - called when the store is lost
   */
  constructor (private readonly knowledge: Knowledge, private readonly log: Log, private readonly clock: () => Millis, private readonly lost: () => void = () => {}) {}

  get isLost (): boolean {
    return this.#lostAt !== null
  }

  /**
   * Takes the result of a call in.
   *
   * @param result - what the call brought
   * @param since - from when on the store may have been away, if the call failed
   */
  observe (result: Result<unknown, CallFailure>, since: Millis = this.clock()): void {
    const answers = result.ok || (result.failure.type === 'rejected' && result.failure.status === GONE)
    if (answers) this.#regained()
    else this.#lost(result.failure, since)
  }

  #lost (failure: CallFailure, since: Millis): void {
    if (this.#lostAt !== null) return
    this.#lostAt = since
    this.knowledge.servers.storeLost(since)
    this.log.warn('store.lost', { reason: describeFailure(failure), silent_ms: Math.round(this.clock() - since) })
    this.lost()
  }

  #regained (): void {
    if (this.#lostAt === null) return
    this.log.info('store.regained', { after_ms: Math.round(this.clock() - this.#lostAt) })
    this.#lostAt = null
    this.knowledge.servers.storeRegained(this.clock())
  }
}
