/** One sequence in the engine's batch. */
import type { Allocation } from './BlockMemory.js'
import { SequenceState } from './types.js'
import type { SequenceSpec } from './types.js'

/** Progress of a sequence from waiting to its last token. */
export class Sequence {
  state: SequenceState = SequenceState.Waiting
  allocation: Allocation | null = null
  prefilled = 0
  generated = 0
  private sharedBlocks = 0

  /**
   * @param spec - what was submitted
   * @param order - number of its arrival
   */
  constructor (readonly spec: SequenceSpec, readonly order: number) {}

  /** Tokens of the prompt not computed yet. */
  get pendingPrefill (): number {
    return this.spec.promptTokens - this.prefilled
  }

  /** Tokens that a step has to read for this sequence. */
  get contextTokens (): number {
    return this.prefilled + this.generated + this.spec.outsideTokens
  }

  /**
   * Takes memory and a slot.
   *
   * @param allocation - its memory, with what the cache already holds
   */
  start (allocation: Allocation): void {
    this.allocation = allocation
    this.sharedBlocks = allocation.shared.length
    const ready = Math.max(allocation.cachedTokens, this.spec.readyTokens)
    this.prefilled = Math.min(ready, Math.max(0, this.spec.promptTokens - 1))
    this.state = SequenceState.Prefill
  }

  /**
   * Lists the blocks that became whole since the last call.
   *
   * @param blockTokens - tokens in a block
   * @returns their hashes
   */
  takeComputedBlocks (blockTokens: number): readonly string[] {
    const whole = Math.min(this.spec.hashes.length, Math.floor(this.prefilled / blockTokens))
    const computed = this.spec.hashes.slice(this.sharedBlocks, whole)
    this.sharedBlocks = Math.max(this.sharedBlocks, whole)
    return computed
  }
}
