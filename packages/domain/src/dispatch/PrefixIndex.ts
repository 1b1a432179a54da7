/** Mirrors the prefix cache of one runner from its cache events, which arrive late and may have gaps. */
import type { Tokens } from '../types.js'
import type { CacheEvent } from './types.js'

/** Maximum number of blocks kept for one runner; the oldest are removed first. */
const MAX_BLOCKS = 65_536

/** Hashes of the blocks that the runner's prefix cache is expected to contain. */
export class PrefixIndex {
  readonly #blocks = new Set<string>()

  get size (): number {
    return this.#blocks.size
  }

  /**
   * Applies cache events in the order in which the runner sent them.
   *
   * @param events - changes of the cache
   * @param gap - whether earlier events were missed; if so, the index is cleared first
   */
  apply (events: readonly CacheEvent[], gap: boolean): void {
    if (gap) this.#blocks.clear()
    for (const event of events) this.#applyEvent(event)
  }

  /**
   * Computes the length of the prompt's start that is in the cache.
   *
   * @param prefix - chained hashes of the prompt's first blocks
   * @param blockTokens - number of tokens in a block
   * @returns the cached tokens, up to the first missing block
   */
  match (prefix: readonly string[], blockTokens: Tokens): Tokens {
    const firstMissing = prefix.findIndex((hash) => !this.#blocks.has(hash))
    return (firstMissing < 0 ? prefix.length : firstMissing) * blockTokens
  }

  /** Adds blocks that the runner is about to store, before its cache event arrives. */
  addBlocks (blocks: readonly string[]): void {
    for (const block of blocks) this.#add(block)
  }

  #applyEvent (event: CacheEvent): void {
    if (event.kind === 'cleared') this.#blocks.clear()
    else if (event.kind === 'stored') this.addBlocks(event.blocks)
    else for (const block of event.blocks) this.#blocks.delete(block)
  }

  #add (block: string): void {
    this.#blocks.delete(block)
    this.#blocks.add(block)
    if (this.#blocks.size <= MAX_BLOCKS) return
    const oldest = this.#blocks.values().next()
    if (!oldest.done) this.#blocks.delete(oldest.value)
  }
}
