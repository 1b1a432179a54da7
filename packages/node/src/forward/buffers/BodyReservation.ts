/** Memory that is reserved for the body of one request. */
import type { ArrivingBodies, BodyArrival } from './ArrivingBodies.js'
import type { BodyMemory } from './types.js'

/** Grows while the body arrives, and is released when the request is over. */
export class BodyReservation {
  #bytes = 0
  #isReleased = false
  /** Null unless the body is being read. */
  #arrival: BodyArrival | null = null

  /**
   * @param memory - memory of the node
   * @param arriving - all bodies of the node that are being read
   */
  constructor (private readonly memory: BodyMemory, private readonly arriving: ArrivingBodies) {}

  /** @param arrival - what is done with the body while it is being read */
  begin (arrival: BodyArrival): void {
    this.#arrival = arrival
    this.arriving.begun(arrival)
  }

  /** The body has been read, or its request is over. */
  end (): void {
    if (this.#arrival !== null) this.arriving.ended(this.#arrival)
    this.#arrival = null
  }

  /**
   * @param bytes - further bytes of the body
   * @returns whether they are reserved; if not, the request has to be refused
   */
  reserve (bytes: number): boolean {
    if (this.#isReleased) return true
    if (this.#arrival !== null) this.arriving.received(this.#arrival, bytes)
    if (!this.memory.reserveBody(bytes)) return false
    this.#bytes += bytes
    return true
  }

  release (): void {
    this.end()
    this.memory.releaseBody(this.#bytes)
    this.#bytes = 0
    this.#isReleased = true
  }
}
