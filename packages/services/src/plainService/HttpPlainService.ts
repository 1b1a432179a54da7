/** HTTP client of a plain service. */
import { CONTROL_TIMEOUT_MS } from '../http/constants.js'
import { failed, success } from '../result.js'
import { PlainService } from './PlainService.js'
import { readFailure } from '../http/json.js'
import type { CallFailure } from '../errors.js'
import type { HttpPool } from '../http/HttpPool.js'
import type { Result } from '../result.js'
import type { ServiceResponse, ServiceCall } from './PlainService.js'

const SERVICE_UNAVAILABLE = 503
const SERVER_ERROR = 500

export class HttpPlainService extends PlainService {
  readonly address: string
  readonly #pool: HttpPool

  /**
   * @param pool - HTTP connections
   * @param address - `ip:port` of the service
   */
  constructor (pool: HttpPool, address: string) {
    super()
    this.#pool = pool
    this.address = address
  }

  override async call (call: ServiceCall): Promise<Result<ServiceResponse, CallFailure>> {
    const response = await this.#pool.send({ ...call, address: this.address, hasOwnConnection: true })
    if (!response.ok) return response
    const { status, headers, body } = response.value
    if (status !== SERVICE_UNAVAILABLE || headers['x-not-started'] !== '1') return success({ status, headers, body })
    const failure = await readFailure(response.value)
    return failed(failure.type === 'rejected' ? { ...failure, type: 'not_started' } : failure)
  }

  override async isHealthy (): Promise<boolean> {
    const response = await this.#pool.send({ address: this.address, method: 'GET', path: '/health', timeout: CONTROL_TIMEOUT_MS, signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS) })
    if (!response.ok) return false
    await response.value.body.dump()
    return response.value.status < SERVER_ERROR
  }
}
