/** Collects bytes up to a limit. */

const INITIAL_BYTES = 1_024

/** A growing buffer; chunks are copied, so that many small ones need no more memory than a large one. */
export class BoundedBuffer {
  #bytes = Buffer.alloc(0)
  #length = 0

  /** @param limit - largest number of bytes that it holds */
  constructor (private readonly limit: number) {}

  get length (): number {
    return this.#length
  }

  /**
   * @param chunk - further bytes
   * @returns whether they were added; if not, they would exceed the limit
   */
  append (chunk: Buffer): boolean {
    const length = this.#length + chunk.length
    if (length > this.limit) return false
    if (length > this.#bytes.length) this.#grow(length)
    chunk.copy(this.#bytes, this.#length)
    this.#length = length
    return true
  }

  /** @returns the byte at a distance from the end, 1 for the last; undefined before the first */
  fromEnd (distance: number): number | undefined {
    return distance <= this.#length ? this.#bytes[this.#length - distance] : undefined
  }

  /** @returns all bytes; the buffer is empty afterwards */
  take (): Buffer {
    const bytes = this.#bytes.subarray(0, this.#length)
    this.#bytes = Buffer.alloc(0)
    this.#length = 0
    return bytes
  }

  #grow (length: number): void {
    const capacity = Math.min(this.limit, Math.max(INITIAL_BYTES, length, 2 * this.#bytes.length))
    const grown = Buffer.allocUnsafeSlow(capacity)
    this.#bytes.copy(grown, 0, 0, this.#length)
    this.#bytes = grown
  }
}
