/** Block memory with a prefix cache: whole prompt blocks are shared by reference counts, idle ones evicted, oldest first. */

/** The memory of one sequence. */
export interface Allocation {
  /** Blocks held alone. */
  exclusive: number
  /** Hashes of the shared blocks held. */
  readonly shared: string[]
  /** Tokens found in the cache at the start. */
  readonly cachedTokens: number
}

/** Receives the changes of the prefix cache. */
export interface CacheListener {
  stored: (hashes: readonly string[]) => void
  removed: (hashes: readonly string[]) => void
  cleared: () => void
}

/** Accounts for every block of one engine; never gives out more than there are. */
export class BlockMemory {
  private readonly references = new Map<string, number>()
  /** Cached blocks without a holder, least recently used first. */
  private readonly idle = new Map<string, true>()
  private exclusive = 0

  /**
   * @param totalBlocks - blocks of the engine
   * @param blockTokens - tokens in a block
   * @param listener - told of each change of the cache
   */
  constructor (readonly totalBlocks: number, readonly blockTokens: number, private readonly listener: CacheListener) {}

  /** Blocks that hold something, cached ones included. */
  get usedBlocks (): number {
    return this.exclusive + this.references.size
  }

  /** Blocks that some allocation holds. */
  get heldBlocks (): number {
    return this.usedBlocks - this.idle.size
  }

  /** Tokens that could be given out now, by eviction of idle blocks too. */
  get freeTokens (): number {
    return (this.totalBlocks - this.heldBlocks) * this.blockTokens
  }

  /**
   * Takes memory for a sequence, all or nothing.
   *
   * @param tokens - prompt and answer together
   * @param hashes - the prompt's whole blocks in order
   * @param promptTokens - length of the prompt; its last token is always computed anew
   * @returns the allocation, or null where there is no room
   */
  allocate (tokens: number, hashes: readonly string[], promptTokens: number): Allocation | null {
    const matched = this.match(hashes, promptTokens)
    const wanted = Math.ceil(tokens / this.blockTokens) - matched.length
    for (const hash of matched) this.hold(hash)
    if (this.heldBlocks + wanted > this.totalBlocks) {
      for (const hash of matched) this.drop(hash)
      return null
    }
    this.evict(this.usedBlocks + wanted - this.totalBlocks)
    this.exclusive += wanted
    return { exclusive: wanted, shared: [...matched], cachedTokens: matched.length * this.blockTokens }
  }

  /**
   * Turns computed blocks of an allocation into shared ones.
   *
   * @param allocation - the holder
   * @param hashes - the blocks that are now computed
   */
  share (allocation: Allocation, hashes: readonly string[]): void {
    const fresh: string[] = []
    for (const hash of hashes) {
      if (!this.references.has(hash)) {
        this.references.set(hash, 0)
        this.idle.set(hash, true)
        fresh.push(hash)
      }
      this.hold(hash)
      allocation.shared.push(hash)
      allocation.exclusive--
      this.exclusive--
    }
    if (fresh.length > 0) this.listener.stored(fresh)
  }

  /**
   * Gives memory back; shared blocks stay cached.
   *
   * @param allocation - what is given back; empty afterwards
   */
  free (allocation: Allocation): void {
    this.exclusive -= allocation.exclusive
    allocation.exclusive = 0
    // The end of a prefix goes first when memory is short.
    for (let hash = allocation.shared.pop(); hash !== undefined; hash = allocation.shared.pop()) this.drop(hash)
  }

  /** Forgets all idle blocks, as after a change of model. */
  clear (): void {
    for (const hash of this.idle.keys()) this.references.delete(hash)
    this.idle.clear()
    this.listener.cleared()
  }

  /**
   * Counts the holders of a block.
   *
   * @param hash - the block
   * @returns holders; null where it is not cached
   */
  holders (hash: string): number | null {
    return this.references.get(hash) ?? null
  }

  private match (hashes: readonly string[], promptTokens: number): string[] {
    const matched: string[] = []
    for (const hash of hashes) {
      const wouldCoverAll = (matched.length + 1) * this.blockTokens >= promptTokens
      if (wouldCoverAll || !this.references.has(hash)) break
      matched.push(hash)
    }
    return matched
  }

  private hold (hash: string): void {
    this.references.set(hash, (this.references.get(hash) ?? 0) + 1)
    this.idle.delete(hash)
  }

  private drop (hash: string): void {
    const left = (this.references.get(hash) ?? 1) - 1
    this.references.set(hash, left)
    if (left === 0) this.idle.set(hash, true)
  }

  private evict (count: number): void {
    if (count <= 0) return
    const removed: string[] = []
    for (const hash of this.idle.keys()) {
      if (removed.length === count) break
      removed.push(hash)
    }
    for (const hash of removed) {
      this.idle.delete(hash)
      this.references.delete(hash)
    }
    this.listener.removed(removed)
  }
}
