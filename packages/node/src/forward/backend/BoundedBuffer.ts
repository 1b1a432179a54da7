/** Collects bytes up to a limit. */
import type { AnswerMemory } from './AnswerMemory.js'
import { UNCOUNTED_BYTES } from './answerLimits.js'

const FIRST_BLOCK_BYTES = 1_024
const LARGEST_BLOCK_BYTES = 1_024 * 1_024

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
  constructor (private readonly limit: number, private readonly memory: AnswerMemory | null = null) {}

  get length (): number {
    return this.#length
  }

  /**
   * @param chunk - further bytes
   * @returns whether they were added; if not, they would exceed the limit or the shared memory
   */
  append (chunk: Buffer): boolean {
    if (this.#length + chunk.length > this.limit) return false
    const rest = chunk.subarray(this.#fill(chunk))
    return rest.length === 0 || (this.#addBlock(rest.length) && this.append(rest))
  }

  /** @returns the byte at a distance from the end, 1 for the last; undefined before the first */
  fromEnd (distance: number): number | undefined {
    let position = distance + this.#free
    for (const block of this.#blocks.slice().reverse()) {
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
    this.memory?.release(countedBytes(this.#capacity))
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
    if (this.memory?.reserve(countedBytes(capacity) - countedBytes(this.#capacity)) === false) return false
    this.#blocks.push(Buffer.allocUnsafeSlow(size))
    this.#capacity = capacity
    this.#free = size
    return true
  }
}

const countedBytes = (capacity: number): number => Math.max(0, capacity - UNCOUNTED_BYTES)
