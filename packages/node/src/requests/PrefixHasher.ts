/** Computes the chained block hashes of a prompt's beginning, as the engines publish them. */
import xxhash from 'xxhash-wasm'

const BYTES_PER_TOKEN = 4
const HASH_DIGITS = 16
const MAX_BLOCKS = 256

/** Hashes prompts block by block. */
export class PrefixHasher {
  readonly #hash: (input: Uint8Array) => bigint

  private constructor (hash: (input: Uint8Array) => bigint) {
    this.#hash = hash
  }

  /** Loads the hash function. */
  static async create (): Promise<PrefixHasher> {
    const { h64Raw } = await xxhash()
    return new PrefixHasher((input) => h64Raw(input))
  }

  /**
   * Hashes the whole blocks at the beginning of a prompt.
   *
   * @param prompt - the prompt's text
   * @param blockTokens - tokens in one block of the engine's cache
   * @returns the chained hashes as 16 hexadecimal digits, 256 at the most
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
   * Hashes any text, for keys that have to be spread evenly.
   *
   * @param text - the text
   * @returns 64 bits
   */
  hashText (text: string): bigint {
    return this.#hash(Buffer.from(text))
  }

  #hashBlock (previous: string, block: Uint8Array): string {
    const input = Buffer.concat([Buffer.from(previous), block])
    return this.#hash(input).toString(16).padStart(HASH_DIGITS, '0')
  }
}
