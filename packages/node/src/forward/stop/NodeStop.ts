/** The stop of a node: when the connections of callers are closed, and which requests that ends. */
import type { Millis } from '@bluebellhill/domain'

import type { RequestStage } from '../unansweredRequests.js'

/** Stop of one node; it begins at most once. */
export class NodeStop {
  readonly #clock: () => Millis
  readonly #cutOff = new Map<RequestStage, number>()
  #beganAt: Millis | null = null
  #closesAt: Millis = Infinity

  /** @param clock - monotonic clock */
  constructor (clock: () => Millis) {
    this.#clock = clock
  }

  /**
   * Begins the stop. A further call can only bring its end forward.
   *
   * @param grace - time after which the requests without an answer are ended
   */
  begin (grace: Millis): void {
    const now = this.#clock()
    this.#beganAt ??= now
    this.#closesAt = Math.min(this.#closesAt, now + grace)
  }

  /** Whether the stop has begun. */
  get isUnderWay (): boolean {
    return this.#beganAt !== null
  }

  /** Time until the requests without an answer are ended; infinite before the stop. */
  get timeLeft (): Millis {
    return Math.max(0, this.#closesAt - this.#clock())
  }

  /**
   * @param at - a time
   * @returns how long after the beginning of the stop it is, negative before it; null if no stop has begun
   */
  after (at: Millis): Millis | null {
    return this.#beganAt === null ? null : at - this.#beganAt
  }

  /** Counts a request that is ended without a complete answer of a backend server, because the grace is over. */
  cutOff (stage: RequestStage): void {
    this.#cutOff.set(stage, (this.#cutOff.get(stage) ?? 0) + 1)
  }

  /** @returns the number of requests that the end of the grace has ended, by their stage */
  cutOffByStage (): ReadonlyMap<RequestStage, number> {
    return this.#cutOff
  }
}
