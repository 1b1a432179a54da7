/** Memory that is reserved for the body of one request. */
import type { BodyMemory } from './types.js'

/** Grows while the body arrives, and is released when the request is over. */
export class BodyReservation {
  #bytes = 0
  #isReleased = false

  /** @param memory - memory of the node */
  constructor (private readonly memory: BodyMemory) {}

  /**
   * @param bytes - further bytes of the body
   * @returns whether they are reserved; if not, the request has to be refused
   */
  reserve (bytes: number): boolean {
    if (this.#isReleased) return true
    if (!this.memory.reserveBody(bytes)) return false
    this.#bytes += bytes
    return true
  }

  release (): void {
    this.memory.releaseBody(this.#bytes)
    this.#bytes = 0
    this.#isReleased = true
  }
}
