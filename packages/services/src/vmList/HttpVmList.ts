/** HTTP client of the platform's VM list. */
import { z } from 'zod'

import { AddressList } from '../http/AddressList.js'
import { CONTROL_TIMEOUT_MS } from '../http/constants.js'
import { readJson } from '../http/json.js'
import { BackendKind, VmList, VmRole, VmState } from './VmList.js'
import type { CallFailure } from '../errors.js'
import type { HttpPool } from '../http/HttpPool.js'
import type { Millis } from '@bluebellhill/domain'
import type { Result } from '../result.js'
import type { VmReport } from './VmList.js'

const MAX_PORT = 65_535

export const vmReportSchema = z.object({
  vms: z.array(z.object({
    name: z.string().min(1),
    address: z.string().min(1),
    port: z.number().int().min(0).max(MAX_PORT),
    failureDomain: z.string(),
    role: z.enum(VmRole),
    state: z.enum(VmState),
    kind: z.enum(BackendKind).nullish().transform((kind) => kind ?? null),
    service: z.string().nullish().transform((service) => service ?? null)
  })),
  asOf: z.number()
})

export class HttpVmList extends VmList {
  readonly #pool: HttpPool
  readonly #addresses: AddressList
  readonly #timeout: Millis

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

  override async read (): Promise<Result<VmReport, CallFailure>> {
    return await this.#addresses.run(async (address) => {
      const signal = AbortSignal.timeout(this.#timeout)
      const response = await this.#pool.send({ address, method: 'GET', path: '/v1/vms', timeout: this.#timeout, signal })
      return response.ok ? readJson(response.value, vmReportSchema) : response
    })
  }
}
