/** Several addresses of one platform service; a call goes to the one that answered last. */
import type { CallFailure } from '../errors.js'
import type { Result } from '../result.js'

export class AddressList {
  readonly #addresses: readonly string[]
  #current = 0

  /** @param addresses - `ip:port` of each instance, at least one */
  constructor (addresses: readonly string[]) {
    if (addresses.length === 0) throw new RangeError('a platform service needs at least one address')
    this.#addresses = addresses
  }

  /** The address that the next call goes to. */
  get current (): string {
    return this.#addresses[this.#current % this.#addresses.length]!
  }

  /** Moves on to the next address. */
  advance (): void {
    this.#current = (this.#current + 1) % this.#addresses.length
  }

  /**
   * Runs a call against the current address. A call that did not leave goes to the next address at once;
   * one that was interrupted is not repeated, but the next call starts elsewhere.
   *
   * @param call - runs the call against an address
   * @returns the result of the last address tried
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
