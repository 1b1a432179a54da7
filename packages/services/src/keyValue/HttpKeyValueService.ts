/** Client of the key-value service over the JSON form of the etcd v3 API. */
import { CONTROL_TIMEOUT_MS } from '../http/constants.js'
import { readJson } from '../http/json.js'
import { AddressList } from '../http/AddressList.js'
import { HttpWatch } from './HttpWatch.js'
import { KeyValueService } from './KeyValueService.js'
import { decodeKeyValue, decodeOperationResponse, encodeComparison, encodeOperation, encodeRange, keepAliveSchema, leaseSchema, rangeSchema, transactionSchema } from './encoding.js'
import { success } from '../result.js'
import type { CallFailure } from '../errors.js'
import type { HttpPool } from '../http/HttpPool.js'
import type { Millis } from '@bluebellhill/domain'
import type { Result } from '../result.js'
import type { Watch, WatchListener } from './KeyValueService.js'
import type { Lease, RangeResponse, RangeQuery, Transaction, TransactionResponse, WatchQuery } from './types.js'
import type { ZodType } from 'zod'

const TOO_MANY_REQUESTS = 429
const CONTENT_TOO_LARGE = 413

export class HttpKeyValueService extends KeyValueService {
  readonly #pool: HttpPool
  readonly #addresses: AddressList
  readonly #timeout: Millis
  /** Number of calls sent, including watches. */
  callCount = 0

  /**
   * @param pool - HTTP connections
   * @param addresses - `ip:port` of each instance of the service
   * @param timeout - timeout of a call
   */
  constructor (pool: HttpPool, addresses: readonly string[], timeout: Millis = CONTROL_TIMEOUT_MS) {
    super()
    this.#pool = pool
    this.#addresses = new AddressList(addresses)
    this.#timeout = timeout
  }

  override async range (query: RangeQuery): Promise<Result<RangeResponse, CallFailure>> {
    const result = await this.#call('/v3/kv/range', encodeRange(query), rangeSchema)
    if (!result.ok) return result
    const { header, kvs, more } = result.value
    return success({ revision: header?.revision ?? 0, values: kvs.map(decodeKeyValue), more })
  }

  override async transact (transaction: Transaction): Promise<Result<TransactionResponse, CallFailure>> {
    const result = await this.#call('/v3/kv/txn', {
      compare: transaction.compare.map(encodeComparison),
      success: transaction.success.map(encodeOperation),
      failure: transaction.failure.map(encodeOperation)
    }, transactionSchema)
    if (!result.ok) return result
    const { header, succeeded, responses } = result.value
    return success({ revision: header?.revision ?? 0, succeeded, answers: responses.map(decodeOperationResponse) })
  }

  override async grantLease (ttlSeconds: number): Promise<Result<Lease, CallFailure>> {
    const result = await this.#call('/v3/lease/grant', { TTL: String(ttlSeconds), ID: '0' }, leaseSchema)
    return result.ok ? success({ id: result.value.ID, ttlSeconds: result.value.TTL }) : result
  }

  override async keepLeaseAlive (id: string): Promise<Result<Lease, CallFailure>> {
    const result = await this.#call('/v3/lease/keepalive', { ID: id }, keepAliveSchema)
    return result.ok ? success({ id: result.value.ID, ttlSeconds: result.value.TTL }) : result
  }

  override async revokeLease (id: string): Promise<Result<void, CallFailure>> {
    const result = await this.#call('/v3/lease/revoke', { ID: id }, rangeSchema)
    return result.ok ? success(undefined) : result
  }

  override watch (query: WatchQuery, listener: WatchListener): Watch {
    this.callCount += 1
    const watch = new HttpWatch(this.#pool, this.#addresses, listener)
    void watch.open(query, this.#timeout)
    return watch
  }

  override async dispose (): Promise<void> {
    await this.#pool.dispose()
  }

  async #call<Value> (path: string, body: unknown, schema: ZodType<Value>): Promise<Result<Value, CallFailure>> {
    const text = JSON.stringify(body)
    const result = await this.#addresses.run(async (address) => {
      this.callCount += 1
      const signal = AbortSignal.timeout(this.#timeout)
      const response = await this.#pool.send({ address, method: 'POST', path, headers: { 'content-type': 'application/json' }, body: text, timeout: this.#timeout, signal, hasOwnConnection: true })
      return response.ok ? readJson(response.value, schema) : response
    })
    return markRefusalNotStarted(result)
  }
}

/** Converts the rejection of a call because of the rate limit (429) or a too large value (413) to `not_started`: the call had no effect. */
const markRefusalNotStarted = <Value>(result: Result<Value, CallFailure>): Result<Value, CallFailure> => {
  if (result.ok || result.failure.type !== 'rejected') return result
  const { status } = result.failure
  if (status !== TOO_MANY_REQUESTS && status !== CONTENT_TOO_LARGE) return result
  return { ok: false, failure: { ...result.failure, type: 'not_started' } }
}
