/** Failover between the addresses of one platform service: calls stay at one instance until it fails. */
import type { CallFailure } from '../errors.js'
import type { Result } from '../result.js'

export class AddressList {
  readonly #addresses: readonly string[]
  #current = 0

  /** @param addresses - `ip:port` of each instance of the service, at least one */
  constructor (addresses: readonly string[]) {
    if (addresses.length === 0) throw new RangeError('a platform service needs at least one address')
    this.#addresses = addresses
  }

  /** Address for the next call. */
  get current (): string {
    return this.#addresses[this.#current % this.#addresses.length]!
  }

  /** Selects the next address in the list, cyclically. */
  advance (): void {
    this.#current = (this.#current + 1) % this.#addresses.length
  }

  /**
   * Runs a call against the current address. If the call was not sent, it is retried at once with the next address.
   * If it was interrupted, it may have run, so it is not retried, but the next call uses the next address.
   *
   * @param call - function that sends the call to an address
   * @returns the result from the last address that was tried
   */
  async run<Value> (call: (address: string) => Promise<Result<Value, CallFailure>>): Promise<Result<Value, CallFailure>> {
    let result = await call(this.current)
    for (let attempts = 1; attempts < this.#addresses.length && !result.ok && result.failure.type === 'not_sent'; attempts += 1) {
      this.advance()
      result = await call(this.current)
    }
    if (!result.ok && (result.failure.type === 'interrupted' || result.failure.type === 'not_sent')) this.advance()
    return result
  }
}
