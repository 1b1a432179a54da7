/** Counts the calls to the key-value service, which the platform limits and charges for. */
import { KeyValueService } from '@bluebellhill/services'
import type { CallFailure, Lease, RangeResponse, RangeQuery, Result, Transaction, TransactionResponse, Watch, WatchListener, WatchQuery } from '@bluebellhill/services'

import type { Metrics } from './Metrics.js'

/** Hands every call on and counts it with its result. */
export class CountedKeyValueService extends KeyValueService {
  readonly #service: KeyValueService
  readonly #metrics: Metrics

  /**
   * @param service - does the work
   * @param metrics - counts
   */
  constructor (service: KeyValueService, metrics: Metrics) {
    super()
    this.#service = service
    this.#metrics = metrics
  }

  range (query: RangeQuery): Promise<Result<RangeResponse, CallFailure>> {
    return this.#counted('range', this.#service.range(query))
  }

  transact (transaction: Transaction): Promise<Result<TransactionResponse, CallFailure>> {
    return this.#counted('transact', this.#service.transact(transaction))
  }

  grantLease (ttlSeconds: number): Promise<Result<Lease, CallFailure>> {
    return this.#counted('grant_lease', this.#service.grantLease(ttlSeconds))
  }

  keepLeaseAlive (id: string): Promise<Result<Lease, CallFailure>> {
    return this.#counted('keep_lease_alive', this.#service.keepLeaseAlive(id))
  }

  revokeLease (id: string): Promise<Result<void, CallFailure>> {
    return this.#counted('revoke_lease', this.#service.revokeLease(id))
  }

  /** A watch counts as one call when it ends by itself or stands, whichever comes first. */
  watch (query: WatchQuery, listener: WatchListener): Watch {
    let counted = false
    const count = (result: string): void => {
      if (!counted) this.#metrics.storeCall('watch', result)
      counted = true
    }
    return this.#service.watch(query, {
      opened: (revision) => {
        count('ok')
        listener.opened(revision)
      },
      changed: (revision, changes) => listener.changed(revision, changes),
      closed: (failure) => {
        count(failure.type)
        listener.closed(failure)
      }
    })
  }

  dispose (): Promise<void> {
    return this.#service.dispose()
  }

  async #counted <Value>(operation: string, call: Promise<Result<Value, CallFailure>>): Promise<Result<Value, CallFailure>> {
    const result = await call
    this.#metrics.storeCall(operation, result.ok ? 'ok' : result.failure.type)
    return result
  }
}
