/** Whether the platform's store answers this node. */
import type { Millis } from '@bluebellhill/domain'
import { describeFailure } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import type { FleetState } from '../FleetState.js'
import type { Log } from '../../log/index.js'

const GONE = 410

/** Notices when the store is lost and regained. */
export class StoreAvailability {
  #lostAt: Millis | null = null

  /**
   * @param fleetState - told of the loss, since entries then lapse without their servers
   * @param log - gets a line for each loss and return
   * @param clock - monotonic clock
   * @param onLost - called when the store is lost
   */
  constructor (private readonly fleetState: FleetState, private readonly log: Log, private readonly clock: () => Millis, private readonly onLost: () => void = () => {}) {}

  get isLost (): boolean {
    return this.#lostAt !== null
  }

  /**
   * Takes the result of a call in.
   *
   * @param result - what the call brought
   * @param since - from when on the store may have been away, if the call failed
   */
  recordResult (result: Result<unknown, CallFailure>, since: Millis = this.clock()): void {
    const isAvailable = result.ok || (result.failure.type === 'rejected' && result.failure.status === GONE)
    if (isAvailable) this.#markRegained()
    else this.#markLost(result.failure, since)
  }

  #markLost (failure: CallFailure, since: Millis): void {
    if (this.#lostAt !== null) return
    this.#lostAt = since
    this.fleetState.servers.storeLost(since)
    this.log.warn('store.lost', { reason: describeFailure(failure), silent_ms: Math.round(this.clock() - since) })
    this.onLost()
  }

  #markRegained (): void {
    if (this.#lostAt === null) return
    this.log.info('store.regained', { after_ms: Math.round(this.clock() - this.#lostAt) })
    this.#lostAt = null
    this.fleetState.servers.storeRegained(this.clock())
  }
}
