/** Counts the calls to the key-value service, since the platform limits them and charges for them. */
import { KeyValueService } from '@bluebellhill/services'
import type { CallFailure, Lease, RangeResponse, RangeQuery, Result, Transaction, TransactionResponse, Watch, WatchListener, WatchQuery } from '@bluebellhill/services'

import type { Metrics } from './Metrics.js'

/** Passes every call on to another key-value service and counts it by operation and result. */
export class CountingKeyValueService extends KeyValueService {
  readonly #service: KeyValueService
  readonly #metrics: Metrics

  /**
   * @param service - the service that executes the calls
   * @param metrics - counts the calls
   */
  constructor (service: KeyValueService, metrics: Metrics) {
    super()
    this.#service = service
    this.#metrics = metrics
  }

  range (query: RangeQuery): Promise<Result<RangeResponse, CallFailure>> {
    return this.#count('range', this.#service.range(query))
  }

  transact (transaction: Transaction): Promise<Result<TransactionResponse, CallFailure>> {
    return this.#count('transact', this.#service.transact(transaction))
  }

  grantLease (ttlSeconds: number): Promise<Result<Lease, CallFailure>> {
    return this.#count('grant_lease', this.#service.grantLease(ttlSeconds))
  }

  keepLeaseAlive (id: string): Promise<Result<Lease, CallFailure>> {
    return this.#count('keep_lease_alive', this.#service.keepLeaseAlive(id))
  }

  revokeLease (id: string): Promise<Result<void, CallFailure>> {
    return this.#count('revoke_lease', this.#service.revokeLease(id))
  }

  /** A watch is counted once: with `ok` when it opens, or with the failure if it closes before. */
  watch (query: WatchQuery, listener: WatchListener): Watch {
    let isCounted = false
    const count = (result: string): void => {
      if (!isCounted) this.#metrics.countStoreCall('watch', result)
      isCounted = true
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

  async #count <Value>(operation: string, call: Promise<Result<Value, CallFailure>>): Promise<Result<Value, CallFailure>> {
    const result = await call
    this.#metrics.countStoreCall(operation, result.ok ? 'ok' : result.failure.type)
    return result
  }
}
