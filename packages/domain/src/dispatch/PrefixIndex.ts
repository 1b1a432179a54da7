/** What is known of one runner's prefix cache, from events that are late and have gaps. */
import type { Tokens } from '../types.js'
import type { CacheEvent } from './types.js'

/** Most blocks remembered of one runner; the oldest are forgotten first. */
const MAX_BLOCKS = 65_536

/** Blocks that the runner is believed to hold. */
export class PrefixIndex {
  readonly #blocks = new Set<string>()

  get size (): number {
    return this.#blocks.size
  }

  /**
   * Applies changes in the order in which the runner made them.
   *
   * @param events - changes of the cache
   * @param gap - whether changes before these were missed; all that was known is forgotten then
   */
  apply (events: readonly CacheEvent[], gap: boolean): void {
    if (gap) this.#blocks.clear()
    for (const event of events) this.#applyEvent(event)
  }

  /**
   * Length of the prompt that need not be computed again.
   *
   * @param prefix - chained hashes of the prompt's first blocks
   * @param blockTokens - tokens in a block
   */
  match (prefix: readonly string[], blockTokens: Tokens): Tokens {
    const firstMissing = prefix.findIndex((hash) => !this.#blocks.has(hash))
    return (firstMissing < 0 ? prefix.length : firstMissing) * blockTokens
  }

  /** Notes blocks that the runner is about to hold, before its own event says so. */
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
