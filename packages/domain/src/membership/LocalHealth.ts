import type { Millis } from '../types.js'

/** Score of how unreliable this node's own probes are; 0 is healthy. Probe and suspicion timeouts grow with the score. */
export class LocalHealth {
  private score = 0

  /** @param max - maximum score */
  constructor (private readonly max: number) {}

  get value (): number {
    return this.score
  }

  /** Lowers the score, because a probe sent by this node was answered. */
  improve (): void {
    this.score = Math.max(0, this.score - 1)
  }

  /** Raises the score, because this node rather than the other members may be at fault. */
  worsen (): void {
    this.score = Math.min(this.max, this.score + 1)
  }

  /** Sets the worst score, because this process was paused. */
  setWorst (): void {
    this.score = this.max
  }

  /**
   * @param base - timeout of a healthy node
   * @returns timeout at the current score
   */
  scaleTimeout (base: Millis): Millis {
    return base * (1 + this.score)
  }
}
