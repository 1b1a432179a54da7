import type { Millis } from '../types.js'

/** Score of this node's own ability to judge others; 0 is well. Time-outs grow with it. */
export class LocalHealth {
  private score = 0

  /** @param max - greatest score */
  constructor (private readonly max: number) {}

  get value (): number {
    return this.score
  }

  /** A probe of this node was answered. */
  improve (): void {
    this.score = Math.max(0, this.score - 1)
  }

  /** Something suggests that this node, not the others, is at fault. */
  worsen (): void {
    this.score = Math.min(this.max, this.score + 1)
  }

  /** This process did not run for a while. */
  setWorst (): void {
    this.score = this.max
  }

  /**
   * @param base - time-out of a healthy node
   * @returns time-out to use now
   */
  scaleTimeout (base: Millis): Millis {
    return base * (1 + this.score)
  }
}
