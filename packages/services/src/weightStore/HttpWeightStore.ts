/** HTTP client of the platform's store of model weights. */
import { AddressList } from '../http/AddressList.js'
import { CONTROL_TIMEOUT_MS } from '../http/constants.js'
import { readFailure } from '../http/json.js'
import { failed, success } from '../result.js'
import { WeightStore } from './WeightStore.js'
import type { CallFailure } from '../errors.js'
import type { HttpPool } from '../http/HttpPool.js'
import type { Millis } from '@bluebellhill/domain'
import type { Result } from '../result.js'
import type { WeightStream } from './WeightStore.js'

const TOO_MANY_REQUESTS = 429

export class HttpWeightStore extends WeightStore {
  readonly #pool: HttpPool
  readonly #addresses: AddressList
  readonly #timeout: Millis

  /**
   * @param pool - HTTP connections
   * @param addresses - `ip:port` of each instance of the service
   * @param timeout - timeout for the response headers
   */
  constructor (pool: HttpPool, addresses: readonly string[], timeout: Millis = CONTROL_TIMEOUT_MS) {
    super()
    this.#pool = pool
    this.#addresses = new AddressList(addresses)
    this.#timeout = timeout
  }

  override async open (model: string, version: string, signal?: AbortSignal): Promise<Result<WeightStream, CallFailure>> {
    const path = `/v1/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`
    return await this.#addresses.run(async (address) => {
      const response = await this.#pool.send({ address, method: 'GET', path, signal, timeout: this.#timeout })
      if (!response.ok) return response
      if (response.value.status === 200) {
        const length = Number(response.value.headers['content-length'] ?? NaN)
        return success({ size: Number.isFinite(length) ? length : null, body: response.value.body })
      }
      const failure = await readFailure(response.value)
      return failed(failure.type === 'rejected' && failure.status === TOO_MANY_REQUESTS ? { ...failure, type: 'not_started' } : failure)
    })
  }
}
