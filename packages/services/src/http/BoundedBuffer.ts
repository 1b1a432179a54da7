/** Collects bytes up to a limit. */

const FIRST_BLOCK_BYTES = 1_024
const LARGEST_BLOCK_BYTES = 1_024 * 1_024

/** Memory that several buffers share. */
export interface SharedBytes {
  /** First bytes of each buffer that are not reserved. */
  readonly uncounted: number
  /** @returns whether further bytes are reserved */
  reserve (bytes: number): boolean
  release (bytes: number): void
}

/** A list of blocks that grow; chunks are copied into them, so that many small ones need no more memory than a large one. */
export class BoundedBuffer {
  #blocks: Buffer[] = []
  #capacity = 0
  #length = 0
  /** Unused bytes of the last block. */
  #free = 0

  /**
   * @param limit - largest number of bytes that it holds
   * @param memory - memory that it shares with other buffers; null if the limit is low
   */
  constructor (private readonly limit: number, private readonly memory: SharedBytes | null = null) {}

  get length (): number {
    return this.#length
  }

  /**
   * @param chunk - further bytes
   * @returns whether they were added; if not, they would exceed the limit or the shared memory
   */
  append (chunk: Buffer): boolean {
    if (this.#length + chunk.length > this.limit) return false
    const copied = this.#fill(chunk)
    if (copied === chunk.length) return true
    const rest = chunk.subarray(copied)
    return this.#addBlock(rest.length) && this.append(rest)
  }

  /** @returns the byte at a distance from the end, 1 for the last; undefined before the first */
  fromEnd (distance: number): number | undefined {
    let position = distance + this.#free
    for (let index = this.#blocks.length - 1; index >= 0; index -= 1) {
      const block = this.#blocks[index]!
      if (position <= block.length) return block[block.length - position]
      position -= block.length
    }
    return undefined
  }

  /** @returns all bytes; the buffer is empty afterwards */
  take (): Buffer {
    const bytes = Buffer.concat(this.#blocks, this.#length)
    this.clear()
    return bytes
  }

  /** Discards all bytes. */
  clear (): void {
    this.memory?.release(this.#counted(this.#capacity))
    this.#blocks = []
    this.#capacity = 0
    this.#length = 0
    this.#free = 0
  }

  /** Copies what fits into the last block. Returns the number of bytes copied. */
  #fill (chunk: Buffer): number {
    const last = this.#blocks.at(-1)
    if (last === undefined) return 0
    const copied = chunk.copy(last, last.length - this.#free)
    this.#free -= copied
    this.#length += copied
    return copied
  }

  /** Returns whether there is memory for it. */
  #addBlock (needed: number): boolean {
    const size = Math.min(Math.max(FIRST_BLOCK_BYTES, needed, this.#capacity), Math.max(needed, LARGEST_BLOCK_BYTES))
    const capacity = this.#capacity + size
    if (this.memory?.reserve(this.#counted(capacity) - this.#counted(this.#capacity)) === false) return false
    this.#blocks.push(Buffer.allocUnsafeSlow(size))
    this.#capacity = capacity
    this.#free = size
    return true
  }

  #counted (capacity: number): number {
    return Math.max(0, capacity - (this.memory?.uncounted ?? 0))
  }
}
