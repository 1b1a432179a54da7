/** Computes the chained hashes of the first blocks of a prompt, equal to those that engines publish in their cache events. */
import xxhash from 'xxhash-wasm'

const BYTES_PER_TOKEN = 4
const HASH_DIGITS = 16
const MAX_BLOCKS = 256

/** Hashes prompts in blocks with xxHash64. */
export class PrefixHasher {
  readonly #hash: (input: Uint8Array) => bigint

  private constructor (hash: (input: Uint8Array) => bigint) {
    this.#hash = hash
  }

  /** Creates a hasher after loading the WebAssembly hash function. */
  static async create (): Promise<PrefixHasher> {
    const { h64Raw } = await xxhash()
    return new PrefixHasher((input) => h64Raw(input))
  }

  /**
   * Hashes the complete blocks at the beginning of a prompt. Each hash covers the previous hash and the block.
   *
   * @param prompt - the prompt's text
   * @param blockTokens - number of tokens per block of the engine's KV cache
   * @returns at most 256 chained hashes of 16 hexadecimal digits
   */
  hashBlocks (prompt: string, blockTokens: number): string[] {
    const blockBytes = blockTokens * BYTES_PER_TOKEN
    const bytes = Buffer.from(prompt.slice(0, blockBytes * MAX_BLOCKS))
    const count = Math.min(MAX_BLOCKS, Math.floor(bytes.length / blockBytes))
    const hashes: string[] = []
    for (let index = 0; index < count; index += 1) {
      const block = bytes.subarray(index * blockBytes, (index + 1) * blockBytes)
      hashes.push(this.#hashBlock(hashes.at(-1) ?? '', block))
    }
    return hashes
  }

  /**
   * Hashes a text to a number, for keys that must be evenly distributed.
   *
   * @param text - the text
   * @returns the 64-bit hash
   */
  hashText (text: string): bigint {
    return this.#hash(Buffer.from(text))
  }

  #hashBlock (previous: string, block: Uint8Array): string {
    const input = Buffer.concat([Buffer.from(previous), block])
    return this.#hash(input).toString(16).padStart(HASH_DIGITS, '0')
  }
}
