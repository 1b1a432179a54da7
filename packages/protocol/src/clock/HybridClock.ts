/**
 * Hybrid logical clock: stamps that follow the wall clock and never put a cause after its effect.
 * A stamp has 64 bits: 48 of wall time in milliseconds since the epoch, then 16 of a logical counter.
 */
import type { Millis } from '@bluebellhill/domain'

/** A reading of the hybrid logical clock. */
export type Stamp = bigint

/** Bits of the logical counter. */
const COUNTER_BITS = 16n
const COUNTER_MASK = (1n << COUNTER_BITS) - 1n

/** How far a peer's stamp may be ahead of the own wall clock before it is not followed, in milliseconds. */
export const DEFAULT_MAX_DRIFT: Millis = 30_000

/**
 * Builds a stamp.
 *
 * @param wall - milliseconds since the epoch
 * @param counter - logical counter, below 65,536
 * @returns the stamp
 */
export const stampOf = (wall: Millis, counter = 0): Stamp => (BigInt(Math.floor(wall)) << COUNTER_BITS) | BigInt(counter)

/**
 * Reads the wall time of a stamp.
 *
 * @param stamp - the stamp
 * @returns milliseconds since the epoch
 */
export const wallOf = (stamp: Stamp): Millis => Number(stamp >> COUNTER_BITS)

/**
 * Reads the logical counter of a stamp.
 *
 * @param stamp - the stamp
 * @returns the counter
 */
export const counterOf = (stamp: Stamp): number => Number(stamp & COUNTER_MASK)

/** What became of a peer's stamp. */
export interface Reception {
  /** The stamp of the receiving event. */
  readonly stamp: Stamp
  /** False where the peer's clock was too far ahead to be followed. */
  readonly followed: boolean
}

/** One process's hybrid logical clock. */
export class HybridClock {
  private last: Stamp = 0n
  private rejectedStamps = 0

  /**
   * @param wall - reads the wall clock in milliseconds since the epoch; may step backwards
   * @param maxDrift - how far a peer's stamp may be ahead of the wall clock and still be followed, in milliseconds
   */
  constructor (private readonly wall: () => Millis, private readonly maxDrift: Millis = DEFAULT_MAX_DRIFT) {}

  /** Number of peers' stamps that were not followed because they were too far ahead. */
  get rejected (): number {
    return this.rejectedStamps
  }

  /**
   * Stamps a local event or a message about to be sent.
   *
   * @returns a stamp greater than every stamp given or followed before
   */
  now (): Stamp {
    const physical = stampOf(this.wall())
    this.last = physical > this.last ? physical : this.last + 1n
    return this.last
  }

  /**
   * Stamps the reception of a peer's message. A stamp too far ahead of the wall clock is not followed, so that one bad
   * clock cannot carry the others with it; order towards that peer is then not guaranteed.
   *
   * @param remote - the stamp that the message carried; 0 where it carried none
   * @returns the stamp of the reception, and whether the peer's stamp was followed
   */
  receive (remote: Stamp): Reception {
    const wall = this.wall()
    const followed = remote <= this.limit(wall)
    if (!followed) this.rejectedStamps += 1
    if (followed && remote > this.last) this.last = remote
    const physical = stampOf(wall)
    this.last = physical > this.last ? physical : this.last + 1n
    return { stamp: this.last, followed }
  }

  private limit (wall: Millis): Stamp {
    return stampOf(wall + this.maxDrift) | COUNTER_MASK
  }
}
