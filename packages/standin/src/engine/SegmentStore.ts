/** KV segments of an engine: those computed here in its memory, and imported ones in host memory. */
import type { Engine } from './Engine.js'
import { missingSegment, noCapacity } from './errors.js'
import type { Sequence } from './Sequence.js'

/** One segment. */
export interface Segment {
  readonly id: string
  readonly requestId: string
  readonly tokens: number
  readonly createdAt: number
  /** Holder of its blocks; null for an imported segment. */
  readonly sequence: Sequence | null
}

/** Segments by id. */
export class SegmentStore {
  private readonly segments = new Map<string, Segment>()

  /**
   * @param engine - owner of the block memory
   * @param hostTokens - room for imported segments
   */
  constructor (private readonly engine: Engine, private readonly hostTokens: number) {}

  /** All segments held. */
  get all (): readonly Segment[] {
    return [...this.segments.values()]
  }

  /** Tokens of imported segments. */
  get importedTokens (): number {
    return this.all.reduce((sum, segment) => sum + (segment.sequence ? 0 : segment.tokens), 0)
  }

  /**
   * Finds a segment.
   *
   * @param id - its name
   * @returns the segment
   * @throws EngineRefusal where it is not held here
   */
  require (id: string): Segment {
    const segment = this.segments.get(id)
    if (!segment) throw missingSegment()
    return segment
  }

  /**
   * Checks that this engine is the last member of a group.
   *
   * @param ids - the segments in order
   * @param promptTokens - length of the whole prompt
   * @returns tokens of context that decoding reads
   * @throws EngineRefusal where the last segment is not held here
   */
  requireGroup (ids: readonly string[], promptTokens: number): number {
    this.require(ids.at(-1) ?? '')
    return promptTokens
  }

  /**
   * Keeps a segment.
   *
   * @param segment - computed here or imported
   * @throws EngineRefusal where the host memory is full
   */
  keep (segment: Segment): void {
    if (!segment.sequence && this.importedTokens + segment.tokens > this.hostTokens) throw noCapacity()
    const former = this.segments.get(segment.id)
    if (former?.sequence) this.engine.releasePrefill(former.sequence)
    this.segments.set(segment.id, segment)
  }

  /**
   * Frees the segments of an attempt.
   *
   * @param requestId - the attempt
   * @returns how many there were
   */
  release (requestId: string): number {
    const owned = this.all.filter((segment) => segment.requestId === requestId)
    for (const segment of owned) {
      this.segments.delete(segment.id)
      if (segment.sequence) this.engine.releasePrefill(segment.sequence)
    }
    return owned.length
  }
}
